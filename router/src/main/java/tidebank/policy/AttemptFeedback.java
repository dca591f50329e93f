package tidebank.policy;

import tidebank.model.Outcome;

/**
 * Learns from attempts that ended or timed out: passes each outcome on to the detectors and limits
 * that it is evidence for.
 */
final class AttemptFeedback {
  /** How long after a lost connection a server that is ejected counts as crashed by it. */
  private static final long CRASH_EVIDENCE_US = 4_000_000;

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

  /** Learns from an attempt that has just ended after so long. */
  void recordOutcome(Attempt attempt, long durationUs, long now) {
    ShardServer server = attempt.server();
    boolean responded = attempt.outcome() == Outcome.COMPLETED;
    replicas.recordOutcome(server, responded && latency.isPrompt(durationUs));
    switch (attempt.outcome()) {
      case COMPLETED -> recordResponse(attempt, durationUs, now);
      case OVERLOADED -> {
        limit(attempt).decrease(now);
        recordCongestion(server, true, now);
      }
      case TIMED_OUT -> {
        recordTimeout(attempt, now);
        limit(attempt).decrease(now);
      }
      case ERROR -> server.outlierDetector().recordFailure(now);
      case PROTOCOL_ERROR, CONNECTION_LOST, UNREACHABLE -> recordConnectionFault(attempt, now);
      default -> {
        // Cancelled or not sent: nothing to learn.
      }
    }
  }

  /** Learns from an attempt that is still in flight past its timeout, once. */
  void recordTimeout(Attempt attempt, long now) {
    if (attempt.isTimedOut()) {
      return;
    }
    attempt.markTimedOut();
    ShardServer server = attempt.server();
    server.recordTimeout(attempt.sentAt());
    idleConnections.recordSilence(attempt, latency.responsesAreQueueing());
    if (!idleConnections.isProbablyDropped(attempt)) {
      recordCongestion(server, latency.responsesAreQueueing(), now);
      server.outlierDetector().recordFailure(now);
      if (congestion.isOverloaded()) {
        limit(attempt).decrease(now);
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
      limit(attempt).increase(endpoints.replicas(attempt.request().shard()).size());
      server.outlierDetector().recordSuccess();
    }
  }

  private void recordConnectionFault(Attempt attempt, long now) {
    ShardServer server = attempt.server();
    idleConnections.recordSilence(attempt, latency.responsesAreQueueing());
    server.outlierDetector().recordConnectionFault(idleConnections.isProbablyDropped(attempt), now);
    if (attempt.outcome() == Outcome.UNREACHABLE) {
      idleConnections.recordUnreachable();
      server.recordUnreachable(now);
      if (server.isEjected() && server.lostConnectionWithin(CRASH_EVIDENCE_US, now)) {
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
    congestion.recordSample(server, congested, endpoints.size(), now);
  }

  private ConcurrencyLimit limit(Attempt attempt) {
    return limits.of(attempt.request().shard());
  }
}
