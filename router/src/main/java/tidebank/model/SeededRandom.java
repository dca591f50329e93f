package tidebank.model;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.zip.CRC32;

/** Chance that is the same whenever the same seed asks the same questions. */
public final class SeededRandom {
  private final long seed;
  private long drawn;

  public SeededRandom(long seed) {
    this.seed = seed;
  }

  /** A number from 0 to under 1. */
  public double nextDouble() {
    return mixedHash(seed + ":" + ++drawn);
  }

  /**
   * A number from 0 to under 1 that the text decides. A CRC is linear: the draws of one counter
   * differ from those of the next by the same bits under every seed, so that two waits in a row sum
   * to nearly the same time in a whole fleet. Multiplying and folding breaks that (the last step of
   * MurmurHash3, in the public domain).
   */
  public static double mixedHash(String text) {
    int bits = (int) crc(text);
    bits = (bits ^ bits >>> 16) * 0x85ebca6b;
    bits = (bits ^ bits >>> 13) * 0xc2b2ae35;
    return plainHash(Integer.toUnsignedLong(bits ^ bits >>> 16));
  }

  /** The same without the fold: homes hang on it, and even ones did worse (see the design page). */
  public static double plainHash(String text) {
    return plainHash(crc(text));
  }

  private static double plainHash(long bits) {
    return bits / (double) (1L << 32);
  }

  private static long crc(String text) {
    CRC32 crc = new CRC32();
    crc.update(text.getBytes(UTF_8));
    return crc.getValue();
  }
}
