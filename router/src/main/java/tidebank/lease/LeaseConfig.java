package tidebank.lease;

/**
 * What both sides of a lease agree on.
 *
 * @param leaseUs how long a lease lasts by the clock of whoever grants it, in microseconds
 * @param maxClockDrift the most by which any clock here runs fast or slow against real time, as a
 *     share
 * @param maxMembers members there may be at a time
 * @param maxTextLength characters that a name or a published value may have
 */
public record LeaseConfig(long leaseUs, double maxClockDrift, int maxMembers, int maxTextLength) {
  private static final int RENEWALS = 3;

  /**
   * How long an owner counts it by its own clock. The granter's clock may run fast and the owner's
   * slow, each by the drift: an owner's time of x lasts up to x / (1 - drift), a lease at least
   * lease / (1 + drift).
   */
  public long holderLeaseUs() {
    return (long) (leaseUs * (1 - maxClockDrift) / (1 + maxClockDrift));
  }

  /** How often an owner renews, so that some renewals may be lost. */
  public long renewIntervalUs() {
    return holderLeaseUs() / RENEWALS;
  }
}
