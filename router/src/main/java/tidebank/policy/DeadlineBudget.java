package tidebank.policy;

import tidebank.model.QueryClass;

/**
 * Determines how long before its deadline or latency objective a query is answered, so that the
 * last byte of the response is sent in time. This margin is a few ticks, plus the time that queries
 * and timers recently waited for the event loop, since a response waits for it as well.
 */
final class DeadlineBudget {
  private static final int MARGIN_TICKS = 3;

  /**
   * Upper bound of the event-loop delay in the margin, as a share of the latency objective: a
   * single stall of the process must not make the router give up the queries that follow it.
   */
  private static final double MAX_DELAY_SHARE = 0.2;

  /** Time constant of the exponential decay of the event-loop delay. */
  private static final double DELAY_DECAY_US = 4_000_000;

  private final long fixedMarginUs;

  /** The longest wait for the event loop, which decays with time. */
  private double eventLoopDelayUs;

  private long delayUpdatedAt;

  DeadlineBudget(long tickUs) {
    this.fixedMarginUs = MARGIN_TICKS * tickUs;
  }

  /**
   * Records how long a query or a timer waited for the event loop. The maximum is tracked rather
   * than the mean, as each router of a large fleet receives few queries.
   */
  void recordEventLoopDelay(long delayUs, long now) {
    double decayed = eventLoopDelayUs * Math.exp((delayUpdatedAt - now) / DELAY_DECAY_US);
    eventLoopDelayUs = Math.max((double) delayUs, decayed);
    delayUpdatedAt = now;
  }

  /** Returns how long before its deadline or objective a query is answered, in microseconds. */
  long answerMarginUs(QueryClass queryClass) {
    double maxDelayUs = queryClass.latencyObjectiveUs() * MAX_DELAY_SHARE;
    return fixedMarginUs + Math.round(Math.min(eventLoopDelayUs, maxDelayUs));
  }

  /** Returns whether at most the fixed margin is left until the query's deadline. */
  boolean isExhausted(Query query, long now) {
    return query.deadline() - now <= fixedMarginUs;
  }
}
