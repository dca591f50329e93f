package tidebank.policy;

import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/** Decides whether a shard request may get a further attempt: a retry, or a hedged attempt. */
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
   * Returns whether the request may get a further attempt at all, now or later: within the
   * permitted number and the latency objective, and without executing twice what must not be.
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

  /** Returns whether all attempts that may have executed were sent after the given time. */
  private static boolean isWithinKeyWindow(ShardRequest request, long windowStart) {
    for (Attempt attempt : request.attempts()) {
      if (attempt.mayHaveExecuted() && attempt.sentAt() <= windowStart) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether a retryable request may get its further attempt now. Under overload that would
   * add to the load. It goes all the same where the request reached no server; and where the
   * traffic of one router is sparse, so that its own requests filled no server, if it never ran.
   */
  boolean admitsNow(ShardRequest request, long now) {
    boolean harmless =
        !congestion.isOverloaded()
            || request.neverReachedServer()
            || (sparseTraffic && !request.mayHaveExecuted());
    return harmless && budget.allows(now);
  }

  /** Counts an attempt after the first of a request. */
  void recordRetry(long now) {
    budget.recordRetry(now);
  }
}
