package tidebank;

import static java.nio.charset.StandardCharsets.UTF_8;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.LoggingEvent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;
import tidebank.fixtures.StoredCases;
import tidebank.logging.Log;

/** Guards the layout of log lines, as text and JSON, against unintended changes. */
class LogLinesFixtureTest {
  private static final long TIMESTAMP_MS = 1_700_000_000_123L;
  private static final int MAX_LINES_PER_SECOND = 4;

  private final PrintStream originalErr = System.err;
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();

  @AfterEach
  void restore() {
    System.setErr(originalErr);
    Log.configure(Log.Settings.DEFAULT);
  }

  private static void write(
      Level level, long timestampMs, String message, Throwable cause, Object... args) {
    Logger logger = (Logger) LoggerFactory.getLogger("tidebank.sample");
    LoggingEvent event =
        new LoggingEvent(
            Logger.FQCN,
            logger,
            ch.qos.logback.classic.Level.convertAnSLF4JLevel(level),
            message,
            cause,
            args);
    event.setThreadName("main");
    event.setTimeStamp(timestampMs);
    if (message.contains("fields")) {
      event.setKeyValuePairs(
          List.of(new KeyValuePair("scan", "9b1f03aa"), new KeyValuePair("parts", 3)));
    }
    logger.callAppenders(event);
  }

  private String logLines(Log.Format format) {
    System.setErr(new PrintStream(output, true, UTF_8));
    Log.configure(new Log.Settings(Level.INFO, format, MAX_LINES_PER_SECOND));
    IOException cause = new IOException("it is \"full\"\nand closed");
    cause.setStackTrace(
        new StackTraceElement[] {new StackTraceElement("tidebank.X", "run", "X.java", 7)});
    write(Level.INFO, TIMESTAMP_MS, "plain {} of\ntwo lines", null, 42);
    write(Level.WARN, TIMESTAMP_MS, "with fields", null);
    write(Level.ERROR, TIMESTAMP_MS, "with a \"cause\"", cause);
    write(Level.INFO, TIMESTAMP_MS + 1, "the last one of this second", null);
    write(Level.INFO, TIMESTAMP_MS + 2, "left out", null);
    write(Level.INFO, TIMESTAMP_MS + 3, "left out", null);
    write(Level.INFO, TIMESTAMP_MS + 1000, "in the next second", null);
    return output.toString(UTF_8);
  }

  @Test
  void textLinesAreAsStored() throws Exception {
    StoredCases.assertMatchesFile("logging/lines.txt", logLines(Log.Format.TEXT));
  }

  @Test
  void jsonLinesAreAsStored() throws Exception {
    StoredCases.assertMatchesFile("logging/lines.jsonl", logLines(Log.Format.JSON));
  }
}
