package tidebank.lease;

/**
 * A singleton task with its lease, its assigned member and its published value. Times are in
 * microseconds of the leader's clock.
 *
 * @param task the task's name
 * @param fencingToken the last fencing token granted, or before the first grant the floor that it
 *     must exceed
 * @param holder the member that the lease was last granted to, or empty if it was released
 * @param session the session that the lease was last granted to, or empty if it was released
 * @param expiresAt when the lease expires
 * @param assignedMember the member that may claim the task, or empty
 * @param stickyMember the member that an operator assigned the task to, or empty
 * @param revision the number of values published so far
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
  /**
   * Returns a task that was never granted. Its first fencing token will be greater than the floor.
   */
  static TaskLease neverGranted(String task, long fencingTokenFloor, long leaderClock) {
    return new TaskLease(task, fencingTokenFloor, "", "", leaderClock, "", "", 0, 0, "");
  }

  boolean isHeldBy(String otherSession) {
    return session.equals(otherSession);
  }

  TaskLease withGrant(long newToken, String newHolder, String newSession, long newExpiresAt) {
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
    return withGrant(fencingToken, holder, session, newExpiresAt);
  }

  TaskLease withoutHolder() {
    return withGrant(fencingToken, "", "", expiresAt);
  }

  TaskLease withAssignment(String newAssignedMember, String newStickyMember) {
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
  TaskLease withPublishedValue(String newValue) {
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
