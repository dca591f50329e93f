package tidebank.logging;

import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.filter.Filter;
import ch.qos.logback.core.spi.FilterReply;
import java.time.Instant;

/**
 * A filter that drops log entries over a limit per second. The next admitted entry is preceded by a
 * line with the number of dropped ones.
 */
final class RateLimitFilter extends Filter<ILoggingEvent> {
  private static final long MS_PER_SECOND = 1000;

  private final LogRateLimiter limiter;
  private final Log.Format format;

  RateLimitFilter(int maxLinesPerSecond, Log.Format format) {
    this.limiter = new LogRateLimiter(maxLinesPerSecond);
    this.format = format;
  }

  @Override
  public FilterReply decide(ILoggingEvent event) {
    long dropped = limiter.tryAcquire(event.getTimeStamp() / MS_PER_SECOND);
    if (dropped == LogRateLimiter.DENIED) {
      return FilterReply.DENY;
    }
    if (dropped > 0) {
      // Bypasses the appender, which would call this filter again.
      System.err.println(droppedLine(event.getTimeStamp(), dropped));
    }
    return FilterReply.NEUTRAL;
  }

  private String droppedLine(long timestampMs, long dropped) {
    String message = "log lines dropped: count=" + dropped;
    return switch (format) {
      case TEXT -> Instant.ofEpochMilli(timestampMs) + " WARN " + message;
      case JSON ->
          "{\"timestamp\":" + timestampMs + ",\"level\":\"WARN\",\"message\":\"" + message + "\"}";
    };
  }
}
