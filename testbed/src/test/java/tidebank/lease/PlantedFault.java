package tidebank.lease;

/** One rule of the lease protocol left out, and the product's classes without it. */
enum PlantedFault {
  NONE,
  LEASE_COUNTED_FROM_THE_ANSWER,
  LEASE_COUNTED_FROM_THE_LAST_REPEAT,
  DRIFT_LEFT_OUT,
  DEADLINE_NOT_CHECKED,
  TOKEN_DOES_NOT_GROW,
  NEW_LEADER_FORGETS,
  NEW_LEADER_KEEPS_OLD_TIMES,
  TAKEN_OVER_TOO_EARLY,
  REPEATED_COMMAND_TAKES_EFFECT_AGAIN,
  ANY_ANSWER_TAKEN_FOR_THE_AWAITED,
  RELEASED_BUT_STILL_ACTING,
  TOKEN_NOT_COMPARED;

  /** How much too early a lease is taken over, in microseconds. */
  private static final long TOO_EARLY_US = 1_000_000;

  LeaseTable table(LeaseTableState state) {
    return new FaultyTable(state, this);
  }

  LeaseHolder holder(String member, String session) {
    return new FaultyHolder(member, session, this);
  }

  private static final class FaultyTable extends LeaseTable {
    private final PlantedFault fault;

    FaultyTable(LeaseTableState state, PlantedFault fault) {
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
    private final PlantedFault fault;

    FaultyRules(PlantedFault fault) {
      this.fault = fault;
    }

    @Override
    protected boolean isDuplicate(long sequence, long lastSequence) {
      return fault != REPEATED_COMMAND_TAKES_EFFECT_AGAIN
          && super.isDuplicate(sequence, lastSequence);
    }

    @Override
    protected boolean isExpired(TaskLease lease, long leaderClock) {
      return super.isExpired(lease, leaderClock)
          || fault == TAKEN_OVER_TOO_EARLY && leaderClock >= lease.expiresAt() - TOO_EARLY_US;
    }

    @Override
    protected long expiryInNewTerm(boolean expired, long termStart, LeaseConfig config) {
      return super.expiryInNewTerm(expired || fault == NEW_LEADER_FORGETS, termStart, config);
    }

    @Override
    protected long nextFencingToken(TaskLease lease) {
      return fault == TOKEN_DOES_NOT_GROW ? 1 : super.nextFencingToken(lease);
    }

    @Override
    protected boolean isCurrentHolder(TaskLease lease, LeaseCommand command) {
      return fault == TOKEN_NOT_COMPARED || super.isCurrentHolder(lease, command);
    }
  }

  private static final class FaultyHolder extends LeaseHolder {
    private final PlantedFault fault;

    FaultyHolder(String member, String session, PlantedFault fault) {
      super(member, session);
      this.fault = fault;
    }

    @Override
    protected LeaseHolder newInstance(String ofMember, String inSession) {
      return new FaultyHolder(ofMember, inSession, fault);
    }

    @Override
    protected long leaseStart(long sentAt, long answeredAt) {
      return fault == LEASE_COUNTED_FROM_THE_ANSWER
          ? answeredAt
          : super.leaseStart(sentAt, answeredAt);
    }

    @Override
    protected long sentAt(long firstSentAt, long repeatedAt) {
      return fault == LEASE_COUNTED_FROM_THE_LAST_REPEAT
          ? repeatedAt
          : super.sentAt(firstSentAt, repeatedAt);
    }

    @Override
    protected long leaseDurationUs(LeaseConfig config) {
      return fault == DRIFT_LEFT_OUT ? config.leaseUs() : super.leaseDurationUs(config);
    }

    @Override
    protected boolean isHeld(HeldLease lease, long now, long marginUs) {
      return fault == DEADLINE_NOT_CHECKED || super.isHeld(lease, now, marginUs);
    }

    @Override
    protected boolean isAwaited(long sequence) {
      return fault == ANY_ANSWER_TAKEN_FOR_THE_AWAITED || super.isAwaited(sequence);
    }

    @Override
    protected void dropBeforeRelease(String task) {
      if (fault != RELEASED_BUT_STILL_ACTING) {
        super.dropBeforeRelease(task);
      }
    }
  }
}
