package tidebank.runtime;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.metrics.Counters;

/**
 * Logs and counts what kept requests waiting within this process: timers that fired late, and
 * passes of the event loop that took long. What clients and servers did meanwhile was read late.
 */
final class EventLoopStallLogger {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopStallLogger.class);

  /** Shorter stalls are not logged. */
  private static final long MIN_LOGGED_US = 100_000;

  private final Counters counters;

  EventLoopStallLogger(Counters counters) {
    this.counters = counters;
  }

  /** Reports by how much the earliest timer fired late. */
  void wakeUp(long lateUs) {
    if (lateUs >= MIN_LOGGED_US) {
      counters.add("timers.late");
      LOG.info("event loop late: late_ms={}", lateUs / 1000);
    }
  }

  /** Reports how long a pass of the event loop took while queries were pending. */
  void pass(long tookUs) {
    if (tookUs >= MIN_LOGGED_US) {
      counters.add("passes.long");
      LOG.info("event loop pass slow: duration_ms={}", tookUs / 1000);
    }
  }
}
