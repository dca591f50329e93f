package tidebank.testbed.trace.order;

/**
 * Makes one clock out of a counter that wraps. A step back by more than half the period is a wrap,
 * one forward by more than half is a straggler from before the last wrap. Pure.
 */
public final class CounterUnwrapper {
  private final double period;
  private long wraps;
  private double last = Double.NaN;

  /** For a counter of this period in microseconds; 0 for a clock that never wraps. */
  public CounterUnwrapper(double period) {
    this.period = period;
  }

  public long unwrap(long time) {
    if (period <= 0) {
      return time;
    }
    double step = time - last;
    if (step < -period / 2) {
      wraps++;
    } else if (step > period / 2 && wraps > 0) {
      return Math.round(time + (wraps - 1) * period);
    }
    last = time;
    return Math.round(time + wraps * period);
  }
}
