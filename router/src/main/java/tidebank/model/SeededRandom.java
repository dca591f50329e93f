package tidebank.model;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.zip.CRC32;

/** A source of pseudo-random numbers: the same seed gives the same numbers. */
public final class SeededRandom {
  private final long seed;
  private long drawn;

  /** Creates a source whose numbers follow from the seed. */
  public SeededRandom(long seed) {
    this.seed = seed;
  }

  /** Returns the next number, from 0 to under 1. */
  public double nextDouble() {
    return mixedHash(seed + ":" + ++drawn);
  }

  /**
   * Returns a hash of the text, from 0 to under 1. A CRC alone is linear: the hashes of one counter
   * differ from those of the next by the same bits under every seed, so that two backoffs in a row
   * sum to nearly the same time in a whole fleet. The finalizer of MurmurHash3 (public domain)
   * breaks that.
   */
  public static double mixedHash(String text) {
    int bits = (int) crc(text);
    bits = (bits ^ (bits >>> 16)) * 0x85ebca6b;
    bits = (bits ^ (bits >>> 13)) * 0xc2b2ae35;
    return plainHash(Integer.toUnsignedLong(bits ^ (bits >>> 16)));
  }

  /**
   * Returns the CRC of the text, from 0 to under 1. Primary replicas depend on it; more even ones
   * did worse in trials (see the design page).
   */
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
