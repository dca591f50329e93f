package tidebank.testbed.account;

/**
 * The result of one query of a client, over all its attempts. Times are in microseconds from the
 * start of the replay.
 *
 * @param number position in the trace, from 0
 * @param intendedUs intended time of sending
 * @param sentUs when the first attempt was sent
 * @param endUs when the last response was complete, or when the client gave up
 * @param outcome how the query ended
 * @param answeredWeight share of the weight that the response covers, 0 to 1; 0 without a response
 * @param complete whether the response is marked complete
 * @param attempts how often the client sent the query
 * @param benefit the benefit of a complete response within the latency objective
 * @param earnedBenefit the benefit that this result earned
 */
public record QueryRecord(
    long number,
    String queryClass,
    String tenant,
    long intendedUs,
    long sentUs,
    long endUs,
    Outcome outcome,
    double answeredWeight,
    boolean complete,
    int attempts,
    double benefit,
    double earnedBenefit) {
  /** How a query ended for its client. Throttling is kept apart from failures. */
  public enum Outcome {
    /** Answered within the latency objective. */
    COMPLETED,
    /** Answered after the latency objective but within the timeout. */
    COMPLETED_LATE,
    /** The last attempt was throttled. */
    THROTTLED,
    /** The last attempt got an error response. */
    ABANDONED,
    /** Not answered within the timeout. */
    TIMED_OUT,
    /** The connection was lost after the request had been written. */
    BROKEN_OFF,
    /** No connection, or it was lost before the request had been written. */
    NOT_REACHED
  }
}
