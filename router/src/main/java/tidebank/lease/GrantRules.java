package tidebank.lease;

/**
 * The rules by which the coordinator grants leases and accepts commands, one method each, so that a
 * model test can leave out any of them. Times are those of the leader's clock, in microseconds.
 */
public class GrantRules {
  /** Returns whether a command repeats the last one of its session and is not to take effect. */
  protected boolean isDuplicate(long sequence, long lastSequence) {
    return sequence == lastSequence;
  }

  /** Returns whether nobody holds the lease any more. */
  protected boolean isExpired(TaskLease lease, long leaderClock) {
    return lease.holder().isEmpty() || leaderClock >= lease.expiresAt();
  }

  /** Returns the fencing token of the next grant, which no earlier grant of the task had. */
  protected long nextFencingToken(TaskLease lease) {
    return lease.fencingToken() + 1;
  }

  /**
   * Returns whether a command comes from the lease's current holder: it carries the last fencing
   * token granted, and comes from the session that it was granted to.
   */
  protected boolean isCurrentHolder(TaskLease lease, LeaseCommand command) {
    return command.fencingToken() == lease.fencingToken()
        && lease.session().equals(command.session());
  }

  /**
   * Returns the end of a lease or membership in a new leader's term. The clocks of two leaders have
   * nothing in common, so that whatever had not expired lasts a whole lease from the term's start:
   * the old leader cannot have granted more.
   */
  protected long expiryInNewTerm(boolean expired, long termStart, LeaseConfig config) {
    return expired ? termStart : termStart + config.leaseUs();
  }
}
