package tidebank.base;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** One line an entry on standard error. Lines beyond a few dozen a second are counted, not written. */
public final class Log {
  /** From the most to the least urgent. */
  public enum Level {
    ERROR,
    WARN,
    INFO,
    DEBUG
  }

  private static final int LINES_A_SECOND = 50;
  private static final PrintStream OUT = System.err;
  private static Level least = Level.INFO;
  private static long second;
  private static int lines;
  private static long left;

  private Log() {}

  public static void level(Level wanted) {
    least = wanted;
  }

  public static boolean writes(Level level) {
    return level.compareTo(least) <= 0;
  }

  public static void error(String text, Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    write(Level.ERROR, text + ": " + cause + (trace.length > 0 ? " at " + trace[0] : ""));
  }

  public static void warn(String text) {
    write(Level.WARN, text);
  }

  public static void info(String text) {
    write(Level.INFO, text);
  }

  /** Netty may log from a thread of its own, hence synchronized. */
  public static synchronized void write(Level level, String text) {
    if (!writes(level)) {
      return;
    }
    Instant now = Instant.now();
    if (now.getEpochSecond() != second) {
      second = now.getEpochSecond();
      lines = 0;
      if (left > 0) {
        OUT.println(now.truncatedTo(ChronoUnit.MILLIS) + " WARN " + left + " log lines left out");
        left = 0;
      }
    }
    if (++lines > LINES_A_SECOND) {
      left++;
      return;
    }
    OUT.println(now.truncatedTo(ChronoUnit.MILLIS) + " " + level + " " + text.replace('\n', ' '));
  }
}
