package tidebank.policy;

import java.util.Comparator;
import java.util.List;
import tidebank.model.Idempotency;
import tidebank.model.SeededRandom;

/**
 * Selects the replica for an attempt: the primary one by rendezvous hashing of the request's key,
 * or, once that holds more of this router's requests than its spillover threshold, the replica that
 * holds least. Servers in slow start that have had their share are passed over, ejected ones are
 * avoided where there is another.
 */
final class ReplicaSelector {
  private static final double MAX_SPILLOVER_THRESHOLD = 4;
  private static final double MIN_SERVER_THRESHOLD = 1;
  private static final double THRESHOLD_INCREASE = 1.0 / 16;
  private static final double THRESHOLD_DECREASE_FACTOR = 0.5;

  /** A further request of a batch counts half, as it queues behind the first. */
  private static final double BATCHED_REQUEST_LOAD = 0.5;

  /** A timed-out attempt counts as a full primary, as it is a sign of a server that hangs. */
  private static final double TIMED_OUT_LOAD = MAX_SPILLOVER_THRESHOLD;

  private final EndpointTable endpoints;

  /** The threshold over all servers, beside each server's own. */
  private double spilloverThreshold = MAX_SPILLOVER_THRESHOLD;

  ReplicaSelector(EndpointTable endpoints) {
    this.endpoints = endpoints;
  }

  /** Adjusts the spillover thresholds to an attempt that ended, with a prompt response or not. */
  void recordOutcome(ShardServer server, boolean prompt) {
    spilloverThreshold = adjusted(spilloverThreshold, prompt, 0);
    double own = Math.min(MAX_SPILLOVER_THRESHOLD, server.spilloverThreshold());
    server.setSpilloverThreshold(adjusted(own, prompt, MIN_SERVER_THRESHOLD));
  }

  private static double adjusted(double threshold, boolean prompt, double least) {
    return prompt
        ? Math.min(MAX_SPILLOVER_THRESHOLD, threshold + THRESHOLD_INCREASE)
        : Math.max(least, threshold * THRESHOLD_DECREASE_FACTOR);
  }

  /** Returns the replica for the next attempt of a request, or null where none can take it now. */
  ShardServer select(ShardRequest request, long now) {
    List<ShardServer> available = availableByHash(request, now);
    if (available.isEmpty()) {
      return null;
    }
    ShardServer primary = available.get(0);
    if (mayReinstate(primary, request, now)) {
      return primary;
    }
    List<ShardServer> candidates = preferred(available, request);
    double threshold = Math.min(spilloverThreshold, primary.spilloverThreshold());
    if (candidates.get(0) == primary && load(primary) <= threshold) {
      return primary;
    }
    return leastLoaded(candidates);
  }

  private List<ShardServer> availableByHash(ShardRequest request, long now) {
    String key = request.key().isEmpty() ? request.query().id() : request.key();
    String salt = key + '/' + request.shard() + '/';
    return endpoints.replicas(request.shard()).stream()
        .filter(server -> !request.hasAttemptInFlightAt(server) && server.slowStart().admits(now))
        .sorted(
            Comparator.comparingDouble(
                (ShardServer server) -> -SeededRandom.crcHash(salt + server.id())))
        .toList();
  }

  /** An ejected server gets first attempts that may be repeated, one at a time. */
  private static boolean mayReinstate(ShardServer server, ShardRequest request, long now) {
    return server.outlierDetector().isReinstatementDue(now)
        && server.inFlight().isEmpty()
        && request.attempts().isEmpty()
        && request.query().queryClass().idempotency() != Idempotency.NON_IDEMPOTENT;
  }

  /** Servers not tried yet where there are any, and of these the healthy ones likewise. */
  private static List<ShardServer> preferred(List<ShardServer> available, ShardRequest request) {
    List<ShardServer> untried =
        available.stream().filter(server -> !request.wasTriedAt(server)).toList();
    List<ShardServer> candidates = untried.isEmpty() ? available : untried;
    List<ShardServer> healthy = candidates.stream().filter(server -> !server.isEjected()).toList();
    return healthy.isEmpty() ? candidates : healthy;
  }

  private static ShardServer leastLoaded(List<ShardServer> candidates) {
    ShardServer best = null;
    double bestLoad = Double.POSITIVE_INFINITY;
    for (ShardServer server : candidates) {
      double load = load(server);
      if (best == null || load < bestLoad) {
        best = server;
        bestLoad = load;
      }
    }
    return best;
  }

  /** Returns what this router has in flight at a server, in requests. */
  private static double load(ShardServer server) {
    double load = 0;
    long lastBatch = -1;
    for (Attempt attempt : server.inFlight()) {
      load += attempt.batchNumber() != lastBatch ? 1 : BATCHED_REQUEST_LOAD;
      load += attempt.isTimedOut() ? TIMED_OUT_LOAD : 0;
      lastBatch = attempt.batchNumber();
    }
    return load;
  }
}
