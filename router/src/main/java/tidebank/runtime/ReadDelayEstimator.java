package tidebank.runtime;

/**
 * Estimates how long bytes may have waited to be read. In each pass the event loop polls its
 * sockets, reads the available bytes and runs a decision round; bytes that arrive after the poll
 * are only found by the next one. Bytes may therefore have arrived at any time since the previous
 * pass began, unless the loop was idle in between and the bytes woke it up. Times are in
 * microseconds.
 */
final class ReadDelayEstimator {
  /** The longest gap between two passes for which the loop is assumed not to have been idle. */
  private final long maxGapUs;

  private boolean passActive;
  private long passNumber;
  private long beganAt;
  private long earliestArrivalTime;
  private long previousEndedAt = Long.MIN_VALUE / 2;

  ReadDelayEstimator(long maxGapUs) {
    this.maxGapUs = maxGapUs;
  }

  /** Begins a pass unless one is active. */
  void beginPassIfNeeded(long now) {
    if (!passActive) {
      passActive = true;
      passNumber++;
      earliestArrivalTime = now - previousEndedAt <= maxGapUs ? beganAt : now;
      beganAt = now;
    }
  }

  /** Ends the current pass and returns its duration. */
  long endPass(long now) {
    passActive = false;
    previousEndedAt = now;
    return now - beganAt;
  }

  /** Returns the earliest time at which bytes read in the current pass may have arrived. */
  long earliestArrivalTime() {
    return earliestArrivalTime;
  }

  /** Returns the number of the current or latest pass, from 1. */
  long passNumber() {
    return passNumber;
  }
}
