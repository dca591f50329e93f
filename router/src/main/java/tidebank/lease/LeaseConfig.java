package tidebank.lease;

/**
 * What both sides of a lease agree on.
 *
 * @param leaseUs how long a lease lasts by the clock of whoever grants it, in microseconds
 * @param drift the most by which any clock here runs fast or slow against real time, as a share
 * @param mostMembers members there may be at a time
 * @param mostText characters that a name or a published value may have
 */
public record LeaseConfig(long leaseUs, double drift, int mostMembers, int mostText) {
  private static final int RENEWALS = 3;

  /**
   * How long an owner counts it by its own clock. The granter's clock may run fast and the owner's
   * slow, each by the drift: an owner's time of x lasts up to x / (1 - drift), a lease at least
   * lease / (1 + drift).
   */
  public long ownerUs() {
    return (long) (leaseUs * (1 - drift) / (1 + drift));
  }

  /** How often an owner renews, so that some renewals may be lost. */
  public long renewUs() {
    return ownerUs() / RENEWALS;
  }
}
