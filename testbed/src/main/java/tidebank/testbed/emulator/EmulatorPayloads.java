package tidebank.testbed.emulator;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.HexFormat;

/**
 * The query texts and response values exchanged with emulated shard servers. A value depends only
 * on the id of its shard request, so that a client can detect a wrong one.
 */
public final class EmulatorPayloads {
  private EmulatorPayloads() {}

  /** Returns the value that a server returns for a shard request, as 16 hexadecimal digits. */
  public static String responseValue(String requestId) {
    return HexFormat.of().toHexDigits(Hashing.xxh3_64().hashCharsToLong(requestId));
  }

  /**
   * Returns a query text that states the processing time of each shard request.
   *
   * @param key the key that the query reads
   */
  public static String queryText(String key, long workUs) {
    return "w=" + workUs + ";" + key;
  }

  /** Returns the processing time stated in a query text, or the default if it is malformed. */
  static long parseWorkUs(String text, long defaultUs) {
    int separator = text.indexOf(';');
    if (!text.startsWith("w=") || separator < 0) {
      return defaultUs;
    }
    try {
      return Math.max(0, Long.parseLong(text.substring(2, separator)));
    } catch (NumberFormatException e) {
      return defaultUs;
    }
  }
}
