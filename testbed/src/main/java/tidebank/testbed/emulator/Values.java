package tidebank.testbed.emulator;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;

/**
 * The value a stand-in server makes for a part: told by its id alone, so that a client can tell a
 * wrong one.
 */
public final class Values {
  private Values() {}

  public static String of(String part) {
    return HexFormat.of().toHexDigits(Hashing.xxh3_64().hashCharsToLong(part));
  }

  /** A query's text that says a part's work to a stand-in server. */
  public static String text(String key, long workUs) {
    return "w=" + workUs + ";" + key;
  }

  static long work(String text, long absent) {
    int end = text.indexOf(';');
    if (!text.startsWith("w=") || end < 0) {
      return absent;
    }
    try {
      return Math.max(0, Long.parseLong(text.substring(2, end)));
    } catch (NumberFormatException fault) {
      return absent;
    }
  }
}
