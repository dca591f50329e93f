package tidebank.testbed.account;

/**
 * How one scan of a client went, all its tries together.
 *
 * @param number its place in the trace
 * @param intendedUs when it was to be sent, from the start of the replay
 * @param sentUs when its first try was sent
 * @param endUs when its last answer was whole, or when the client gave up
 * @param end how it ended
 * @param share of the parts' weight that the answer holds, 0 without one
 * @param whole whether the answer is marked whole
 * @param tries how often it was sent
 * @param benefit of a whole answer in time
 * @param earned what this end earned of it
 */
public record QueryRecord(
    long number,
    String tableType,
    String account,
    long intendedUs,
    long sentUs,
    long endUs,
    End end,
    double share,
    boolean whole,
    int tries,
    double benefit,
    double earned) {
  /** How a scan ended for its client: back-pressure is told apart from loss. */
  public enum End {
    COMPLETED,
    COMPLETED_LATE,
    THROTTLED,
    ABANDONED,
    TIMED_OUT,
    BROKEN_OFF,
    NOT_REACHED
  }
}
