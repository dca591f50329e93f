package tidebank.logging;

/**
 * Limits the log lines per second. Thread-safe, as all threads log, Netty's among them. Each line
 * is either admitted, or denied and reported exactly once, and no second admits more lines than the
 * limit.
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
   * Asks to log a line.
   *
   * @param second the second the line belongs to; one that went back counts as a new one
   * @return {@link #DENIED}, or the number of denied lines that are to be reported now
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
