package tidebank.policy;

import java.util.List;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * Load-driven selection of a query's requests, which are ranked by weight. The top T are sent
 * unless their shard is over its concurrency limit; a request of a later rank is sent if the load
 * of its shard is below a threshold that falls from the limit to an idle shard's load. T falls from
 * all requests to none as congestion grows.
 */
final class LoadThresholds {
  /** The threshold of the last rank, as a share of the limit. */
  private static final double IDLE_LOAD_SHARE = 0.1;

  private final EndpointTable endpoints;
  private final ConcurrencyLimits limits;
  private final CongestionDetector congestion;
  private final AttemptPlanner attempts;

  /** Among many routers the load that this one sees tells nothing; congestion stands in for it. */
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
   * Sends the requests that pass their threshold and skips the others. Where nothing is wrong, or
   * the query class needs all of them, they stay pending and are all sent.
   */
  void select(Query query, long now) {
    QueryClass queryClass = query.queryClass();
    if (queryClass.minimumWeight() >= queryClass.completeWeight() || isCalm(query, now)) {
      return;
    }
    List<ShardRequest> ranked = query.requests();
    int top = topRanks(ranked.size());
    double weight = 0;
    for (int rank = 0; rank < ranked.size(); rank++) {
      ShardRequest request = ranked.get(rank);
      // What the minimum weight needs counts as top: less may not be answered.
      top = weight < queryClass.minimumWeight() ? Math.max(top, rank + 1) : top;
      weight += request.weight();
      boolean passes = passes(request, rank, top, ranked.size());
      if (request.isPending() && passes) {
        attempts.startFirst(request, now);
      } else if (request.isPending()) {
        request.skip();
      }
    }
  }

  private boolean isCalm(Query query, long now) {
    if (sparseTraffic && !congestion.isLow()) {
      return false;
    }
    for (ShardRequest request : query.requests()) {
      if (limits.of(request.shard()).isReduced(now)) {
        return false;
      }
    }
    return true;
  }

  private int topRanks(int ranks) {
    double share = Math.min(1, Math.max(0, 2 - 2 * congestion.relativeToOverload()));
    return (int) Math.ceil(ranks * share);
  }

  private boolean passes(ShardRequest request, int rank, int top, int ranks) {
    List<ShardServer> replicas = endpoints.replicas(request.shard());
    double limit = limits.of(request.shard()).perReplica() * replicas.size();
    int load = 0;
    for (ShardServer server : replicas) {
      load += server.inFlight().size();
    }
    if (rank < top) {
      return load <= limit;
    }
    double fall = (rank - top + 1.0) / (ranks - top);
    double threshold = limit * (1 - fall * (1 - IDLE_LOAD_SHARE));
    double expectedLoad = limit * Math.min(1, congestion.relativeToOverload());
    return (sparseTraffic ? Math.max(load, expectedLoad) : load) < threshold;
  }
}
