package tidebank.policy;

import tidebank.model.QueryClass;

/**
 * Tracks the response times of all shard servers together and derives attempt timeouts from them.
 * Times are microseconds.
 */
final class LatencyTracker {
  /** The initial estimate of a response time, as a share of the shortest latency objective. */
  static final double INITIAL_RESPONSE_SHARE = 0.1;

  private static final double SMOOTHING = 1.0 / 32;
  private static final double RECENT_DECAY_US = 4_000_000;

  /** The baseline is this quantile of the response times, an estimate of them without queueing. */
  private static final double BASELINE_QUANTILE = 0.2;

  /** The ratio of a step up to a step down at which the baseline converges to its quantile. */
  private static final double BASELINE_STEP_UP = BASELINE_QUANTILE / (1 - BASELINE_QUANTILE);

  private static final double SLOW_MULTIPLE = 2;
  private static final double TIMEOUT_MULTIPLE = 5;

  // Bounds of the attempt timeout, as shares of the latency objective.
  private static final double MIN_TIMEOUT_SHARE = 0.33;
  private static final double MAX_TIMEOUT_SHARE = 0.6;

  private final long shortestObjectiveUs;
  private double meanUs;

  /** Like {@link #meanUs}, but older responses also lose weight with time. */
  private double recentMeanUs;

  private long recentUpdatedAt;

  private double baselineUs;

  LatencyTracker(long shortestObjectiveUs) {
    this.shortestObjectiveUs = shortestObjectiveUs;
    this.meanUs = shortestObjectiveUs * INITIAL_RESPONSE_SHARE;
    this.baselineUs = meanUs;
    this.recentMeanUs = meanUs;
  }

  /** Records a response, whether it arrived within its attempt timeout or not. */
  void recordResponse(long durationUs, long now) {
    meanUs += (durationUs - meanUs) * SMOOTHING;
    double timeWeight = 1 - Math.exp((recentUpdatedAt - now) / RECENT_DECAY_US);
    recentMeanUs += (durationUs - recentMeanUs) * Math.max(SMOOTHING, timeWeight);
    recentUpdatedAt = now;
  }

  /** Records a response within its attempt timeout, which moves the baseline towards it. */
  void recordTimelyResponse(long durationUs) {
    baselineUs += (durationUs < baselineUs ? -1 : BASELINE_STEP_UP) * baselineUs * SMOOTHING;
  }

  /** Returns whether a response took at most twice the mean response time. */
  boolean isPrompt(long durationUs) {
    return durationUs <= SLOW_MULTIPLE * meanUs;
  }

  /**
   * Returns whether responses queue at the servers. Queueing slows down all responses, while
   * servers or connections that fail leave the remaining responses fast.
   */
  boolean responsesAreQueueing() {
    double slowUs = Math.min(SLOW_MULTIPLE * baselineUs, shortestObjectiveUs * MIN_TIMEOUT_SHARE);
    return recentMeanUs >= slowUs;
  }

  /** Returns the baseline: the time that a response takes almost without queueing. */
  double baselineResponseUs() {
    return baselineUs;
  }

  /** Returns how long an attempt of this query class may take before it counts as timed out. */
  long attemptTimeoutUs(QueryClass queryClass) {
    double minUs = queryClass.latencyObjectiveUs() * MIN_TIMEOUT_SHARE;
    double maxUs = queryClass.latencyObjectiveUs() * MAX_TIMEOUT_SHARE;
    return Math.round(Math.min(maxUs, Math.max(minUs, meanUs * TIMEOUT_MULTIPLE)));
  }

  /** Returns the maximum time for which the other requests of a query wait for its canary. */
  long canaryWaitUs(QueryClass queryClass) {
    return Math.round(Math.min((double) attemptTimeoutUs(queryClass), SLOW_MULTIPLE * meanUs));
  }

  /** Returns the age at which an attempt of one of a query's last requests is a straggler. */
  long stragglerAgeUs(QueryClass queryClass) {
    return Math.round(queryClass.latencyObjectiveUs() * MIN_TIMEOUT_SHARE);
  }
}
