package tidebank.policy;

/**
 * Decides on the attempts of a shard request that is still needed: its first one, retries once none
 * is in flight, and hedged attempts beside one that is late.
 */
final class AttemptPlanner {
  /** How often a request is reviewed within one attempt timeout while nothing happens to it. */
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

  /** Sends a request for the first time, retries or hedges it, as its attempts call for. */
  void advance(ShardRequest request, long now) {
    if (request.isPending()) {
      startFirst(request, now);
    } else if (request.isSent() && hedging.needsFurtherAttempt(request, now)) {
      if (retries.isRetryable(request, now)) {
        retryOrHedge(request, now);
      } else if (!request.hasAttemptInFlight()) {
        request.fail();
      }
      reviewSoon(request.query(), now);
    }
  }

  /** Sends a pending request for the first time, or fails it where that is of no use. */
  void startFirst(ShardRequest request, long now) {
    if (endpoints.replicas(request.shard()).isEmpty() || isTooLate(request.query(), now)) {
      request.fail();
      return;
    }
    ShardServer server = replicas.select(request, now);
    if (server == null) {
      reviewSoon(request.query(), now);
    } else {
      attempts.schedule(request, server, now);
      request.markSent();
    }
  }

  private boolean isTooLate(Query query, long now) {
    return now >= query.objectiveAt()
        && (congestion.isOverloaded() || query.queryClass().lateWeight() <= 0);
  }

  private void retryOrHedge(ShardRequest request, long now) {
    if (!retries.admitsNow(request, now)) {
      return;
    }
    ShardServer server = replicas.select(request, now);
    if (server == null) {
      return;
    }
    if (!request.hasAttemptInFlight() || hedging.admits(request, now)) {
      attempts.schedule(request, server, now);
    } else if (!server.isEjected()) {
      giveUpAtEjectedServers(request);
    }
  }

  /** One attempt at a time: it is given up at an ejected server, and retried once it has ended. */
  private void giveUpAtEjectedServers(ShardRequest request) {
    for (Attempt attempt : request.attempts()) {
      if (attempt.server().isEjected()) {
        attempts.giveUp(attempt);
      }
    }
  }

  private void reviewSoon(Query query, long now) {
    long timeoutUs = latency.attemptTimeoutUs(query.queryClass());
    workQueue.reviewAt(now + timeoutUs / REVIEWS_PER_TIMEOUT, query);
  }
}
