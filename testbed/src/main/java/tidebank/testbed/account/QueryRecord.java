package tidebank.testbed.account;

/**
 * How one scan of a client went, all its tries together.
 *
 * @param number its place in the trace
 * @param intendedUs when it was to be sent, from the start of the replay
 * @param sentUs when its first try was sent
 * @param endUs when its last answer was whole, or when the client gave up
 * @param outcome how it ended
 * @param answeredWeight of the parts' weight that the answer holds, 0 without one
 * @param complete whether the answer is marked whole
 * @param attempts how often it was sent
 * @param benefit of a whole answer in time
 * @param earnedBenefit what this end earned of it
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
  /** How a scan ended for its client: back-pressure is told apart from loss. */
  public enum Outcome {
    COMPLETED,
    COMPLETED_LATE,
    THROTTLED,
    ABANDONED,
    TIMED_OUT,
    BROKEN_OFF,
    NOT_REACHED
  }
}
