package tidebank.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.LayoutBase;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.Slf4JLoggerFactory;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import org.slf4j.ILoggerFactory;
import org.slf4j.LoggerFactory;
import org.slf4j.event.KeyValuePair;

/**
 * How a process that serves logs: Logback, set up by hand, as reading its XML would cost a share of
 * the start. One line an entry on standard error, as text for people or as JSON; lines beyond a
 * bound a second are counted, not written.
 */
public final class Log {
  /** How a line looks. */
  public enum Format {
    TEXT,
    JSON
  }

  /** From this level on, in this form, so many lines a second at most. */
  public record Settings(org.slf4j.event.Level minLevel, Format format, int maxLinesPerSecond) {
    public static final Settings DEFAULT =
        new Settings(org.slf4j.event.Level.INFO, Format.TEXT, 50);
  }

  static final String OWN = "tidebank.log.own";

  private Log() {}

  /** Before the first logger: this process's log is set up here, and Netty's own log ends in it. */
  public static void useForProcess() {
    System.setProperty(OWN, "true");
    System.setProperty("slf4j.internal.verbosity", "WARN");
    InternalLoggerFactory.setDefaultFactory(Slf4JLoggerFactory.INSTANCE);
  }

  /** Takes effect at once; nothing happens in a process whose log is not ours. */
  public static void configure(Settings wanted) {
    ILoggerFactory factory = LoggerFactory.getILoggerFactory();
    if (factory instanceof LoggerContext context && Boolean.getBoolean(OWN)) {
      setUp(context, wanted);
    }
  }

  static void setUp(LoggerContext context, Settings style) {
    context.reset();
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    Bound bound = new Bound(style.maxLinesPerSecond(), style.format());
    bound.start();
    appender.addFilter(bound);
    Encoder<ILoggingEvent> encoder = encoder(style.format());
    encoder.setContext(context);
    encoder.start();
    appender.setEncoder(encoder);
    appender.start();
    // Of libraries, only warnings and errors are worth a line; to whoever looks closely, also what
    // they inform of.
    ch.qos.logback.classic.Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(
        style.minLevel().toInt() < org.slf4j.event.Level.INFO.toInt() ? Level.INFO : Level.WARN);
    root.addAppender(appender);
    context.getLogger("tidebank").setLevel(Level.convertAnSLF4JLevel(style.minLevel()));
  }

  private static Encoder<ILoggingEvent> encoder(Format form) {
    if (form == Format.JSON) {
      JsonEncoder encoder = new JsonEncoder();
      // What no reader of these lines asks for.
      encoder.setWithContext(false);
      encoder.setWithMDC(false);
      encoder.setWithSequenceNumber(false);
      encoder.setWithNanoseconds(false);
      encoder.setWithThreadName(false);
      return encoder;
    }
    LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
    Text layout = new Text();
    layout.start();
    encoder.setLayout(layout);
    return encoder;
  }

  /** A line for people, by hand: a pattern would have to be compiled at each start. */
  static final class Text extends LayoutBase<ILoggingEvent> {
    @Override
    public String doLayout(ILoggingEvent event) {
      StringBuilder line = new StringBuilder(160);
      line.append(Instant.ofEpochMilli(event.getTimeStamp()).truncatedTo(ChronoUnit.MILLIS))
          .append(' ')
          .append(event.getLevel())
          .append(' ')
          .append(plain(event.getFormattedMessage()));
      if (event.getKeyValuePairs() != null) {
        for (KeyValuePair field : event.getKeyValuePairs()) {
          line.append(' ').append(field.key).append('=').append(plain(String.valueOf(field.value)));
        }
      }
      IThrowableProxy cause = event.getThrowableProxy();
      if (cause != null) {
        line.append(": ")
            .append(cause.getClassName())
            .append(": ")
            .append(plain(String.valueOf(cause.getMessage())));
        if (cause.getStackTraceElementProxyArray().length > 0) {
          line.append(' ').append(cause.getStackTraceElementProxyArray()[0].getSTEAsString());
        }
      }
      return line.append('\n').toString();
    }

    private static String plain(String text) {
      return text.replace('\n', ' ');
    }
  }

  /** Lets so many lines a second through; how many it did not is said with the next that goes. */
  private static final class Bound extends Filter<ILoggingEvent> {
    private final LogRateLimiter bound;
    private final Format form;

    Bound(int most, Format form) {
      bound = new LogRateLimiter(most);
      this.form = form;
    }

    @Override
    public FilterReply decide(ILoggingEvent event) {
      long left = bound.tryAcquire(event.getTimeStamp() / 1000);
      if (left > 0) {
        String text = left + " log lines left out";
        System.err.println(
            form == Format.JSON
                ? "{\"timestamp\":"
                    + event.getTimeStamp()
                    + ",\"level\":\"WARN\",\"message\":\""
                    + text
                    + "\"}"
                : Instant.ofEpochMilli(event.getTimeStamp()) + " WARN " + text);
      }
      return left == LogRateLimiter.DENIED ? FilterReply.DENY : FilterReply.NEUTRAL;
    }
  }
}
