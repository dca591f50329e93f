package tidebank.lease;

/**
 * A current or former member. Times are in microseconds of the leader's clock.
 *
 * @param name the member's name
 * @param session the session that joined last under this name
 * @param expiresAt when the membership expires unless it is renewed
 * @param eligibleAt the time before which a flapping member gets no task if another member can
 * @param flapCount how many times in a row the member rejoined soon after its membership had ended
 * @param draining whether an operator drains the member, so that no task is assigned to it
 * @param retired whether an operator retired the name for good
 * @param lastSequence the sequence number of the last command of the session
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
  boolean isAliveAt(long leaderClock) {
    return expiresAt > leaderClock;
  }

  boolean isJoinedBy(String otherSession) {
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
