package tidebank.logging;

/**
 * How many log lines a second are let through. Touched by all threads that log, Netty's among them.
 * Its law: of all lines asked for, each was let through, or denied and told of exactly once, and no
 * second lets more through than it may.
 */
public final class LogRateLimiter {
  /** What {@link #tryAcquire} says of a line that is one too many. */
  public static final long DENIED = -1;

  private final int most;
  private long second = Long.MIN_VALUE;
  private int lines;
  private long left;

  public LogRateLimiter(int most) {
    this.most = most;
  }

  /**
   * Asks for a line.
   *
   * @param now the second it is in; one that went back counts as another
   * @return {@link #DENIED}, or how many lines before were denied and are to be told of now
   */
  public synchronized long tryAcquire(long now) {
    if (now != second) {
      second = now;
      lines = 0;
    }
    if (lines >= most) {
      left++;
      return DENIED;
    }
    lines++;
    long tell = left;
    left = 0;
    return tell;
  }
}
