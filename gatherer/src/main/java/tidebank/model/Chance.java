package tidebank.model;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.zip.CRC32;

/** Chance that is the same whenever the same seed asks the same questions. */
public final class Chance {
  private final long seed;
  private long asked;

  public Chance(long seed) {
    this.seed = seed;
  }

  /** A number from 0 to under 1. */
  public double next() {
    return share(seed + ":" + ++asked);
  }

  /** A number from 0 to under 1 that the text decides. */
  public static double share(String text) {
    CRC32 crc = new CRC32();
    crc.update(text.getBytes(UTF_8));
    return crc.getValue() / (double) (1L << 32);
  }
}
