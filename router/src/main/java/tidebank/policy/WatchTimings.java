package tidebank.policy;

import tidebank.model.Settings;

/**
 * The timings of a router's calls to discovery, in microseconds: how long a watch may wait for a
 * change, how long a response may take, and how long to back off after a failure.
 *
 * <p>All timings are shares of one bound, the notification bound of the protocol: 6 s after
 * discovery has a change and is reachable, a router counts as notified, even if a call failed in
 * between. A failed call and the backoff after it may take 10/12 of the bound. The rest is for the
 * call that returns the change and for its processing in the router.
 *
 * <p>All routers share one discovery service, so the load of their idle watches is bounded too. In
 * a fleet of more than 25 routers a confirmed watch therefore waits longer than its share of the
 * bound; if there is no response, the call fails about 2 s after the end of the wait. Half of each
 * backoff is random, so that the routers do not call at the same time.
 */
public final class WatchTimings {
  private static final long NOTIFICATION_BOUND_US = 6_000_000;

  /** Idle watches of the whole fleet may cause at most ten calls per second to discovery. */
  private static final long MIN_FLEET_CALL_INTERVAL_US = 100_000;

  // Shares of the notification bound.
  private static final double CONFIRMED_WATCH_SHARE = 5.0 / 12;

  /** An unconfirmed watch waits only briefly, so that its response confirms it soon. */
  private static final double UNCONFIRMED_WATCH_SHARE = 1.0 / 12;

  /**
   * Discovery rejects calls that were queued for 2 s. The router must wait longer than that to
   * receive the rejection.
   */
  private static final double CONFIRMED_RESPONSE_SHARE = 4.5 / 12;

  /** The call of an unconfirmed watch may be queued once more before its wait begins. */
  private static final double UNCONFIRMED_RESPONSE_SHARE = 8.0 / 12;

  private static final double FIRST_BACKOFF_SHARE = 1.0 / 12;
  private static final double MIN_BACKOFF_SHARE = 1.0 / 24;
  private static final double MAX_FAILED_CALL_SHARE = 10.0 / 12;
  private static final double MAX_RENEWAL_DELAY_SHARE = 1.0 / 2;

  /**
   * The backoff if an agent pushes changes. It is short, because the router counts as notified of a
   * change as soon as the agent has it.
   */
  private static final double PUSHED_BACKOFF_SHARE = 1.0 / 24;

  /** The longest renewal delay if an agent pushes changes, as a share of the drain grace. */
  private static final double PUSHED_RENEWAL_GRACE_SHARE = 1.0 / 8;

  /** A response is early if it takes less than this share of the wait. */
  private static final double EARLY_RESPONSE_SHARE = 1.0 / 2;

  private static final int MAX_DOUBLINGS = Long.SIZE / 2;

  private final long boundUs;
  private final long watchUs;
  private final long maxRenewalDelayUs;
  private int consecutiveFailures;
  private int consecutiveEarlyResponses;

  /** Creates the timings. A poll interval shorter than the notification bound replaces it. */
  public WatchTimings(Settings settings) {
    long pollIntervalUs = settings.rules().pollIntervalUs();
    boundUs = Math.min(NOTIFICATION_BOUND_US, pollIntervalUs);
    boolean watchesOnRequest = settings.limits().watchOnRequest();
    long fleetWatchUs = watchesOnRequest ? settings.routers() * MIN_FLEET_CALL_INTERVAL_US : 0;
    watchUs =
        Math.max(
            Math.round(boundUs * CONFIRMED_WATCH_SHARE), Math.min(pollIntervalUs, fleetWatchUs));
    maxRenewalDelayUs =
        watchesOnRequest
            ? Math.round(boundUs * MAX_RENEWAL_DELAY_SHARE)
            : Math.round(settings.rules().drainGraceUs() * PUSHED_RENEWAL_GRACE_SHARE);
  }

  /**
   * Returns how long a watch may wait for a change.
   *
   * @param confirmed whether the watch has had a response since it began
   */
  public long watchTimeoutUs(boolean confirmed) {
    return confirmed ? watchUs : Math.round(boundUs * UNCONFIRMED_WATCH_SHARE);
  }

  /**
   * Returns how long after the end of the watch's wait a call without a response fails.
   *
   * @param confirmed whether the watch has had a response since it began
   */
  public long responseTimeoutUs(boolean confirmed) {
    return Math.round(
        boundUs * (confirmed ? CONFIRMED_RESPONSE_SHARE : UNCONFIRMED_RESPONSE_SHARE));
  }

  /** Resets the backoff after a response, or when discovery has moved to another address. */
  public void resetBackoff() {
    consecutiveFailures = 0;
  }

  /**
   * Returns the delay before the next call of a watch that has had a response. It is 0 after a
   * change, and if the response took at least half of the wait. After an early response without a
   * change, it doubles with each consecutive one. It is at most half of the notification bound, so
   * that a change in the meantime is still received within the bound. If changes are pushed, it is
   * at most a small share of the drain grace.
   *
   * @param changed whether the response contained a change
   * @param durationUs how long the response took
   * @param waitUs how long the watch could have waited for a change
   * @param random a random number from 0 (inclusive) to 1 (exclusive)
   */
  public long renewalDelayUs(boolean changed, long durationUs, long waitUs, double random) {
    if (changed || durationUs >= waitUs * EARLY_RESPONSE_SHARE) {
      consecutiveEarlyResponses = 0;
      return 0;
    }
    double exponentialUs =
        boundUs * MIN_BACKOFF_SHARE * (1L << Math.min(consecutiveEarlyResponses, MAX_DOUBLINGS));
    consecutiveEarlyResponses++;
    return Math.round(Math.min((double) maxRenewalDelayUs, exponentialUs) * (1 + random) / 2);
  }

  /**
   * Returns the backoff after a failed call. It doubles with each consecutive failure, as far as
   * the time that the failed call took leaves room within the notification bound.
   *
   * @param durationUs how long the call took
   * @param random a random number from 0 (inclusive) to 1 (exclusive)
   */
  public long backoffUs(long durationUs, double random) {
    double exponentialShare =
        FIRST_BACKOFF_SHARE * (1L << Math.min(consecutiveFailures, MAX_DOUBLINGS));
    consecutiveFailures++;
    double remainingShare = MAX_FAILED_CALL_SHARE - (double) durationUs / boundUs;
    double share = Math.max(MIN_BACKOFF_SHARE, Math.min(exponentialShare, remainingShare));
    return Math.round(boundUs * share * (1 + random) / 2);
  }

  /**
   * Returns the backoff after a failed call if changes are pushed.
   *
   * @param random a random number from 0 (inclusive) to 1 (exclusive)
   */
  public long pushedBackoffUs(double random) {
    return Math.round(boundUs * PUSHED_BACKOFF_SHARE * (1 + random) / 2);
  }
}
