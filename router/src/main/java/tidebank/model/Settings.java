package tidebank.model;

import java.util.Map;
import java.util.OptionalLong;

/**
 * The settings that a router is started with. Times are whole microseconds.
 *
 * @param routers how many routers the fleet has
 * @param routerIndex this router's place among them, from 0, or below 0 where unknown
 * @param tickUs the least time between decision rounds
 * @param queryClasses query classes by name
 * @param quotas queries a second within each tenant's quota, by tenant, over all routers
 * @param overQuotaWeight the share of its value that a query beyond the quota has
 * @param layout which servers hold which shards
 * @param limits what the deployment permits
 * @param rules the figures that a router has to keep to
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

  /** Returns the longest query timeout: after it no query is of use to any client. */
  public long longestTimeoutUs() {
    return queryClasses.values().stream().mapToLong(QueryClass::timeoutUs).max().orElse(0);
  }

  /** Returns the shortest latency objective, if any query class has one. */
  public OptionalLong shortestObjectiveUs() {
    return queryClasses.values().stream()
        .mapToLong(QueryClass::latencyObjectiveUs)
        .filter(t -> t > 0)
        .min();
  }

  /**
   * Which servers hold which shards: shard s is held by the servers at the positions s to s + span
   * - 1, taken around the ring.
   *
   * @param shards how many shards there are
   * @param positions how many positions the ring has
   * @param replicationSpan how many positions in a row hold a shard
   * @param maxBatchSize how many shard requests one batch to a server may hold
   * @param batchOverheadUs what a batch costs a server beyond its requests
   */
  public record Layout(
      int shards, int positions, int replicationSpan, int maxBatchSize, long batchOverheadUs) {}

  /**
   * What the deployment permits.
   *
   * @param maxAttempts attempts of one shard request
   * @param hedging whether two of them may be in flight at once
   * @param cancellation whether an attempt may be cancelled
   * @param healthChecks whether servers may be asked for their load
   * @param retryAfter whether clients are told when to retry
   * @param maxRetryAfterUs the longest such wait
   * @param maxPending how many queries and shard requests a router may hold
   * @param watchOnRequest whether the endpoint list only comes on request
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
   * The figures that a router has to keep to.
   *
   * @param responseSlackUs how long after its deadline a final answer still counts
   * @param pollIntervalUs how long the endpoint list is taken to be current without a watch
   * @param drainGraceUs how long after the notice a draining server may still be sent to
   * @param slowStartInitialShare the share of its capacity that a server starts with
   * @param slowStartUs when it has all of its capacity at the latest
   * @param overloadMultiple at which multiple of its capacity a starting server collapses
   * @param overloadWindowUs if that lasts for so long
   * @param retryBudgetFloor retries that are permitted at any traffic
   * @param retryBudgetRatio and further ones for each query and shard request received
   * @param retryBudgetWindowUs the window in which both are counted, or 0 for no such limit
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
