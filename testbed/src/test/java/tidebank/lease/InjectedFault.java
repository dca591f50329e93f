package tidebank.lease;

/**
 * A fault in the lease protocol that disables one of its rules, and the production classes with
 * that fault.
 */
enum InjectedFault {
  NONE,
  LEASE_STARTS_AT_RESULT,
  LEASE_STARTS_AT_LAST_RETRY,
  CLOCK_DRIFT_IGNORED,
  LEASE_EXPIRY_NOT_CHECKED,
  FENCING_TOKEN_REUSED,
  NEW_LEADER_EXPIRES_LEASES,
  NEW_LEADER_KEEPS_OLD_TIMES,
  LEASE_EXPIRES_TOO_EARLY,
  REPEATED_COMMAND_APPLIED_AGAIN,
  UNRELATED_RESULT_ACCEPTED,
  LEASE_USED_AFTER_RELEASE,
  FENCING_TOKEN_NOT_CHECKED;

  /** How long before its expiry a lease counts as expired, in microseconds. */
  private static final long EARLY_EXPIRY_US = 1_000_000;

  LeaseTable createTable(LeaseTableState state) {
    return new FaultyTable(state, this);
  }

  LeaseHolder createHolder(String member, String session) {
    return new FaultyHolder(member, session, this);
  }

  private static final class FaultyTable extends LeaseTable {
    private final InjectedFault fault;

    FaultyTable(LeaseTableState state, InjectedFault fault) {
      super(state, new FaultyRules(fault));
      this.fault = fault;
    }

    @Override
    protected void startTerm(long newTerm, long newClock) {
      if (fault != NEW_LEADER_KEEPS_OLD_TIMES) {
        super.startTerm(newTerm, newClock);
      }
    }
  }

  private static final class FaultyRules extends GrantRules {
    private final InjectedFault fault;

    FaultyRules(InjectedFault fault) {
      this.fault = fault;
    }

    @Override
    protected boolean isDuplicate(long sequence, long lastSequence) {
      return fault != REPEATED_COMMAND_APPLIED_AGAIN && super.isDuplicate(sequence, lastSequence);
    }

    @Override
    protected boolean isExpired(TaskLease lease, long leaderClock) {
      return super.isExpired(lease, leaderClock)
          || fault == LEASE_EXPIRES_TOO_EARLY && leaderClock >= lease.expiresAt() - EARLY_EXPIRY_US;
    }

    @Override
    protected long expiryInNewTerm(boolean expired, long termStart, LeaseConfig config) {
      return super.expiryInNewTerm(
          expired || fault == NEW_LEADER_EXPIRES_LEASES, termStart, config);
    }

    @Override
    protected long nextFencingToken(TaskLease lease) {
      return fault == FENCING_TOKEN_REUSED ? 1 : super.nextFencingToken(lease);
    }

    @Override
    protected boolean isCurrentHolder(TaskLease lease, LeaseCommand command) {
      return fault == FENCING_TOKEN_NOT_CHECKED || super.isCurrentHolder(lease, command);
    }
  }

  private static final class FaultyHolder extends LeaseHolder {
    private final InjectedFault fault;

    FaultyHolder(String member, String session, InjectedFault fault) {
      super(member, session);
      this.fault = fault;
    }

    @Override
    protected LeaseHolder newInstance(String memberName, String sessionName) {
      return new FaultyHolder(memberName, sessionName, fault);
    }

    @Override
    protected long leaseStart(long sentAt, long resultReceivedAt) {
      return fault == LEASE_STARTS_AT_RESULT
          ? resultReceivedAt
          : super.leaseStart(sentAt, resultReceivedAt);
    }

    @Override
    protected long effectiveSentAt(long firstSentAt, long repeatedAt) {
      return fault == LEASE_STARTS_AT_LAST_RETRY
          ? repeatedAt
          : super.effectiveSentAt(firstSentAt, repeatedAt);
    }

    @Override
    protected long leaseDurationUs(LeaseConfig config) {
      return fault == CLOCK_DRIFT_IGNORED ? config.leaseUs() : super.leaseDurationUs(config);
    }

    @Override
    protected boolean isHeld(HeldLease lease, long now, long marginUs) {
      return fault == LEASE_EXPIRY_NOT_CHECKED || super.isHeld(lease, now, marginUs);
    }

    @Override
    protected boolean answersPending(long sequence) {
      return fault == UNRELATED_RESULT_ACCEPTED || super.answersPending(sequence);
    }

    @Override
    protected void dropBeforeRelease(String task) {
      if (fault != LEASE_USED_AFTER_RELEASE) {
        super.dropBeforeRelease(task);
      }
    }
  }
}
