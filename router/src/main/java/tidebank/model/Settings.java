package tidebank.model;

import java.util.Map;
import java.util.OptionalLong;

/**
 * The settings of a router, fixed at its start. Times are whole microseconds.
 *
 * @param routers number of routers in the fleet
 * @param routerIndex index of this router in the fleet, from 0, or negative if unknown
 * @param tickUs minimum time between decision rounds that a timer starts
 * @param queryClasses query classes by name
 * @param quotas quota of each tenant over all routers, in queries per second, by tenant
 * @param overQuotaWeight share of its value that a query beyond its tenant's quota has
 * @param layout placement of shards on servers
 * @param limits features and limits of the deployment
 * @param rules parameters of the rules that each router has to comply with
 */
public record Settings(
    int routers,
    int routerIndex,
    long tickUs,
    Map<String, QueryClass> queryClasses,
    Map<String, Double> quotas,
    double overQuotaWeight,
    Layout layout,
    Limits limits,
    Rules rules) {

  /** Returns the longest query timeout, after which no client waits for an answer, or 0. */
  public long longestTimeoutUs() {
    return queryClasses.values().stream().mapToLong(QueryClass::timeoutUs).max().orElse(0);
  }

  /** Returns the shortest latency objective above 0, if a query class has one. */
  public OptionalLong shortestObjectiveUs() {
    return queryClasses.values().stream()
        .mapToLong(QueryClass::latencyObjectiveUs)
        .filter(t -> t > 0)
        .min();
  }

  /**
   * Placement of shards on a ring: the servers at the positions s to s + {@code replicationSpan} -
   * 1, modulo {@code positions}, hold shard s.
   *
   * @param shards number of shards
   * @param positions number of positions on the ring
   * @param replicationSpan number of consecutive positions that hold a shard
   * @param maxBatchSize maximum number of shard requests in a batch
   * @param batchOverheadUs time that a server spends on a batch beyond its requests
   */
  public record Layout(
      int shards, int positions, int replicationSpan, int maxBatchSize, long batchOverheadUs) {}

  /**
   * Features and limits of the deployment.
   *
   * @param maxAttempts maximum number of attempts of a shard request
   * @param hedging whether two attempts of a shard request may be in flight at once
   * @param cancellation whether an attempt may be cancelled
   * @param healthChecks whether servers may be asked for their load report
   * @param retryAfter whether throttled clients are told how long to wait before a retry
   * @param maxRetryAfterUs maximum wait that clients are told
   * @param maxPending maximum number of queries and shard requests that a router may hold
   * @param watchOnRequest whether a router has to watch discovery for changes of the endpoint list;
   *     otherwise they are pushed to it
   */
  public record Limits(
      int maxAttempts,
      boolean hedging,
      boolean cancellation,
      boolean healthChecks,
      boolean retryAfter,
      long maxRetryAfterUs,
      int maxPending,
      boolean watchOnRequest) {}

  /**
   * Parameters of the rules that each router has to comply with.
   *
   * @param responseSlackUs how long after its deadline a final answer still counts
   * @param pollIntervalUs how long the endpoint list counts as current without a watch
   * @param drainGraceUs how long attempts may be sent to a draining server after the notification
   * @param slowStartInitialShare share of its capacity that a server has when it starts
   * @param slowStartUs time after its start at which a server has its full capacity at the latest
   * @param overloadMultiple multiple of its capacity at which a starting server collapses
   * @param overloadWindowUs how long that load has to last for the server to collapse
   * @param retryBudgetFloor number of retries in a window that are permitted at any traffic
   * @param retryBudgetRatio further retries for each query and shard request received in the window
   * @param retryBudgetWindowUs length of the window, or 0 for no retry budget
   */
  public record Rules(
      long responseSlackUs,
      long pollIntervalUs,
      long drainGraceUs,
      double slowStartInitialShare,
      long slowStartUs,
      double overloadMultiple,
      long overloadWindowUs,
      double retryBudgetFloor,
      double retryBudgetRatio,
      long retryBudgetWindowUs) {}
}
