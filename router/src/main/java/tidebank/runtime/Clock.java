package tidebank.runtime;

/**
 * A monotonic clock in microseconds. It starts at the system's Unix time, so its times can be
 * compared with Unix timestamps.
 */
public final class Clock {
  private final long startNanos = System.nanoTime();
  private final long startUnixTimeUs = System.currentTimeMillis() * 1000;

  /** Returns the current time, in microseconds. */
  public long now() {
    return startUnixTimeUs + (System.nanoTime() - startNanos) / 1000;
  }

  /**
   * Converts a Unix time in milliseconds to microseconds of this clock. The result does not depend
   * on adjustments of the system clock.
   */
  public static long ofUnixMillis(long millis) {
    return millis * 1000;
  }
}
