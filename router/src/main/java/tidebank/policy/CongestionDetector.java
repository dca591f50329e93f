package tidebank.policy;

/**
 * Estimates how congested the shard servers are, as the share of recent samples that were
 * congested: refused, or slow while responses queue. Each server gives one sample a second at most,
 * so that one server is not taken for all of them. Under overload nothing is retried or hedged but
 * what never ran, and load is shed by {@link LoadThresholds}.
 */
final class CongestionDetector {
  private static final double OVERLOAD_LEVEL = 1.0 / 3;
  private static final double INITIAL_LEVEL = OVERLOAD_LEVEL * 0.75;
  private static final double LOW_LEVEL = OVERLOAD_LEVEL * 0.5;

  // The running share goes over as many samples as there are servers, within these bounds.
  private static final int MIN_SAMPLES = 12;
  private static final int MAX_SAMPLES = 32;

  private double level = INITIAL_LEVEL;

  /** Records a sample of one server, where one is due. */
  void recordSample(ShardServer server, boolean congested, int serverCount, long now) {
    if (server.takeCongestionSample(congested, now)) {
      double samples = Math.max(MIN_SAMPLES, Math.min(MAX_SAMPLES, serverCount));
      level += ((congested ? 1 : 0) - level) / samples;
    }
  }

  /** Returns whether so many servers are congested that a retry would only add to the load. */
  boolean isOverloaded() {
    return level >= OVERLOAD_LEVEL;
  }

  /** Returns whether congestion is under half of the overload level. */
  boolean isLow() {
    return level < LOW_LEVEL;
  }

  /** Returns congestion as a multiple of the overload level. */
  double relativeToOverload() {
    return level / OVERLOAD_LEVEL;
  }
}
