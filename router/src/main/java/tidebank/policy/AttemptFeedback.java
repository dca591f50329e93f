package tidebank.policy;

import tidebank.model.Outcome;

/**
 * Passes the outcomes and timeouts of attempts on to the detectors, limits and trackers that they
 * concern.
 */
final class AttemptFeedback {
  /**
   * How long after losing a connection with attempts in flight an ejected, unreachable server
   * counts as crashed.
   */
  private static final long CRASH_WINDOW_US = 4_000_000;

  /** The share of the latency objective from which on a response counts as slow. */
  private static final double SLOW_OBJECTIVE_SHARE = 0.5;

  private final EndpointTable endpoints;
  private final LatencyTracker latency;
  private final CongestionDetector congestion;
  private final ConcurrencyLimits limits;
  private final IdleConnectionDetector idleConnections;
  private final ReplicaSelector replicas;
  private final CanaryGuard canaries;
  private final ServerRestarts restarts;

  AttemptFeedback(
      EndpointTable endpoints,
      LatencyTracker latency,
      CongestionDetector congestion,
      ConcurrencyLimits limits,
      IdleConnectionDetector idleConnections,
      ReplicaSelector replicas,
      CanaryGuard canaries,
      ServerRestarts restarts) {
    this.endpoints = endpoints;
    this.latency = latency;
    this.congestion = congestion;
    this.limits = limits;
    this.idleConnections = idleConnections;
    this.replicas = replicas;
    this.canaries = canaries;
    this.restarts = restarts;
  }

  /** Records an attempt that has ended, {@code durationUs} after it was sent. */
  void recordOutcome(Attempt attempt, long durationUs, long now) {
    ShardServer server = attempt.server();
    boolean responded = attempt.outcome() == Outcome.COMPLETED;
    replicas.recordOutcome(server, responded && latency.isPrompt(durationUs));
    switch (attempt.outcome()) {
      case COMPLETED -> recordResponse(attempt, durationUs, now);
      case OVERLOADED -> {
        concurrencyLimit(attempt).decrease(now);
        recordCongestion(server, true, now);
      }
      case TIMED_OUT -> {
        recordTimeout(attempt, now);
        concurrencyLimit(attempt).decrease(now);
      }
      case ERROR -> server.outlierDetector().recordFailure(now);
      case PROTOCOL_ERROR, CONNECTION_LOST, UNREACHABLE -> recordConnectionFault(attempt, now);
      default -> {
        // A cancelled or unsent attempt says nothing about its server.
      }
    }
  }

  /** Records that an attempt has timed out, unless that was recorded before. */
  void recordTimeout(Attempt attempt, long now) {
    if (attempt.isTimedOut()) {
      return;
    }
    attempt.markTimedOut();
    ShardServer server = attempt.server();
    server.recordTimeout(attempt.sentAt());
    idleConnections.recordMissingResponse(attempt, latency.responsesAreQueueing());
    if (!idleConnections.isProbablyDropped(attempt)) {
      recordCongestion(server, latency.responsesAreQueueing(), now);
      server.outlierDetector().recordFailure(now);
      if (congestion.isOverloaded()) {
        concurrencyLimit(attempt).decrease(now);
      }
    }
  }

  private void recordResponse(Attempt attempt, long durationUs, long now) {
    ShardServer server = attempt.server();
    restarts.recordResponse(server, attempt.sentAt(), now);
    latency.recordResponse(durationUs, now);
    if (!attempt.isTimedOut()) {
      latency.recordTimelyResponse(durationUs);
      double slowUs = attempt.query().queryClass().latencyObjectiveUs() * SLOW_OBJECTIVE_SHARE;
      recordCongestion(server, latency.responsesAreQueueing() && durationUs >= slowUs, now);
      concurrencyLimit(attempt).increase(endpoints.replicas(attempt.request().shard()).size());
      server.outlierDetector().recordSuccess();
    }
  }

  private void recordConnectionFault(Attempt attempt, long now) {
    ShardServer server = attempt.server();
    idleConnections.recordMissingResponse(attempt, latency.responsesAreQueueing());
    server.outlierDetector().recordConnectionFault(idleConnections.isProbablyDropped(attempt), now);
    if (attempt.outcome() == Outcome.UNREACHABLE) {
      idleConnections.recordUnreachable();
      server.recordUnreachable(now);
      if (server.isEjected() && server.lostConnectionWithin(CRASH_WINDOW_US, now)) {
        canaries.recordCrash(now);
      }
    }
    if (attempt.outcome() == Outcome.CONNECTION_LOST) {
      server.recordConnectionLost(now);
    } else {
      server.clearConnectionLost();
    }
  }

  private void recordCongestion(ShardServer server, boolean congested, long now) {
    congestion.recordSample(server, congested, endpoints.inServiceCount(), now);
  }

  private ConcurrencyLimit concurrencyLimit(Attempt attempt) {
    return limits.forShard(attempt.request().shard());
  }
}
