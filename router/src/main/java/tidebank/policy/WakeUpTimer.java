package tidebank.policy;

/**
 * The one timer of a policy. A new one is set only for an earlier time, as timers can't be revoked;
 * those that were set before are then ignored.
 */
final class WakeUpTimer {
  private long firesAt = Long.MAX_VALUE;
  private long token;

  /** Sets the timer, and returns whether it is earlier than the one that is set. */
  boolean setIfEarlier(long wakeAt, long earliest) {
    if (wakeAt >= firesAt) {
      return false;
    }
    firesAt = Math.max(wakeAt, earliest);
    token++;
    return true;
  }

  long firesAt() {
    return firesAt;
  }

  long token() {
    return token;
  }

  /** Returns whether this is the token of the timer that was set last. */
  boolean isCurrent(long firedToken) {
    return firedToken == token;
  }

  void clear() {
    firesAt = Long.MAX_VALUE;
  }
}
