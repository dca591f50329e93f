package tidebank.policy;

/**
 * Estimates the congestion of the shard servers as the share of recent samples that were congested:
 * requests that were rejected, or slow while responses queue. The samples of each server are
 * limited to about one a second, so that a single server does not determine the estimate. Under
 * overload, {@link RetryPolicy} admits further attempts only of requests that were not executed,
 * and {@link LoadThresholds} sheds load.
 */
final class CongestionDetector {
  private static final double OVERLOAD_LEVEL = 1.0 / 3;
  private static final double INITIAL_LEVEL = OVERLOAD_LEVEL * 0.75;
  private static final double LOW_LEVEL = OVERLOAD_LEVEL * 0.5;

  // The share is averaged over as many samples as there are servers, within these bounds.
  private static final int MIN_SAMPLES = 12;
  private static final int MAX_SAMPLES = 32;

  private double level = INITIAL_LEVEL;

  /** Records a sample of one server if one is due. */
  void recordSample(ShardServer server, boolean congested, int serverCount, long now) {
    if (server.takeCongestionSample(congested, now)) {
      double samples = Math.max(MIN_SAMPLES, Math.min(MAX_SAMPLES, serverCount));
      level += ((congested ? 1 : 0) - level) / samples;
    }
  }

  /** Returns whether so many servers are congested that retries would only add to the load. */
  boolean isOverloaded() {
    return level >= OVERLOAD_LEVEL;
  }

  /** Returns whether the level is below half of the overload level. */
  boolean isLow() {
    return level < LOW_LEVEL;
  }

  /** Returns the level as a multiple of the overload level. */
  double overloadRatio() {
    return level / OVERLOAD_LEVEL;
  }
}
