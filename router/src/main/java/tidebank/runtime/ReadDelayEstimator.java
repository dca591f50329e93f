package tidebank.runtime;

/**
 * Estimates since when bytes may have waited to be read. The event loop polls its sockets, reads
 * what is there, and runs a decision round; bytes that arrive meanwhile are found by the next poll
 * only. So what one pass reads may have arrived at any time since the pass before began, unless the
 * loop was idle in between: then the bytes have woken it. Times are in microseconds.
 */
final class ReadDelayEstimator {
  /** A pass that begins within this of the end of the one before did not wait for anything. */
  private final long idleUs;

  private boolean passActive;
  private long number;
  private long beganAt;
  private long arrivedSince;
  private long previousEndedAt = Long.MIN_VALUE / 2;

  ReadDelayEstimator(long idleUs) {
    this.idleUs = idleUs;
  }

  /** Notes that something was read or is due in the present pass; the first call begins it. */
  void active(long now) {
    if (!passActive) {
      passActive = true;
      number++;
      arrivedSince = now - previousEndedAt <= idleUs ? beganAt : now;
      beganAt = now;
    }
  }

  /** Ends the present pass and returns how long it took. */
  long ended(long now) {
    passActive = false;
    previousEndedAt = now;
    return now - beganAt;
  }

  /** Returns the earliest moment at which what the present pass reads may have arrived. */
  long arrivedSince() {
    return arrivedSince;
  }

  /** Returns the number of the present or latest pass, from 1. */
  long number() {
    return number;
  }
}
