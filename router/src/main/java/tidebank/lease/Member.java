package tidebank.lease;

/**
 * A name that is or was a member. Times are those of the leader's clock, in microseconds.
 *
 * @param name the member's name
 * @param session the session that joined under it last
 * @param expiresAt when it stops being alive unless it renews
 * @param eligibleAt before this time no task is assigned to it
 * @param flapCount how often in a row it came back soon after it had gone
 * @param draining whether an operator lets it have no task
 * @param retired whether an operator ended the name for good
 * @param lastSequence the number of its session's last command
 * @param lastResult the result of that command
 */
public record Member(
    String name,
    String session,
    long expiresAt,
    long eligibleAt,
    int flapCount,
    boolean draining,
    boolean retired,
    long lastSequence,
    CommandResult lastResult) {
  boolean aliveAt(long leaderClock) {
    return expiresAt > leaderClock;
  }

  boolean joinedBy(String otherSession) {
    return session.equals(otherSession);
  }

  Member withTimes(long newExpiresAt, long newEligibleAt) {
    return new Member(
        name,
        session,
        newExpiresAt,
        newEligibleAt,
        flapCount,
        draining,
        retired,
        lastSequence,
        lastResult);
  }

  Member withFlags(boolean newDraining, boolean newRetired) {
    return new Member(
        name,
        session,
        expiresAt,
        eligibleAt,
        flapCount,
        newDraining,
        newRetired,
        lastSequence,
        lastResult);
  }

  Member withLastCommand(long sequence, CommandResult result) {
    return new Member(
        name, session, expiresAt, eligibleAt, flapCount, draining, retired, sequence, result);
  }
}
