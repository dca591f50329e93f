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
 * The logging configuration of a long-running process: one line per entry on standard error, as
 * text or JSON. Lines over a limit per second are dropped and counted.
 */
public final class Log {
  /** The format of a line. */
  public enum Format {
    /** A human-readable line. */
    TEXT,
    /** A JSON object. */
    JSON
  }

  /**
   * The level, format and rate limit of the log.
   *
   * @param minLevel the lowest level at which this project's classes log
   * @param format the format of a line
   * @param maxLinesPerSecond the maximum lines per second; further ones are dropped
   */
  public record Settings(org.slf4j.event.Level minLevel, Format format, int maxLinesPerSecond) {
    /** The settings until {@link #configure} applies others. */
    public static final Settings DEFAULT =
        new Settings(org.slf4j.event.Level.INFO, Format.TEXT, 50);
  }

  /** The system property that marks a process in which this class configures the log. */
  static final String ENABLED_PROPERTY = "tidebank.log.own";

  private static final String PROJECT_LOGGER = "tidebank";

  private Log() {}

  /**
   * Lets this class configure the log of this process, and makes Netty log through SLF4J. Must be
   * called before the first logger is created.
   */
  public static void useForProcess() {
    System.setProperty(ENABLED_PROPERTY, "true");
    System.setProperty("slf4j.internal.verbosity", "WARN");
    InternalLoggerFactory.setDefaultFactory(Slf4JLoggerFactory.INSTANCE);
  }

  /** Applies settings at once. Does nothing unless {@link #useForProcess} was called. */
  public static void configure(Settings settings) {
    ILoggerFactory factory = LoggerFactory.getILoggerFactory();
    if (factory instanceof LoggerContext context && isUsedForProcess()) {
      configure(context, settings);
    }
  }

  static boolean isUsedForProcess() {
    return Boolean.getBoolean(ENABLED_PROPERTY);
  }

  static void configure(LoggerContext context, Settings settings) {
    context.reset();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(libraryLevel(settings.minLevel()));
    root.addAppender(createAppender(context, settings));
    context.getLogger(PROJECT_LOGGER).setLevel(Level.convertAnSLF4JLevel(settings.minLevel()));
  }

  /** Returns the level of libraries: WARN, or INFO if the project's level is finer than INFO. */
  private static Level libraryLevel(org.slf4j.event.Level minLevel) {
    return minLevel.toInt() < org.slf4j.event.Level.INFO.toInt() ? Level.INFO : Level.WARN;
  }

  private static ConsoleAppender<ILoggingEvent> createAppender(
      LoggerContext context, Settings settings) {
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget("System.err");
    RateLimitFilter filter = new RateLimitFilter(settings.maxLinesPerSecond(), settings.format());
    filter.start();
    appender.addFilter(filter);
    Encoder<ILoggingEvent> encoder =
        settings.format() == Format.JSON ? createJsonEncoder() : createTextEncoder();
    encoder.setContext(context);
    encoder.start();
    appender.setEncoder(encoder);
    appender.start();
    return appender;
  }

  private static Encoder<ILoggingEvent> createJsonEncoder() {
    JsonEncoder encoder = new JsonEncoder();
    // No consumer of these lines needs these fields.
    encoder.setWithContext(false);
    encoder.setWithMDC(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithThreadName(false);
    return encoder;
  }

  private static Encoder<ILoggingEvent> createTextEncoder() {
    LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
    TextLayout layout = new TextLayout();
    layout.start();
    encoder.setLayout(layout);
    return encoder;
  }
}
