package tidebank.runtime;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.metrics.Counters;

/**
 * Logs and counts what kept requests waiting within this process: wake-ups that came late, and
 * passes of the event loop that took long. What clients and servers did meanwhile was seen late.
 */
final class EventLoopStallLogger {
  private static final Logger LOG = LoggerFactory.getLogger(EventLoopStallLogger.class);

  /** What is shorter is not worth a line. */
  private static final long LEAST_US = 100_000;

  private final Counters counters;

  EventLoopStallLogger(Counters counters) {
    this.counters = counters;
  }

  /** The earliest timer was due so long before it fired. */
  void wakeUp(long lateUs) {
    if (lateUs >= LEAST_US) {
      counters.add("timers.late");
      LOG.info("the event loop was late by {} ms", lateUs / 1000);
    }
  }

  /** A pass of the event loop with requests held took so long. */
  void pass(long tookUs) {
    if (tookUs >= LEAST_US) {
      counters.add("passes.long");
      LOG.info("a pass of the event loop took {} ms", tookUs / 1000);
    }
  }
}
