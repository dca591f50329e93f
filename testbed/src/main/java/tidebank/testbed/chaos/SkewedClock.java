package tidebank.testbed.chaos;

/**
 * A monotonic clock that runs at another rate than the machine's; stands in for it in processes
 * started by {@link SkewedClockLauncher}.
 */
public final class SkewedClock {
  private static final double RATE =
      Double.parseDouble(System.getProperty("tidebank.chaos.rate", "1"));
  private static final long START = System.nanoTime();

  private SkewedClock() {}

  public static long nanoTime() {
    return START + (long) ((System.nanoTime() - START) * RATE);
  }
}
