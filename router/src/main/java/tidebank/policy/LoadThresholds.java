package tidebank.policy;

import java.util.List;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * Selects which requests of a query are sent, by the load of their shards. Requests are ranked by
 * weight. The first T are sent unless their shard exceeds its concurrency limit. Each later request
 * is sent if the load of its shard is below a threshold, which decreases with the rank from the
 * limit to the load of an almost idle shard. T decreases from all requests to none as congestion
 * grows.
 */
final class LoadThresholds {
  /** The threshold of the last rank, as a share of the concurrency limit. */
  private static final double IDLE_LOAD_SHARE = 0.1;

  private final EndpointTable endpoints;
  private final ConcurrencyLimits limits;
  private final CongestionDetector congestion;
  private final AttemptPlanner attempts;

  /** Whether this router's own load says too little, so that congestion is used instead. */
  private final boolean sparseTraffic;

  LoadThresholds(
      Settings settings,
      EndpointTable endpoints,
      ConcurrencyLimits limits,
      CongestionDetector congestion,
      AttemptPlanner attempts) {
    this.endpoints = endpoints;
    this.limits = limits;
    this.congestion = congestion;
    this.attempts = attempts;
    this.sparseTraffic = ConcurrencyLimit.isTrafficSparse(settings);
  }

  /**
   * Sends the requests that pass their threshold and skips the others. All requests stay pending,
   * to be sent later in the round, if there is no sign of overload or if the query class does not
   * accept partial answers.
   */
  void select(Query query, long now) {
    QueryClass queryClass = query.queryClass();
    if (queryClass.minimumWeight() >= queryClass.completeWeight() || hasNoOverload(query, now)) {
      return;
    }
    List<ShardRequest> ranked = query.requests();
    int top = topCount(ranked.size());
    double weight = 0;
    for (int rank = 0; rank < ranked.size(); rank++) {
      ShardRequest request = ranked.get(rank);
      // Requests that the minimum weight needs count as top: without them no answer is possible.
      top = weight < queryClass.minimumWeight() ? Math.max(top, rank + 1) : top;
      weight += request.weight();
      boolean passes = passes(request, rank, top, ranked.size());
      if (request.isPending() && passes) {
        attempts.scheduleFirst(request, now);
      } else if (request.isPending()) {
        request.skip();
      }
    }
  }

  private boolean hasNoOverload(Query query, long now) {
    if (sparseTraffic && !congestion.isLow()) {
      return false;
    }
    for (ShardRequest request : query.requests()) {
      if (limits.forShard(request.shard()).isReduced(now)) {
        return false;
      }
    }
    return true;
  }

  private int topCount(int ranks) {
    double share = Math.min(1, Math.max(0, 2 - 2 * congestion.overloadRatio()));
    return (int) Math.ceil(ranks * share);
  }

  private boolean passes(ShardRequest request, int rank, int top, int ranks) {
    List<ShardServer> replicas = endpoints.replicas(request.shard());
    double limit = limits.forShard(request.shard()).perReplica() * replicas.size();
    int load = 0;
    for (ShardServer server : replicas) {
      load += server.inFlight().size();
    }
    if (rank < top) {
      return load <= limit;
    }
    double decrease = (rank - top + 1.0) / (ranks - top);
    double threshold = limit * (1 - decrease * (1 - IDLE_LOAD_SHARE));
    double expectedLoad = limit * Math.min(1, congestion.overloadRatio());
    return (sparseTraffic ? Math.max(load, expectedLoad) : load) < threshold;
  }
}
