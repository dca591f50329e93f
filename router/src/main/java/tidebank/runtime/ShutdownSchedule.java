package tidebank.runtime;

import tidebank.model.Settings;

/**
 * The moments of a graceful shutdown, in whole microseconds, as PROTOCOL has it: SIGKILL comes no
 * sooner than the longest query timeout, taken as 3 s at the most, and 0.7 s after SIGTERM; what it
 * finds unanswered is lost where it came more than 0.7 s after SIGTERM. A connection that stays
 * open is sent on up to SIGKILL, and our process may stand still at any moment, so what could be
 * lost is not let in: all connections without a request are closed before those 0.7 s are over.
 */
final class ShutdownSchedule {
  private static final long LONGEST_US = 3_000_000;

  /**
   * Between the longest query timeout and SIGKILL; also how long a request is not lost however it
   * ends.
   */
  private static final long STRAGGLERS_US = 700_000;

  /** The share of that left free for closing, and for leaving the process. */
  private static final double FREE = 2.0 / 7;

  /** When no further request is let in. */
  final long stopAcceptingAt;

  /** When all that was taken is answered, and all that is left is closed. */
  final long deadline;

  /** For how long a client that has its last answer is waited for to end its side. */
  final long lingerUs;

  /**
   * A plan of a shutdown that we hear of now. What was due in this process so long ago that it
   * waited for {@code lateUs} tells that we stood still meanwhile: the signal may have come at the
   * beginning of that.
   */
  ShutdownSchedule(Settings settings, long now, long lateUs) {
    long told = now - lateUs;
    long free = Math.round(STRAGGLERS_US * FREE);
    lingerUs = free;
    stopAcceptingAt = Math.max(now, told + STRAGGLERS_US - free / 2);
    deadline =
        Math.max(
            now, told + Math.min(settings.longestTimeoutUs(), LONGEST_US) + STRAGGLERS_US - free);
  }
}
