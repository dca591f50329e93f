package tidebank.logging;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.encoder.Encoder;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.Slf4JLoggerFactory;
import org.slf4j.ILoggerFactory;
import org.slf4j.LoggerFactory;

/**
 * Configures the log of a process that serves: one line for each entry on standard error, as text
 * or as JSON. Lines over a limit per second are dropped and counted.
 */
public final class Log {
  /** The format of a line. */
  public enum Format {
    /** A line for people. */
    TEXT,
    /** A JSON object. */
    JSON
  }

  /**
   * What is logged, and how.
   *
   * @param minLevel the least level of the router's own entries
   * @param format the format of a line
   * @param maxLinesPerSecond the most lines per second; others are dropped
   */
  public record Settings(org.slf4j.event.Level minLevel, Format format, int maxLinesPerSecond) {
    /** The settings until others are applied. */
    public static final Settings DEFAULT =
        new Settings(org.slf4j.event.Level.INFO, Format.TEXT, 50);
  }

  /** The system property that marks a process whose log is configured by this class. */
  static final String USED_PROPERTY = "tidebank.log.own";

  private static final String OWN_LOGGERS = "tidebank";

  private Log() {}

  /**
   * Makes this class configure the log of this process, and Netty log to it. To be called before
   * the first logger is created.
   */
  public static void useForProcess() {
    System.setProperty(USED_PROPERTY, "true");
    System.setProperty("slf4j.internal.verbosity", "WARN");
    InternalLoggerFactory.setDefaultFactory(Slf4JLoggerFactory.INSTANCE);
  }

  /**
   * Applies settings at once. Does nothing in a process whose log is not configured by this class.
   */
  public static void configure(Settings settings) {
    ILoggerFactory factory = LoggerFactory.getILoggerFactory();
    if (factory instanceof LoggerContext context && isUsedForProcess()) {
      configure(context, settings);
    }
  }

  static boolean isUsedForProcess() {
    return Boolean.getBoolean(USED_PROPERTY);
  }

  static void configure(LoggerContext context, Settings settings) {
    context.reset();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(levelOfLibraries(settings.minLevel()));
    root.addAppender(appender(context, settings));
    context.getLogger(OWN_LOGGERS).setLevel(Level.convertAnSLF4JLevel(settings.minLevel()));
  }

  /** Libraries log warnings and errors, and at a finer level also information. */
  private static Level levelOfLibraries(org.slf4j.event.Level minLevel) {
    return minLevel.toInt() < org.slf4j.event.Level.INFO.toInt() ? Level.INFO : Level.WARN;
  }

  private static ConsoleAppender<ILoggingEvent> appender(LoggerContext context, Settings settings) {
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    RateLimitFilter filter = new RateLimitFilter(settings.maxLinesPerSecond(), settings.format());
    filter.start();
    appender.addFilter(filter);
    Encoder<ILoggingEvent> encoder =
        settings.format() == Format.JSON ? jsonEncoder() : textEncoder();
    encoder.setContext(context);
    encoder.start();
    appender.setEncoder(encoder);
    appender.start();
    return appender;
  }

  private static Encoder<ILoggingEvent> jsonEncoder() {
    JsonEncoder encoder = new JsonEncoder();
    // Fields that no reader of these lines needs.
    encoder.setWithContext(false);
    encoder.setWithMDC(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithThreadName(false);
    return encoder;
  }

  private static Encoder<ILoggingEvent> textEncoder() {
    LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
    TextLayout layout = new TextLayout();
    layout.start();
    encoder.setLayout(layout);
    return encoder;
  }
}
