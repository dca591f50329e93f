package tidebank.runtime;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.metrics.Counters;

/**
 * Logs and counts stalls of the event loop: timers that fired late and passes that took long. Input
 * from clients and shard servers waits unread during a stall.
 */
final class EventLoopStallLogger {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopStallLogger.class);

  /** Shorter stalls are neither logged nor counted. */
  private static final long MIN_LOGGED_US = 100_000;

  private final Counters counters;

  EventLoopStallLogger(Counters counters) {
    this.counters = counters;
  }

  /** Records by how much the earliest timer fired late, in microseconds. */
  void recordTimerDelay(long lateUs) {
    if (lateUs >= MIN_LOGGED_US) {
      counters.increment("timers.late");
      LOG.info("event loop late: late_ms={}", lateUs / 1000);
    }
  }

  /** Records the duration of an event loop pass that clients waited for, and what it did. */
  void recordPass(long durationUs, int events, ClientInputStatistics input) {
    if (durationUs >= MIN_LOGGED_US) {
      counters.increment("passes.long");
      LOG.info(
          "event loop pass slow: duration_ms={} policy_events={} {}",
          durationUs / 1000,
          events,
          input.describe());
    }
  }
}
