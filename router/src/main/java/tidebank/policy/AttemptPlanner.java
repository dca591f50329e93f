package tidebank.policy;

/**
 * Decides on the attempts of a shard request: the first one, retries when no attempt is in flight,
 * and hedged attempts when the ones in flight are late.
 */
final class AttemptPlanner {
  /** Number of reviews per attempt timeout while a request waits for a further attempt. */
  private static final int REVIEWS_PER_TIMEOUT = 4;

  private final EndpointTable endpoints;
  private final LatencyTracker latency;
  private final CongestionDetector congestion;
  private final RetryPolicy retries;
  private final HedgingPolicy hedging;
  private final ReplicaSelector replicas;
  private final AttemptScheduler attempts;
  private final QueryWorkQueue workQueue;

  AttemptPlanner(
      EndpointTable endpoints,
      LatencyTracker latency,
      CongestionDetector congestion,
      RetryPolicy retries,
      HedgingPolicy hedging,
      ReplicaSelector replicas,
      AttemptScheduler attempts,
      QueryWorkQueue workQueue) {
    this.endpoints = endpoints;
    this.latency = latency;
    this.congestion = congestion;
    this.retries = retries;
    this.hedging = hedging;
    this.replicas = replicas;
    this.attempts = attempts;
    this.workQueue = workQueue;
  }

  /** Schedules the next attempt of a request that needs one, or fails it if none is possible. */
  void advance(ShardRequest request, long now) {
    if (request.isPending()) {
      scheduleFirst(request, now);
    } else if (request.isSent() && hedging.needsFurtherAttempt(request, now)) {
      if (retries.isRetryable(request, now)) {
        retryOrHedge(request, now);
      } else if (!request.hasAttemptInFlight()) {
        request.fail();
      }
      scheduleReview(request.query(), now);
    }
  }

  /**
   * Schedules the first attempt of a pending request, or fails it if an attempt would be useless.
   */
  void scheduleFirst(ShardRequest request, long now) {
    if (endpoints.replicas(request.shard()).isEmpty() || isTooLateToSend(request.query(), now)) {
      request.fail();
      return;
    }
    ShardServer server = replicas.select(request, now);
    if (server == null) {
      scheduleReview(request.query(), now);
    } else {
      attempts.schedule(request, server, now);
      request.markSent();
    }
  }

  private boolean isTooLateToSend(Query query, long now) {
    return now >= query.objectiveAt()
        && (congestion.isOverloaded() || query.queryClass().lateWeight() <= 0);
  }

  private void retryOrHedge(ShardRequest request, long now) {
    if (!retries.allowsNow(request, now)) {
      return;
    }
    ShardServer server = replicas.select(request, now);
    if (server == null) {
      return;
    }
    if (!request.hasAttemptInFlight() || hedging.allowsHedging(request, now)) {
      attempts.schedule(request, server, now);
    } else if (!server.isEjected()) {
      abandonAtEjectedServers(request);
    }
  }

  /** Abandons attempts that cannot be hedged; the request is retried once they have ended. */
  private void abandonAtEjectedServers(ShardRequest request) {
    for (Attempt attempt : request.attempts()) {
      if (attempt.server().isEjected()) {
        attempts.abandon(attempt);
      }
    }
  }

  private void scheduleReview(Query query, long now) {
    long timeoutUs = latency.attemptTimeoutUs(query.queryClass());
    workQueue.scheduleReview(now + timeoutUs / REVIEWS_PER_TIMEOUT, query);
  }
}
