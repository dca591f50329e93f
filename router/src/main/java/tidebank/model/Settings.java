package tidebank.model;

import java.util.Map;
import java.util.OptionalLong;

/**
 * The settings an instance is started with. Times are whole microseconds. {@code rank} is its
 * number among the instances, from 0, or below 0 where it is not told.
 */
public record Settings(
    int instances,
    int rank,
    long tickUs,
    Map<String, QueryClass> tableTypes,
    Map<String, Double> allowances,
    double overShareBenefit,
    Layout layout,
    Limits limits,
    Rules rules) {

  /** The longest query timeout: what a client asked for longer ago is of no use to anyone. */
  public long slowestUs() {
    return tableTypes.values().stream().mapToLong(QueryClass::timeoutUs).max().orElse(0);
  }

  public OptionalLong shortestTargetUs() {
    return tableTypes.values().stream().mapToLong(QueryClass::targetUs).filter(t -> t > 0).min();
  }

  /**
   * Shard s is held by the shard servers of the positions s to s + width - 1, taken around the
   * ring.
   */
  public record Layout(int shards, int positions, int width, int bundleMax, long callUs) {}

  /** What the deployment permits. */
  public record Limits(
      int maxDispatches,
      boolean secondCopies,
      boolean cancel,
      boolean probes,
      boolean holdOff,
      long maxHoldOffUs,
      int mostHeld,
      boolean listOnRequest) {}

  /**
   * Figures of the rules. The three of the budget are present together or {@code ratioSpanUs} is 0.
   */
  public record Rules(
      long answerSlackUs,
      long askEveryUs,
      long drainGraceUs,
      double coldFrom,
      long coldUs,
      double fallMultiple,
      long tipAfterUs,
      double freeResends,
      double extraRatio,
      long ratioSpanUs) {}
}
