package tidebank.policy;

/**
 * Outlier detection for one shard server: a sequential probability ratio test on how its attempts
 * end. A server whose evidence of failure reaches the bound is ejected, so that it is no longer
 * preferred. It gets one attempt at a time after a delay that doubles with each further failure,
 * and its next response in time reinstates it.
 */
final class OutlierDetector {
  private static final double HEALTHY_FAILURE_SHARE = 0.05;
  private static final double OUTLIER_FAILURE_SHARE = 0.5;
  private static final double TEST_ERROR = 0.01;

  // Log-likelihood ratios of one failure, of one success, and at which the test decides.
  private static final double FAILURE_EVIDENCE =
      Math.log(OUTLIER_FAILURE_SHARE / HEALTHY_FAILURE_SHARE);
  private static final double SUCCESS_EVIDENCE =
      Math.log((1 - OUTLIER_FAILURE_SHARE) / (1 - HEALTHY_FAILURE_SHARE));
  private static final double EJECTION_EVIDENCE = Math.log((1 - TEST_ERROR) / TEST_ERROR);
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

  /** Records an error or a timeout, and ejects the server once the evidence is enough. */
  void recordFailure(long now) {
    failureEvidence = Math.min(EJECTION_EVIDENCE, failureEvidence + FAILURE_EVIDENCE);
    if (failureEvidence >= EJECTION_EVIDENCE) {
      eject(now);
    }
  }

  /**
   * Records the end of a connection. A lone connection ends for many reasons, so all attempts that
   * were in flight on it count as one failure, and as none where {@code explained} otherwise.
   */
  void recordConnectionFault(boolean explained, long now) {
    boolean first = lastConnectionFaultAt != now;
    lastConnectionFaultAt = now;
    if (first && !explained) {
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

  /** Returns whether an ejected server may get an attempt that could reinstate it. */
  boolean isReinstatementDue(long now) {
    return ejected && now >= reinstatementAt;
  }

  /** Allows the next reinstatement attempt at once, as the server has restarted. */
  void allowReinstatement(long now) {
    reinstatementAt = Math.min(reinstatementAt, now);
  }
}
