package tidebank.policy;

import tidebank.model.Settings;

/** Decides which shard requests are late enough for a further attempt, and for a hedged one. */
final class HedgingPolicy {
  /** An attempt is very late after this multiple of the attempt timeout. */
  private static final double VERY_LATE_MULTIPLE = 1.4;

  /** The last requests of a query are this share of its requests, but at least one. */
  private static final double LAST_REQUESTS_SHARE = 0.1;

  private final boolean permitted;
  private final LatencyTracker latency;
  private final IdleConnectionDetector idleConnections;
  private final QueryWorkQueue workQueue;

  HedgingPolicy(
      Settings settings,
      LatencyTracker latency,
      IdleConnectionDetector idleConnections,
      QueryWorkQueue workQueue) {
    this.permitted = settings.limits().hedging();
    this.latency = latency;
    this.idleConnections = idleConnections;
    this.workQueue = workQueue;
  }

  /** Returns whether every attempt of the request has ended, timed out or is a straggler. */
  boolean needsFurtherAttempt(ShardRequest request, long now) {
    for (Attempt attempt : request.attempts()) {
      if (attempt.isInFlight() && !attempt.isTimedOut() && !isStraggler(attempt, now)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether hedging is permitted and likely to help: every attempt in flight is at an
   * ejected server, very late, a straggler, or on an idle connection that was probably dropped.
   */
  boolean allowsHedging(ShardRequest request, long now) {
    if (!permitted) {
      return false;
    }
    long timeoutUs = latency.attemptTimeoutUs(request.query().queryClass());
    long veryLateSentAt = now - Math.round(timeoutUs * VERY_LATE_MULTIPLE);
    for (Attempt attempt : request.attempts()) {
      if (attempt.isInFlight()
          && !attempt.server().isEjected()
          && attempt.sentAt() > veryLateSentAt
          && !isStraggler(attempt, now)
          && !idleConnections.isProbablyDropped(attempt)) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether an attempt is late and its request is one of the last that its query awaits.
   */
  private boolean isStraggler(Attempt attempt, long now) {
    Query query = attempt.query();
    long stragglerAt = attempt.sentAt() + latency.stragglerAgeUs(query.queryClass());
    if (now < stragglerAt) {
      workQueue.scheduleReview(stragglerAt, query);
      return false;
    }
    double lastRequests = Math.max(1, query.requests().size() * LAST_REQUESTS_SHARE);
    return permitted && query.remainingRequests() <= lastRequests;
  }
}
