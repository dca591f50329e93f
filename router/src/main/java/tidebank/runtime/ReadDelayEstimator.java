package tidebank.runtime;

/**
 * Estimates since when bytes may have waited to be read. The event loop polls its sockets, reads
 * what is there, and decides; bytes that arrive while it reads and decides are found by the next
 * poll only. So what one pass reads may have arrived at any time since the pass before began,
 * unless the loop rested in between: then the bytes have woken it. Times are whole microseconds.
 */
final class ReadDelayEstimator {
  /** A pass that begins so soon after the one before did not wait for anything. */
  private final long restUs;

  private boolean open;
  private long number;
  private long beganAt;
  private long arrivedSince;
  private long previousEndedAt = Long.MIN_VALUE / 2;

  ReadDelayEstimator(long restUs) {
    this.restUs = restUs;
  }

  /** Something was read or is due in the pass that is on; the first call begins it. */
  void active(long now) {
    if (!open) {
      open = true;
      number++;
      arrivedSince = now - previousEndedAt <= restUs ? beganAt : now;
      beganAt = now;
    }
  }

  /** All that the pass brought has been decided and carried out; returns how long that took. */
  long ended(long now) {
    open = false;
    previousEndedAt = now;
    return now - beganAt;
  }

  /** The earliest moment at which what the present pass reads may have arrived. */
  long arrivedSince() {
    return arrivedSince;
  }

  /** The number of the present or latest pass, from 1. */
  long number() {
    return number;
  }
}
