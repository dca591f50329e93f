package tidebank.policy;

import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/** Decides whether a shard request may get a further attempt: a retry or a hedged attempt. */
final class RetryPolicy {
  private static final int MAX_RETRIES = 2;

  private final int maxAttempts;
  private final long tickUs;
  private final boolean sparseTraffic;
  private final CongestionDetector congestion;
  private final RetryBudget budget;

  RetryPolicy(Settings settings, CongestionDetector congestion, RetryBudget budget) {
    this.maxAttempts = Math.min(settings.limits().maxAttempts(), 1 + MAX_RETRIES);
    this.tickUs = settings.tickUs();
    this.sparseTraffic = ConcurrencyLimit.isTrafficSparse(settings);
    this.congestion = congestion;
    this.budget = budget;
  }

  /**
   * Returns whether the request may get a further attempt, now or later. It may if it has attempts
   * left, its latency objective has not passed, and a further attempt can't execute a
   * non-idempotent request twice.
   */
  boolean isRetryable(ShardRequest request, long now) {
    Query query = request.query();
    if (request.attempts().size() >= maxAttempts || now >= query.objectiveAt()) {
      return false;
    }
    QueryClass queryClass = query.queryClass();
    if (queryClass.idempotency() == Idempotency.IDEMPOTENT || !request.mayHaveExecuted()) {
      return true;
    }
    return queryClass.idempotency() == Idempotency.WITH_KEY
        && isWithinKeyWindow(request, now + tickUs - queryClass.idempotencyWindowUs());
  }

  /**
   * Returns whether servers still recognize the idempotency key of every attempt that may have
   * executed, because all of these were sent after the given time.
   */
  private static boolean isWithinKeyWindow(ShardRequest request, long windowStart) {
    for (Attempt attempt : request.attempts()) {
      if (attempt.mayHaveExecuted() && attempt.sentAt() <= windowStart) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether a retryable request may get its further attempt now, within the retry budget.
   * Under overload a further attempt would add to the load, so it is allowed only if the request
   * never reached a server. If each router's traffic is sparse, it is also allowed if the request
   * was never executed: this router's own requests can't have caused the overload then.
   */
  boolean allowsNow(ShardRequest request, long now) {
    boolean allowedByLoad =
        !congestion.isOverloaded()
            || request.neverReachedServer()
            || (sparseTraffic && !request.mayHaveExecuted());
    return allowedByLoad && budget.allows(now);
  }

  /** Records a retry or a hedged attempt in the retry budget. */
  void recordRetry(long now) {
    budget.recordRetry(now);
  }
}
