package tidebank.policy;

import tidebank.model.Settings;

/**
 * The retry budget: attempts after the first of a request are limited, over a sliding window, to a
 * share of the queries and requests received, plus a fixed floor. Settings without a window have no
 * such limit.
 */
final class RetryBudget {
  private final Settings.Rules rules;
  private final long windowUs;

  /** A tick longer than the window, to stay on the safe side of it. */
  private final long retryWindowUs;

  private final SlidingWindow received = new SlidingWindow();
  private final SlidingWindow retries = new SlidingWindow();

  RetryBudget(Settings settings) {
    this.rules = settings.rules();
    this.windowUs = rules.retryBudgetWindowUs();
    this.retryWindowUs = windowUs + settings.tickUs();
  }

  /** Records a query or a request that was received. */
  void recordReceived(long now) {
    received.add(now, windowUs);
  }

  /** Records a retry or a hedged attempt. */
  void recordRetry(long now) {
    retries.add(now, retryWindowUs);
  }

  /** Returns whether one more retry or hedged attempt is within the budget. */
  boolean allows(long now) {
    return windowUs <= 0
        || retries.count(now, retryWindowUs) + 1
            <= rules.retryBudgetFloor() + rules.retryBudgetRatio() * received.count(now, windowUs);
  }
}
