package tidebank.policy;

/**
 * The state of the policy's wake-up timer. Timers can't be cancelled, so a new one is set only for
 * an earlier time. Its token identifies it; the firing of an older timer is ignored.
 */
final class WakeUpTimer {
  private long firesAt = Long.MAX_VALUE;
  private long token;

  /**
   * Sets the timer if {@code wakeAt} is before the time that is set, and returns whether it did.
   *
   * @param wakeAt the requested time
   * @param earliest the earliest time at which the timer may fire
   */
  boolean setIfEarlier(long wakeAt, long earliest) {
    if (wakeAt >= firesAt) {
      return false;
    }
    firesAt = Math.max(wakeAt, earliest);
    token++;
    return true;
  }

  /** Returns the time at which the timer fires, or {@link Long#MAX_VALUE} if it is not set. */
  long firesAt() {
    return firesAt;
  }

  long token() {
    return token;
  }

  /** Returns whether the token is that of the timer that was set last. */
  boolean isCurrent(long firedToken) {
    return firedToken == token;
  }

  void clear() {
    firesAt = Long.MAX_VALUE;
  }
}
