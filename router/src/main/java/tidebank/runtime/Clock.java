package tidebank.runtime;

/**
 * A monotonic clock in microseconds. It starts at the Unix time, so that Unix times can be compared
 * with it.
 */
public final class Clock {
  private final long startNanos = System.nanoTime();
  private final long startUnixUs = System.currentTimeMillis() * 1000;

  /** Returns the time now, in microseconds. */
  public long now() {
    return startUnixUs + (System.nanoTime() - startNanos) / 1000;
  }

  /**
   * Returns the time of this clock for a Unix time in milliseconds. The same Unix time gives the
   * same result, however the system's clock is adjusted.
   */
  public static long ofUnixMillis(long millis) {
    return millis * 1000;
  }
}
