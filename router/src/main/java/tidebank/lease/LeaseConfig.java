package tidebank.lease;

import tidebank.errors.MembershipException;

/**
 * The configuration of leases, which the coordinator and all members share.
 *
 * @param leaseUs the duration of a lease on the coordinator's clock, in microseconds
 * @param maxClockDrift the maximum rate error of any clock against real time, as a fraction
 * @param maxMembers the maximum number of members
 * @param maxTextLength the maximum length of a member's name or a published value, in characters
 */
public record LeaseConfig(long leaseUs, double maxClockDrift, int maxMembers, int maxTextLength) {
  private static final int RENEWALS_PER_LEASE = 3;

  /**
   * Returns how long a lease lasts on the holder's own clock, in microseconds. The coordinator's
   * clock may run fast and the holder's slow, each by the maximum drift: an interval x of the
   * holder's clock takes up to x / (1 - drift), and a lease lasts at least leaseUs / (1 + drift).
   */
  public long holderLeaseUs() {
    return (long) (leaseUs * (1 - maxClockDrift) / (1 + maxClockDrift));
  }

  /**
   * Returns the interval between renewals, in microseconds. It is short enough that a lease
   * survives the loss of a renewal.
   */
  public long renewIntervalUs() {
    return holderLeaseUs() / RENEWALS_PER_LEASE;
  }

  /** Throws if a text is longer than a name or a published value may be. */
  void checkTextLength(String field, String text) throws MembershipException.ValueTooLarge {
    if (text.length() > maxTextLength) {
      throw new MembershipException.ValueTooLarge(field, text.length(), maxTextLength);
    }
  }
}
