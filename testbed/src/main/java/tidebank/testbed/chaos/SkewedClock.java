package tidebank.testbed.chaos;

/**
 * A monotonic clock that runs faster or slower than the machine's. It replaces {@link
 * System#nanoTime} in processes started by {@link SkewedClockLauncher}. The system property {@code
 * tidebank.chaos.rate} sets its rate; 1.05 is 5 % fast.
 */
public final class SkewedClock {
  private static final double RATE =
      Double.parseDouble(System.getProperty("tidebank.chaos.rate", "1"));
  private static final long START_NS = System.nanoTime();

  private SkewedClock() {}

  /** Returns the time of the skewed clock, in nanoseconds. */
  public static long nanoTime() {
    return START_NS + (long) ((System.nanoTime() - START_NS) * RATE);
  }
}
