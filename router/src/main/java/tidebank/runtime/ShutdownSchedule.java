package tidebank.runtime;

import tidebank.model.Settings;

/**
 * The times of a graceful shutdown, in microseconds. According to PROTOCOL, SIGKILL follows SIGTERM
 * no sooner than after the longest query timeout (at most 3 s) plus a grace period of 0.7 s. A
 * request without a response at SIGKILL counts as lost if it arrived more than 0.7 s after SIGTERM.
 *
 * <p>Clients keep sending on a connection that stays open, and the process may stall at any time.
 * No request is accepted that could be lost: all connections without a request are closed before
 * those 0.7 s are over.
 */
final class ShutdownSchedule {
  private static final long MAX_QUERY_TIMEOUT_US = 3_000_000;

  /**
   * The time from the longest query timeout to SIGKILL. A request that arrives within the same time
   * after SIGTERM never counts as lost.
   */
  private static final long GRACE_PERIOD_US = 700_000;

  /** The share of the grace period reserved for closing connections and ending the process. */
  private static final double CLOSING_SHARE = 2.0 / 7;

  private final long stopAcceptingAt;
  private final long deadline;
  private final long lingerUs;

  /**
   * Computes the schedule for a signal that is handled at {@code now}. {@code lateUs} is how long
   * the earliest timer was overdue: the process may have been stalled for this time, and the signal
   * may have arrived when the stall began.
   */
  ShutdownSchedule(Settings settings, long now, long lateUs) {
    long notifiedAt = now - lateUs;
    long closingUs = Math.round(GRACE_PERIOD_US * CLOSING_SHARE);
    lingerUs = closingUs;
    stopAcceptingAt = Math.max(now, notifiedAt + GRACE_PERIOD_US - closingUs / 2);
    deadline =
        Math.max(
            now,
            notifiedAt
                + Math.min(settings.longestTimeoutUs(), MAX_QUERY_TIMEOUT_US)
                + GRACE_PERIOD_US
                - closingUs);
  }

  /** Returns when the router stops accepting requests. */
  long stopAcceptingAt() {
    return stopAcceptingAt;
  }

  /** Returns when all accepted requests have their responses and all connections are closed. */
  long deadline() {
    return deadline;
  }

  /** Returns how long a client may take to close its side after its final response. */
  long lingerUs() {
    return lingerUs;
  }
}
