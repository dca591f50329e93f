package tidebank.model;

import java.util.Map;
import java.util.OptionalLong;

/**
 * The settings an instance is started with. Times are whole microseconds. {@code routerIndex} is
 * its number among the instances, from 0, or below 0 where it is not told.
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

  /** The longest query timeout: what a client asked for longer ago is of no use to anyone. */
  public long longestTimeoutUs() {
    return queryClasses.values().stream().mapToLong(QueryClass::timeoutUs).max().orElse(0);
  }

  public OptionalLong shortestObjectiveUs() {
    return queryClasses.values().stream()
        .mapToLong(QueryClass::latencyObjectiveUs)
        .filter(t -> t > 0)
        .min();
  }

  /**
   * Shard s is held by the shard servers of the positions s to s + width - 1, taken around the
   * ring.
   */
  public record Layout(
      int shards, int positions, int replicationSpan, int maxBatchSize, long batchOverheadUs) {}

  /** What the deployment permits. */
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
   * Figures of the rules. The three of the budget are present together or {@code
   * retryBudgetWindowUs} is 0.
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
