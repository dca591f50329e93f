package tidebank.base;

import java.io.PrintStream;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.Locale;
import org.slf4j.event.KeyValuePair;
import org.slf4j.event.Level;

/**
 * Where a lean process's log ends: one line an entry on standard error, as text for people or as a JSON object. Lines
 * beyond a bound a second are counted, not written. A larger process (the tool box) has Logback in its place.
 */
public final class Log {
  /** How a line looks. */
  public enum Form {
    TEXT,
    JSON
  }

  /** From this level on, in this form, so many lines a second at most. */
  public record Style(Level least, Form form, int linesASecond) {
    public static final Style DEFAULT = new Style(Level.INFO, Form.TEXT, 50);
  }

  private static final PrintStream OUT = System.err;
  private static volatile Style style = Style.DEFAULT;
  private static long second;
  private static int lines;
  private static long left;

  private Log() {}

  public static void style(Style wanted) {
    style = wanted;
  }

  public static Style style() {
    return style;
  }

  static boolean writes(Level level) {
    return level.toInt() >= style.least().toInt();
  }

  /** Netty may log from a thread of its own, hence synchronized. */
  static synchronized void write(Level level, String from, String text, List<KeyValuePair> fields, Throwable cause) {
    if (!writes(level)) {
      return;
    }
    Instant now = Instant.now();
    if (now.getEpochSecond() != second) {
      second = now.getEpochSecond();
      lines = 0;
      if (left > 0) {
        OUT.println(line(style.form(), now, Level.WARN, "tidebank.base.Log", "log lines left out",
            List.of(new KeyValuePair("lines", left)), null));
        left = 0;
      }
    }
    if (++lines > style.linesASecond()) {
      left++;
      return;
    }
    OUT.println(line(style.form(), now, level, from, text, fields, cause));
  }

  static String line(
      Form form, Instant at, Level level, String from, String text, List<KeyValuePair> fields, Throwable cause) {
    String when = at.truncatedTo(ChronoUnit.MILLIS).toString();
    StringBuilder line = new StringBuilder(160);
    if (form == Form.JSON) {
      line.append("{\"at\":\"").append(when).append("\",\"level\":\"").append(level).append("\",\"from\":");
      quoted(line, from).append(",\"text\":");
      quoted(line, text);
      for (KeyValuePair field : fields) {
        quoted(line.append(','), field.key).append(':');
        if (field.value instanceof Number || field.value instanceof Boolean) {
          line.append(field.value);
        } else {
          quoted(line, String.valueOf(field.value));
        }
      }
      if (cause != null) {
        quoted(line.append(",\"cause\":"), brief(cause));
      }
      return line.append('}').toString();
    }
    line.append(when).append(' ').append(level).append(' ').append(text.replace('\n', ' '));
    for (KeyValuePair field : fields) {
      line.append(' ').append(field.key).append('=').append(String.valueOf(field.value).replace('\n', ' '));
    }
    return cause == null ? line.toString() : line.append(": ").append(brief(cause)).toString();
  }

  private static String brief(Throwable cause) {
    StackTraceElement[] trace = cause.getStackTrace();
    return (cause + (trace.length > 0 ? " at " + trace[0] : "")).replace('\n', ' ');
  }

  private static StringBuilder quoted(StringBuilder line, String text) {
    line.append('"');
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        line.append('\\').append(c);
      } else if (c < ' ') {
        line.append(String.format(Locale.ROOT, "\\u%04x", (int) c));
      } else {
        line.append(c);
      }
    }
    return line.append('"');
  }
}
