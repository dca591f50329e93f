package tidebank.lease;

import tidebank.errors.MembershipException;

/**
 * What leases are granted by; the coordinator and all members go by the same.
 *
 * @param leaseUs how long a lease lasts by the coordinator's clock, in microseconds
 * @param maxClockDrift the most by which any clock runs fast or slow against real time, as a share
 * @param maxMembers the most members there may be at a time
 * @param maxTextLength the most characters that a name or a published value may have
 */
public record LeaseConfig(long leaseUs, double maxClockDrift, int maxMembers, int maxTextLength) {
  private static final int RENEWALS_PER_LEASE = 3;

  /**
   * Returns how long a holder counts its lease by its own clock, in microseconds. The coordinator's
   * clock may run fast and the holder's slow, each by the drift: a holder's time of x lasts up to x
   * / (1 - drift), a lease at least lease / (1 + drift).
   */
  public long holderLeaseUs() {
    return (long) (leaseUs * (1 - maxClockDrift) / (1 + maxClockDrift));
  }

  /** Returns how often a holder renews, in microseconds, so that some renewals may be lost. */
  public long renewIntervalUs() {
    return holderLeaseUs() / RENEWALS_PER_LEASE;
  }

  /** Rejects a text that is longer than a name or a published value may be. */
  void checkTextLength(String field, String text) throws MembershipException.ValueTooLarge {
    if (text.length() > maxTextLength) {
      throw new MembershipException.ValueTooLarge(field, text.length(), maxTextLength);
    }
  }
}
