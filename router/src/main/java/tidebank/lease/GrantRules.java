package tidebank.lease;

/**
 * The rules by which the coordinator grants leases and accepts commands. Each rule is a method of
 * its own, so that a model test can disable it. Times are in microseconds of the leader's monotonic
 * clock.
 */
public class GrantRules {
  /**
   * Returns whether a command repeats the last one of its session and must not be applied again.
   */
  protected boolean isDuplicate(long sequence, long lastSequence) {
    return sequence == lastSequence;
  }

  /** Returns whether the lease has expired or was released. */
  protected boolean isExpired(TaskLease lease, long leaderClock) {
    return lease.holder().isEmpty() || leaderClock >= lease.expiresAt();
  }

  /**
   * Returns the fencing token for the next grant, greater than that of any earlier grant of the
   * task.
   */
  protected long nextFencingToken(TaskLease lease) {
    return lease.fencingToken() + 1;
  }

  /**
   * Returns whether a command comes from the session that the lease was last granted to and carries
   * the fencing token of that grant. Does not check whether the lease has expired.
   */
  protected boolean isCurrentHolder(TaskLease lease, LeaseCommand command) {
    return command.fencingToken() == lease.fencingToken()
        && lease.session().equals(command.session());
  }

  /**
   * Returns when a lease or membership expires in a new leader's term. The clocks of two leaders
   * are unrelated, so one that has not expired lasts a full lease from the start of the term: the
   * previous leader cannot have granted a longer one.
   *
   * @param expired whether it had expired by the previous leader's clock
   */
  protected long expiryInNewTerm(boolean expired, long termStart, LeaseConfig config) {
    return expired ? termStart : termStart + config.leaseUs();
  }
}
