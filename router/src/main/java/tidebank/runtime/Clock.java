package tidebank.runtime;

/**
 * Whole microseconds that never go back. They start as Unix time, so that Unix times need no
 * mapping of their own.
 */
public final class Clock {
  private final long startNanos = System.nanoTime();
  private final long startUnixUs = System.currentTimeMillis() * 1000;

  public long now() {
    return startUnixUs + (System.nanoTime() - startNanos) / 1000;
  }

  /**
   * The moment of a Unix time in milliseconds; the same for the same time, whatever the system's
   * clock does.
   */
  public static long ofUnixMillis(long millis) {
    return millis * 1000;
  }
}
