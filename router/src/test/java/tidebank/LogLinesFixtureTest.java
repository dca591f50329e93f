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

/** Log lines have the form that they had. */
class LogLinesFixtureTest {
  private static final long AT_MS = 1_700_000_000_123L;
  private static final int MOST = 4;

  private final PrintStream errors = System.err;
  private final ByteArrayOutputStream written = new ByteArrayOutputStream();

  @AfterEach
  void restore() {
    System.setErr(errors);
    Log.configure(Log.Settings.DEFAULT);
  }

  private static void write(Level level, long atMs, String text, Throwable cause, Object... args) {
    Logger logger = (Logger) LoggerFactory.getLogger("tidebank.sample");
    LoggingEvent event =
        new LoggingEvent(
            Logger.FQCN,
            logger,
            ch.qos.logback.classic.Level.convertAnSLF4JLevel(level),
            text,
            cause,
            args);
    event.setThreadName("main");
    event.setTimeStamp(atMs);
    if (text.contains("fields")) {
      event.setKeyValuePairs(
          List.of(new KeyValuePair("scan", "9b1f03aa"), new KeyValuePair("parts", 3)));
    }
    logger.callAppenders(event);
  }

  private String lines(Log.Format form) {
    System.setErr(new PrintStream(written, true, UTF_8));
    Log.configure(new Log.Settings(Level.INFO, form, MOST));
    IOException cause = new IOException("it is \"full\"\nand closed");
    cause.setStackTrace(
        new StackTraceElement[] {new StackTraceElement("tidebank.X", "run", "X.java", 7)});
    write(Level.INFO, AT_MS, "plain {} of\ntwo lines", null, 42);
    write(Level.WARN, AT_MS, "with fields", null);
    write(Level.ERROR, AT_MS, "with a \"cause\"", cause);
    write(Level.INFO, AT_MS + 1, "the last one of this second", null);
    write(Level.INFO, AT_MS + 2, "left out", null);
    write(Level.INFO, AT_MS + 3, "left out", null);
    write(Level.INFO, AT_MS + 1000, "in the next second", null);
    return written.toString(UTF_8);
  }

  @Test
  void textLinesAreTheStoredOnes() throws Exception {
    StoredCases.assertMatchesFile("logging/lines.txt", lines(Log.Format.TEXT));
  }

  @Test
  void jsonLinesAreTheStoredOnes() throws Exception {
    StoredCases.assertMatchesFile("logging/lines.jsonl", lines(Log.Format.JSON));
  }
}
