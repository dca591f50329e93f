package tidebank.policy;

/**
 * Outlier detection for one shard server: a sequential probability ratio test on the outcomes of
 * its attempts. Once the log-likelihood ratio of "outlier" against "healthy" reaches its bound, the
 * server is ejected: other replicas are preferred to it. An ejected server gets one trial attempt
 * at a time, after a delay that doubles with each further failure. Its next response within the
 * attempt timeout reinstates it.
 */
final class OutlierDetector {
  private static final double HEALTHY_FAILURE_SHARE = 0.05;
  private static final double OUTLIER_FAILURE_SHARE = 0.5;

  /** The probability of a wrong decision, for either of the two hypotheses. */
  private static final double TEST_ERROR_RATE = 0.01;

  /** The log-likelihood ratio that one failure adds. */
  private static final double FAILURE_EVIDENCE =
      Math.log(OUTLIER_FAILURE_SHARE / HEALTHY_FAILURE_SHARE);

  /** The log-likelihood ratio that one success adds; it is negative. */
  private static final double SUCCESS_EVIDENCE =
      Math.log((1 - OUTLIER_FAILURE_SHARE) / (1 - HEALTHY_FAILURE_SHARE));

  /** The log-likelihood ratio at which a server is ejected. */
  private static final double EJECTION_EVIDENCE = Math.log((1 - TEST_ERROR_RATE) / TEST_ERROR_RATE);

  /** The log-likelihood ratio that a reinstated server starts with. */
  private static final double REINSTATED_EVIDENCE = EJECTION_EVIDENCE * 0.5;

  private static final int MAX_DELAY_DOUBLINGS = 3;

  private final long minDelayUs;
  private final long maxDelayUs;
  private double failureEvidence;
  private boolean ejected;
  private long reinstatementAt;
  private long reinstatementDelayUs;
  private long lastConnectionFaultAt = -1;

  OutlierDetector(long shortestObjectiveUs) {
    this.minDelayUs = shortestObjectiveUs / 2;
    this.maxDelayUs = shortestObjectiveUs << MAX_DELAY_DOUBLINGS;
  }

  /** Records a response within its attempt timeout, which reinstates an ejected server. */
  void recordSuccess() {
    failureEvidence =
        ejected ? REINSTATED_EVIDENCE : Math.max(0, failureEvidence + SUCCESS_EVIDENCE);
    ejected = false;
    reinstatementDelayUs = 0;
  }

  /** Records an error or a timeout, and ejects the server if the evidence reaches the bound. */
  void recordFailure(long now) {
    failureEvidence = Math.min(EJECTION_EVIDENCE, failureEvidence + FAILURE_EVIDENCE);
    if (failureEvidence >= EJECTION_EVIDENCE) {
      eject(now);
    }
  }

  /**
   * Records an attempt that ended with a connection fault. All connection faults of one decision
   * round count as a single failure, because a connection can end for many reasons and takes all
   * its attempts with it.
   *
   * @param idleConnectionDropped whether the connection was probably dropped while it was idle,
   *     which says nothing about the server and does not count as a failure
   */
  void recordConnectionFault(boolean idleConnectionDropped, long now) {
    boolean firstOfRound = lastConnectionFaultAt != now;
    lastConnectionFaultAt = now;
    if (firstOfRound && !idleConnectionDropped) {
      recordFailure(now);
    }
  }

  private void eject(long now) {
    ejected = true;
    reinstatementDelayUs = Math.min(Math.max(2 * reinstatementDelayUs, minDelayUs), maxDelayUs);
    reinstatementAt = now + reinstatementDelayUs;
  }

  boolean isEjected() {
    return ejected;
  }

  /** Returns whether the server is ejected and may get an attempt that could reinstate it. */
  boolean isReinstatementDue(long now) {
    return ejected && now >= reinstatementAt;
  }

  /** Allows a reinstatement attempt immediately, because the server has restarted. */
  void allowReinstatement(long now) {
    reinstatementAt = Math.min(reinstatementAt, now);
  }
}
