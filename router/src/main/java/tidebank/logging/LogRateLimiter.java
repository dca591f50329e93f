package tidebank.logging;

/**
 * A limiter of the log lines per second. Thread-safe, because all threads log, including Netty's.
 * Each line is either admitted, or denied and included in exactly one reported count. No second
 * admits more lines than the limit.
 */
public final class LogRateLimiter {
  /** The result of {@link #tryAcquire} for a line over the limit. */
  public static final long DENIED = -1;

  private final int maxLinesPerSecond;
  private long currentSecond = Long.MIN_VALUE;
  private int admittedLines;
  private long unreportedLines;

  /** Creates a limiter that has admitted nothing yet. */
  public LogRateLimiter(int maxLinesPerSecond) {
    this.maxLinesPerSecond = maxLinesPerSecond;
  }

  /**
   * Requests to log a line.
   *
   * @param second the second that the line belongs to; any change of it, even backwards, resets the
   *     count
   * @return {@link #DENIED}, or the number of denied lines not reported before, to be reported now
   */
  public synchronized long tryAcquire(long second) {
    if (second != currentSecond) {
      currentSecond = second;
      admittedLines = 0;
    }
    if (admittedLines >= maxLinesPerSecond) {
      unreportedLines++;
      return DENIED;
    }
    admittedLines++;
    long toReport = unreportedLines;
    unreportedLines = 0;
    return toReport;
  }
}
