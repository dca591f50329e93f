package tidebank.runtime;

import tidebank.model.Settings;

/**
 * The moments of a graceful shutdown, in microseconds, as PROTOCOL demands: SIGKILL comes no sooner
 * than the longest query timeout, taken as 3 s at the most, and 0.7 s after SIGTERM; what it finds
 * unanswered is lost where it came more than 0.7 s after SIGTERM. Clients keep sending on a
 * connection that stays open, and the process may stand still at any moment, so what could be lost
 * is not accepted: all connections without a request are closed before those 0.7 s are over.
 */
final class ShutdownSchedule {
  private static final long LONGEST_TIMEOUT_US = 3_000_000;

  /**
   * From the longest query timeout to SIGKILL; also how long after SIGTERM a request is not lost
   * however it ends.
   */
  private static final long GRACE_US = 700_000;

  /** The share of the grace left free for closing connections and for leaving the process. */
  private static final double CLOSING_SHARE = 2.0 / 7;

  private final long stopAcceptingAt;
  private final long deadline;
  private final long lingerUs;

  /**
   * Plans a shutdown whose signal is handled now. {@code lateUs} is how long the earliest timer was
   * overdue: the process may have stood still for so long, and the signal may have come at the
   * beginning of that.
   */
  ShutdownSchedule(Settings settings, long now, long lateUs) {
    long notifiedAt = now - lateUs;
    long closingUs = Math.round(GRACE_US * CLOSING_SHARE);
    lingerUs = closingUs;
    stopAcceptingAt = Math.max(now, notifiedAt + GRACE_US - closingUs / 2);
    deadline =
        Math.max(
            now,
            notifiedAt
                + Math.min(settings.longestTimeoutUs(), LONGEST_TIMEOUT_US)
                + GRACE_US
                - closingUs);
  }

  /** Returns when no further request is accepted. */
  long stopAcceptingAt() {
    return stopAcceptingAt;
  }

  /** Returns when all that was accepted has its response, and all connections are closed. */
  long deadline() {
    return deadline;
  }

  /** Returns how long a client that has its final response may take to end its side. */
  long lingerUs() {
    return lingerUs;
  }
}
