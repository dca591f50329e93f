package tidebank.policy;

import tidebank.model.Settings;

/**
 * The retry budget. Over a sliding window, it limits retries and hedged attempts to a fixed floor
 * plus a share of the queries and shard requests received. There is no limit if the settings have
 * no window.
 */
final class RetryBudget {
  private final Settings.Rules rules;
  private final long windowUs;

  /** The window in which retries count: one tick longer than configured, as a safety margin. */
  private final long retryWindowUs;

  private final SlidingWindow received = new SlidingWindow();
  private final SlidingWindow retries = new SlidingWindow();

  RetryBudget(Settings settings) {
    this.rules = settings.rules();
    this.windowUs = rules.retryBudgetWindowUs();
    this.retryWindowUs = windowUs + settings.tickUs();
  }

  /** Records a received query or shard request. */
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
