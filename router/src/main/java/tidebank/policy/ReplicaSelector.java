package tidebank.policy;

import java.util.Comparator;
import java.util.List;
import tidebank.model.Idempotency;
import tidebank.model.SeededRandom;

/**
 * Selects the replica for an attempt. Rendezvous hashing of the request's key gives the primary
 * replica. If this router's load in flight there exceeds the spillover threshold, the least loaded
 * replica is selected instead. Servers that have used up their slow-start share are left out.
 * Ejected servers are selected only if there is no other, or to test whether they have recovered.
 */
final class ReplicaSelector {
  private static final double MAX_SPILLOVER_THRESHOLD = 4;

  /** The lower bound of a single server's threshold; the threshold over all servers may reach 0. */
  private static final double MIN_SERVER_THRESHOLD = 1;

  private static final double THRESHOLD_INCREASE = 1.0 / 16;
  private static final double THRESHOLD_DECREASE_FACTOR = 0.5;

  /** The load of each further request of a batch: half, because it queues behind the first. */
  private static final double BATCHED_REQUEST_LOAD = 0.5;

  /**
   * The extra load of a timed-out attempt: as much as a whole spillover threshold, because it
   * suggests that the server hangs.
   */
  private static final double TIMED_OUT_LOAD = MAX_SPILLOVER_THRESHOLD;

  private final EndpointTable endpoints;

  /** The threshold over all servers, in requests; each server also has its own. */
  private double spilloverThreshold = MAX_SPILLOVER_THRESHOLD;

  ReplicaSelector(EndpointTable endpoints) {
    this.endpoints = endpoints;
  }

  /**
   * Adjusts the spillover thresholds after an attempt has ended: additive increase, multiplicative
   * decrease.
   *
   * @param prompt whether the attempt ended with a prompt response
   */
  void recordOutcome(ShardServer server, boolean prompt) {
    spilloverThreshold = adjust(spilloverThreshold, prompt, 0);
    double serverThreshold = Math.min(MAX_SPILLOVER_THRESHOLD, server.spilloverThreshold());
    server.setSpilloverThreshold(adjust(serverThreshold, prompt, MIN_SERVER_THRESHOLD));
  }

  private static double adjust(double threshold, boolean prompt, double minimum) {
    return prompt
        ? Math.min(MAX_SPILLOVER_THRESHOLD, threshold + THRESHOLD_INCREASE)
        : Math.max(minimum, threshold * THRESHOLD_DECREASE_FACTOR);
  }

  /** Returns the replica for the next attempt of a request, or null if none is available now. */
  ShardServer select(ShardRequest request, long now) {
    List<ShardServer> available = availableInHashOrder(request, now);
    if (available.isEmpty()) {
      return null;
    }
    ShardServer primary = available.get(0);
    if (mayReinstate(primary, request, now)) {
      return primary;
    }
    List<ShardServer> candidates = preferUntriedAndHealthy(available, request);
    double threshold = Math.min(spilloverThreshold, primary.spilloverThreshold());
    if (candidates.get(0) == primary && load(primary) <= threshold) {
      return primary;
    }
    return leastLoaded(candidates);
  }

  /** Returns the replicas that may get an attempt now, the primary replica first. */
  private List<ShardServer> availableInHashOrder(ShardRequest request, long now) {
    String key = request.key().isEmpty() ? request.query().id() : request.key();
    String salt = key + '/' + request.shard() + '/';
    return endpoints.replicas(request.shard()).stream()
        .filter(
            server -> !request.hasAttemptInFlightAt(server) && server.slowStart().allowsSend(now))
        .sorted(
            Comparator.comparingDouble(
                (ShardServer server) -> -SeededRandom.crcHash(salt + server.id())))
        .toList();
  }

  /**
   * Returns whether a request may be used to test if an ejected server has recovered: only its
   * first attempt, only if the request may be executed again, and only one request at a time.
   */
  private static boolean mayReinstate(ShardServer server, ShardRequest request, long now) {
    return server.outlierDetector().isReinstatementDue(now)
        && server.inFlight().isEmpty()
        && request.attempts().isEmpty()
        && request.query().queryClass().idempotency() != Idempotency.NON_IDEMPOTENT;
  }

  /**
   * Returns the servers that the request has not tried yet, or all if it has tried each; among
   * these, the servers that are not ejected, or all if each is.
   */
  private static List<ShardServer> preferUntriedAndHealthy(
      List<ShardServer> available, ShardRequest request) {
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

  /** Returns the load that this router has in flight at a server, in requests. */
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
