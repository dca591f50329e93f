package tidebank.lease;

/**
 * A singleton task with its lease, its assignment and its published value. Times are those of the
 * leader's clock, in microseconds.
 *
 * @param task the task's name
 * @param fencingToken the last fencing token granted, 0 before the first grant
 * @param holder the member it was granted to, or empty if it was released
 * @param session the session it was granted to, or empty
 * @param expiresAt the end of the lease
 * @param assignedMember the member that may claim it, or empty
 * @param stickyMember the member that an operator assigned it to, or empty
 * @param revision counts published values
 * @param publishingToken the fencing token that the value was published with
 * @param value the published value
 */
public record TaskLease(
    String task,
    long fencingToken,
    String holder,
    String session,
    long expiresAt,
    String assignedMember,
    String stickyMember,
    long revision,
    long publishingToken,
    String value) {
  /** Returns a task that was never granted; its first fencing token is above the floor. */
  static TaskLease neverGranted(String task, long fencingTokenFloor, long leaderClock) {
    return new TaskLease(task, fencingTokenFloor, "", "", leaderClock, "", "", 0, 0, "");
  }

  boolean heldBy(String otherSession) {
    return session.equals(otherSession);
  }

  TaskLease granted(long newToken, String newHolder, String newSession, long newExpiresAt) {
    return new TaskLease(
        task,
        newToken,
        newHolder,
        newSession,
        newExpiresAt,
        assignedMember,
        stickyMember,
        revision,
        publishingToken,
        value);
  }

  TaskLease withExpiry(long newExpiresAt) {
    return granted(fencingToken, holder, session, newExpiresAt);
  }

  TaskLease released() {
    return granted(fencingToken, "", "", expiresAt);
  }

  TaskLease assigned(String newAssignedMember, String newStickyMember) {
    return new TaskLease(
        task,
        fencingToken,
        holder,
        session,
        expiresAt,
        newAssignedMember,
        newStickyMember,
        revision,
        publishingToken,
        value);
  }

  /** Returns the task with a new value, published with its current fencing token. */
  TaskLease published(String newValue) {
    return new TaskLease(
        task,
        fencingToken,
        holder,
        session,
        expiresAt,
        assignedMember,
        stickyMember,
        revision + 1,
        fencingToken,
        newValue);
  }
}
