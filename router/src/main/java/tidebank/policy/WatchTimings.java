package tidebank.policy;

import tidebank.model.Settings;

/**
 * The timings of a router's calls to discovery, in microseconds: how long a watch may wait for a
 * change, how long a response may take, and how long to back off after a failure.
 *
 * <p>All of them follow from one bound. By the protocol a router counts as notified of a change 6 s
 * after discovery had it and could be reached, whichever call failed meanwhile. A failed call and
 * the backoff after it may take 10/12 of that; the rest is for the call that brings the change and
 * for this process.
 *
 * <p>Discovery is shared by the fleet, so what its idle watches cost is bounded too: above 25
 * routers a watch that was confirmed waits longer than the bound leaves it, and is given up 2 s
 * after its wait when it falls silent. Half of each backoff is random, so that a fleet does not
 * call in step.
 */
public final class WatchTimings {
  private static final long NOTIFICATION_BOUND_US = 6_000_000;

  /** Idle watches may cost discovery ten calls a second, over the whole fleet. */
  private static final long MIN_FLEET_CALL_INTERVAL_US = 100_000;

  // Shares of the bound.
  private static final double WATCH_SHARE = 5.0 / 12;

  /** An unconfirmed watch is short, so that its response soon confirms it. */
  private static final double FIRST_WATCH_SHARE = 1.0 / 12;

  /** Discovery rejects calls that queued for 2 s; giving up sooner would leave them unread. */
  private static final double RESPONSE_SHARE = 4.5 / 12;

  /** A first call may queue once more before its wait begins. */
  private static final double FIRST_RESPONSE_SHARE = 8.0 / 12;

  private static final double FIRST_BACKOFF_SHARE = 1.0 / 12;
  private static final double MIN_BACKOFF_SHARE = 1.0 / 24;
  private static final double MAX_FAILED_CALL_SHARE = 10.0 / 12;
  private static final double MAX_RENEWAL_DELAY_SHARE = 1.0 / 2;

  /** Where changes are pushed, by an agent that counts what it has as notified at once. */
  private static final double PUSHED_BACKOFF_SHARE = 1.0 / 24;

  /** The share of the drain grace for which such an agent's changes may wait. */
  private static final double PUSHED_RENEWAL_GRACE_SHARE = 1.0 / 8;

  /** A response before this share of the wait came early. */
  private static final double EARLY_WAIT_SHARE = 1.0 / 2;

  private static final int MAX_DOUBLINGS = Long.SIZE / 2;

  private final long boundUs;
  private final long watchUs;
  private final long maxRenewalDelayUs;
  private int failures;
  private int earlyResponses;

  /** Creates the timings; a poll interval shorter than the protocol's bound is the bound. */
  public WatchTimings(Settings settings) {
    long pollIntervalUs = settings.rules().pollIntervalUs();
    boundUs = Math.min(NOTIFICATION_BOUND_US, pollIntervalUs);
    boolean onRequest = settings.limits().watchOnRequest();
    long fleetUs = onRequest ? settings.routers() * MIN_FLEET_CALL_INTERVAL_US : 0;
    watchUs = Math.max(Math.round(boundUs * WATCH_SHARE), Math.min(pollIntervalUs, fleetUs));
    maxRenewalDelayUs =
        onRequest
            ? Math.round(boundUs * MAX_RENEWAL_DELAY_SHARE)
            : Math.round(settings.rules().drainGraceUs() * PUSHED_RENEWAL_GRACE_SHARE);
  }

  /**
   * Returns how long a watch may wait for a change.
   *
   * @param confirmed whether it has had a response since it began
   */
  public long watchTimeoutUs(boolean confirmed) {
    return confirmed ? watchUs : Math.round(boundUs * FIRST_WATCH_SHARE);
  }

  /** Returns how long a response may take beyond the watch's wait before the call has failed. */
  public long responseTimeoutUs(boolean confirmed) {
    return Math.round(boundUs * (confirmed ? RESPONSE_SHARE : FIRST_RESPONSE_SHARE));
  }

  /** Makes the next failure the first, as a call had a response or discovery has moved. */
  public void reset() {
    failures = 0;
  }

  /**
   * Returns the delay before the next call of a watch that had a response. There is none after a
   * change, or once half of the wait was used. After an early response without a change it doubles
   * with each in a row, up to half of the bound, so that a change meanwhile is still known within
   * the bound. Where changes are pushed it is at most a small share of the drain grace.
   *
   * @param changed whether the response brought a change
   * @param durationUs how long the response took
   * @param waitUs how long it might have waited for a change
   * @param random a random number from 0 to under 1
   */
  public long renewalDelayUs(boolean changed, long durationUs, long waitUs, double random) {
    if (changed || durationUs >= waitUs * EARLY_WAIT_SHARE) {
      earlyResponses = 0;
      return 0;
    }
    double grown = boundUs * MIN_BACKOFF_SHARE * (1L << Math.min(earlyResponses, MAX_DOUBLINGS));
    earlyResponses++;
    return Math.round(Math.min((double) maxRenewalDelayUs, grown) * (1 + random) / 2);
  }

  /**
   * Returns the backoff after one more failed call, which grows with each in a row.
   *
   * @param durationUs how long the call took
   * @param random a random number from 0 to under 1
   */
  public long backoffUs(long durationUs, double random) {
    double grownShare = FIRST_BACKOFF_SHARE * (1L << Math.min(failures, MAX_DOUBLINGS));
    failures++;
    double leftShare = MAX_FAILED_CALL_SHARE - (double) durationUs / boundUs;
    double share = Math.max(MIN_BACKOFF_SHARE, Math.min(grownShare, leftShare));
    return Math.round(boundUs * share * (1 + random) / 2);
  }

  /**
   * Returns the backoff after a failed call where changes are pushed.
   *
   * @param random a random number from 0 to under 1
   */
  public long pushedBackoffUs(double random) {
    return Math.round(boundUs * PUSHED_BACKOFF_SHARE * (1 + random) / 2);
  }
}
