package tidebank.policy;

import tidebank.model.QueryClass;

/**
 * Decides how long before its time a query is answered, so that the last byte of the response is
 * out by then. An answer leaves a few ticks early, and earlier still by what queries and timers
 * lately waited for the event loop, since a response waits as long on its way out.
 */
final class DeadlineBudget {
  private static final int MARGIN_TICKS = 3;

  /**
   * The largest share of a latency objective by which the event-loop delay advances an answer: a
   * lone stall of the process is no reason to give up the queries that come after it.
   */
  private static final double MAX_ADVANCE_SHARE = 0.2;

  private static final double DELAY_DECAY_US = 4_000_000;

  private final long marginUs;

  /** The longest recent wait for the event loop, decaying with time. */
  private double eventLoopDelayUs;

  private long delayUpdatedAt;

  DeadlineBudget(long tickUs) {
    this.marginUs = MARGIN_TICKS * tickUs;
  }

  /**
   * Records how long a query or a timer waited for the event loop. The maximum counts rather than a
   * mean, as few queries reach one of many routers.
   */
  void recordEventLoopDelay(long delayUs, long now) {
    double decayed = eventLoopDelayUs * Math.exp((delayUpdatedAt - now) / DELAY_DECAY_US);
    eventLoopDelayUs = Math.max((double) delayUs, decayed);
    delayUpdatedAt = now;
  }

  /** Returns how long before its time a query of this class is answered, in microseconds. */
  long answerAdvanceUs(QueryClass queryClass) {
    double mostUs = queryClass.latencyObjectiveUs() * MAX_ADVANCE_SHARE;
    return marginUs + Math.round(Math.min(eventLoopDelayUs, mostUs));
  }

  /** Returns whether less than the fixed margin is left to this query. */
  boolean isExhausted(Query query, long now) {
    return query.deadline() - now <= marginUs;
  }
}
