package tidebank.testbed.trace.order;

/**
 * Decides what becomes of a row by how far it is behind the newest one seen. Pure: times come in.
 *
 * <p>A row at or after the last one handed on is in time. An older one goes through the sort on
 * disk, unless it is further behind the newest than the limit: such a time is a fault of the trace,
 * not an order.
 */
public final class Lateness {
  /** What becomes of a row. */
  public enum Way {
    IN_TIME,
    SORTED_ON_DISK,
    REJECTED
  }

  private final long mostUs;
  private long newest = Long.MIN_VALUE;
  private long handedOn = Long.MIN_VALUE;

  /** With the most a row may be behind the newest, in microseconds. */
  public Lateness(long mostUs) {
    this.mostUs = mostUs;
  }

  public Way of(long timeUs) {
    newest = Math.max(newest, timeUs);
    if (newest - timeUs > mostUs) {
      return Way.REJECTED;
    }
    return timeUs < handedOn ? Way.SORTED_ON_DISK : Way.IN_TIME;
  }

  /**
   * The window let a row of this time go; what comes after it in time can still be put in order.
   */
  public void handsOn(long timeUs) {
    handedOn = Math.max(handedOn, timeUs);
  }
}
