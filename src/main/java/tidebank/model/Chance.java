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
    return hash(seed + ":" + ++asked) / (double) (1L << 32);
  }

  public static long hash(String text) {
    CRC32 crc = new CRC32();
    crc.update(text.getBytes(UTF_8));
    return crc.getValue();
  }
}
