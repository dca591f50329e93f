package tidebank.policy;

import tidebank.model.QueryClass;

/**
 * Learns what responses take, over all shard servers, and derives from it how long an attempt may
 * take. Times are microseconds.
 */
final class LatencyTracker {
  /** The share of the shortest latency objective that a response is taken to need at first. */
  static final double INITIAL_RESPONSE_SHARE = 0.1;

  private static final double SMOOTHING = 1.0 / 32;
  private static final double RECENT_DECAY_US = 4_000_000;

  /** The quick response is the quantile of responses below which this share of them lies. */
  private static final double QUICK_QUANTILE = 0.2;

  private static final double QUICK_STEP_UP = QUICK_QUANTILE / (1 - QUICK_QUANTILE);
  private static final double SLOW_MULTIPLE = 2;
  private static final double TIMEOUT_MULTIPLE = 5;

  // The least and the largest attempt timeout, as shares of the latency objective.
  private static final double MIN_TIMEOUT_SHARE = 0.33;
  private static final double MAX_TIMEOUT_SHARE = 0.6;

  private final long shortestObjectiveUs;
  private double typicalUs;

  /** The typical response again, but forgetting with time as well. */
  private double recentUs;

  private long recentUpdatedAt;

  /** What a response takes that hardly queued. */
  private double quickUs;

  LatencyTracker(long shortestObjectiveUs) {
    this.shortestObjectiveUs = shortestObjectiveUs;
    this.typicalUs = shortestObjectiveUs * INITIAL_RESPONSE_SHARE;
    this.quickUs = typicalUs;
    this.recentUs = typicalUs;
  }

  /** Records any response. */
  void recordResponse(long durationUs, long now) {
    typicalUs += (durationUs - typicalUs) * SMOOTHING;
    double forgotten = 1 - Math.exp((recentUpdatedAt - now) / RECENT_DECAY_US);
    recentUs += (durationUs - recentUs) * Math.max(SMOOTHING, forgotten);
    recentUpdatedAt = now;
  }

  /** Records a response within its attempt timeout: the quick quantile moves towards it. */
  void recordTimelyResponse(long durationUs) {
    quickUs += (durationUs < quickUs ? -1 : QUICK_STEP_UP) * quickUs * SMOOTHING;
  }

  /** Returns whether a response took no more than twice the typical time. */
  boolean isPrompt(long durationUs) {
    return durationUs <= SLOW_MULTIPLE * typicalUs;
  }

  /**
   * Returns whether responses queue: a queue makes all of them slow, while silence leaves some out
   * and the rest quick.
   */
  boolean responsesAreQueueing() {
    double slowUs = Math.min(SLOW_MULTIPLE * quickUs, shortestObjectiveUs * MIN_TIMEOUT_SHARE);
    return recentUs >= slowUs;
  }

  /** Returns what a response takes that hardly queued. */
  double quickResponseUs() {
    return quickUs;
  }

  /** Returns how long an attempt of this query class may take before it counts as timed out. */
  long attemptTimeoutUs(QueryClass queryClass) {
    double leastUs = queryClass.latencyObjectiveUs() * MIN_TIMEOUT_SHARE;
    double mostUs = queryClass.latencyObjectiveUs() * MAX_TIMEOUT_SHARE;
    return Math.round(Math.min(mostUs, Math.max(leastUs, typicalUs * TIMEOUT_MULTIPLE)));
  }

  /** Returns how long the other requests of a query wait for its canary at the most. */
  long canaryWaitUs(QueryClass queryClass) {
    return Math.round(Math.min((double) attemptTimeoutUs(queryClass), SLOW_MULTIPLE * typicalUs));
  }

  /** Returns after how long one of a query's last attempts counts as a straggler. */
  long stragglerAgeUs(QueryClass queryClass) {
    return Math.round(queryClass.latencyObjectiveUs() * MIN_TIMEOUT_SHARE);
  }
}
