package tidebank.model;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.zip.CRC32;

/** A pseudo-random number generator; the same seed gives the same sequence. */
public final class SeededRandom {
  private final long seed;
  private long count;

  /** Creates a generator with this seed. */
  public SeededRandom(long seed) {
    this.seed = seed;
  }

  /** Returns the next number, from 0 (inclusive) to 1 (exclusive). */
  public double nextDouble() {
    return mixedHash(seed + ":" + ++count);
  }

  /**
   * Returns a hash of the text, from 0 (inclusive) to 1 (exclusive): its CRC-32, mixed by the
   * finalizer of MurmurHash3 (public domain). CRC-32 alone is linear: the hashes of two successive
   * counter values differ by the same bits under every seed, so that the sum of two successive
   * backoffs was nearly the same in all routers of a fleet.
   */
  public static double mixedHash(String text) {
    int bits = (int) crc(text);
    bits = (bits ^ (bits >>> 16)) * 0x85ebca6b;
    bits = (bits ^ (bits >>> 13)) * 0xc2b2ae35;
    return crcHash(Integer.toUnsignedLong(bits ^ (bits >>> 16)));
  }

  /**
   * Returns the CRC-32 of the text, scaled to 0 (inclusive) to 1 (exclusive). Primary replicas are
   * selected with it; hashes with a more even distribution did worse in trials (see the design
   * page).
   */
  public static double crcHash(String text) {
    return crcHash(crc(text));
  }

  private static double crcHash(long bits) {
    return bits / (double) (1L << 32);
  }

  private static long crc(String text) {
    CRC32 crc = new CRC32();
    crc.update(text.getBytes(UTF_8));
    return crc.getValue();
  }
}
