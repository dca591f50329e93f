package tidebank.base;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.Slf4JLoggerFactory;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.slf4j.ILoggerFactory;
import org.slf4j.IMarkerFactory;
import org.slf4j.Logger;
import org.slf4j.Marker;
import org.slf4j.event.Level;
import org.slf4j.event.LoggingEvent;
import org.slf4j.helpers.BasicMarkerFactory;
import org.slf4j.helpers.LegacyAbstractLogger;
import org.slf4j.helpers.MessageFormatter;
import org.slf4j.helpers.NOPMDCAdapter;
import org.slf4j.spi.LoggingEventAware;
import org.slf4j.spi.MDCAdapter;
import org.slf4j.spi.SLF4JServiceProvider;

/**
 * SLF4J's back end in a process that only serves, in place of Logback, which would take a share of the start and of the
 * memory (docs/results.md). Chosen by name at the start, so that a larger process on the same classes finds its own.
 */
public final class LeanLogging implements SLF4JServiceProvider {
  private final ConcurrentMap<String, Logger> loggers = new ConcurrentHashMap<>();
  private final IMarkerFactory markers = new BasicMarkerFactory();
  private final MDCAdapter mdc = new NOPMDCAdapter();

  /** Before the first logger: SLF4J and Netty's own log end here. */
  public static void choose() {
    System.setProperty("slf4j.provider", LeanLogging.class.getName());
    System.setProperty("slf4j.internal.verbosity", "WARN");
    InternalLoggerFactory.setDefaultFactory(Slf4JLoggerFactory.INSTANCE);
  }

  @Override
  public ILoggerFactory getLoggerFactory() {
    return name -> loggers.computeIfAbsent(name, Lean::new);
  }

  @Override
  public IMarkerFactory getMarkerFactory() {
    return markers;
  }

  @Override
  public MDCAdapter getMDCAdapter() {
    return mdc;
  }

  @Override
  public String getRequestedApiVersion() {
    return "2.0.99";
  }

  @Override
  public void initialize() {}

  /** A logger; of libraries, only warnings and errors are worth a line. */
  private static final class Lean extends LegacyAbstractLogger implements LoggingEventAware {
    private static final long serialVersionUID = 1L;
    private final Level least;

    Lean(String name) {
      this.name = name;
      least = name.startsWith("tidebank.") ? Level.TRACE : Level.WARN;
    }

    private boolean on(Level level) {
      return level.toInt() >= least.toInt() && Log.writes(level);
    }

    @Override
    public boolean isTraceEnabled() {
      return on(Level.TRACE);
    }

    @Override
    public boolean isDebugEnabled() {
      return on(Level.DEBUG);
    }

    @Override
    public boolean isInfoEnabled() {
      return on(Level.INFO);
    }

    @Override
    public boolean isWarnEnabled() {
      return on(Level.WARN);
    }

    @Override
    public boolean isErrorEnabled() {
      return on(Level.ERROR);
    }

    @Override
    protected String getFullyQualifiedCallerName() {
      return null;
    }

    @Override
    protected void handleNormalizedLoggingCall(
        Level level, Marker marker, String pattern, Object[] values, Throwable cause) {
      Log.write(level, name, MessageFormatter.basicArrayFormat(pattern, values), List.of(), cause);
    }

    @Override
    public void log(LoggingEvent event) {
      Object[] values = event.getArgumentArray();
      Log.write(event.getLevel(), name, MessageFormatter.basicArrayFormat(event.getMessage(), values),
          event.getKeyValuePairs() == null ? List.of() : event.getKeyValuePairs(), event.getThrowable());
    }
  }
}
