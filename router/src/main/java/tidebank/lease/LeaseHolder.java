package tidebank.lease;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import tidebank.errors.MembershipException;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult.Grant;
import tidebank.lease.LeaseCommand.Kind;

/**
 * The member's side of the lease protocol: decides which command to send to the coordinator next,
 * and tracks the leases that the member holds. Times are in microseconds of the member's own
 * monotonic clock.
 *
 * <p>One command is pending at a time and is repeated unchanged until it is answered. A lease
 * counts from the time its command was first sent, because the coordinator may have applied the
 * first copy. Callers get the fencing token just before they act. If a caller is paused in between,
 * the resource rejects its stale token.
 */
public class LeaseHolder {
  /** A lease that is held, with its fencing token and its expiry on the member's own clock. */
  public record HeldLease(long fencingToken, long expiresAt) {}

  /**
   * Expiry of a lease that appears in a result for the first time without having been claimed or
   * renewed by that command. It lies in the past, so the lease is not used before its next renewal.
   */
  private static final long UNKNOWN_EXPIRY = Long.MIN_VALUE / 2;

  private final String member;
  private final String session;
  private final SortedMap<String, HeldLease> leases = new TreeMap<>();
  private List<String> assignedTasks = List.of();
  private long lastSequence;
  private long renewedAt;
  private long renewIntervalUs;
  private boolean joined;
  private long nextJoinAt = Long.MIN_VALUE;
  private boolean leaving;
  private boolean left;
  private LeaseCommand pending;
  private long pendingSentAt;

  /**
   * Creates a holder without leases. Its first command joins.
   *
   * @param member the member's name
   * @param session a name that no other process and no earlier start of this one ever used
   */
  public LeaseHolder(String member, String session) {
    this.member = member;
    this.session = session;
  }

  /** Returns an independent copy of this holder. */
  public LeaseHolder copy() {
    LeaseHolder copy = newInstance(member, session);
    copy.leases.putAll(leases);
    copy.assignedTasks = assignedTasks;
    copy.lastSequence = lastSequence;
    copy.renewedAt = renewedAt;
    copy.renewIntervalUs = renewIntervalUs;
    copy.joined = joined;
    copy.nextJoinAt = nextJoinAt;
    copy.leaving = leaving;
    copy.left = left;
    copy.pending = pending;
    copy.pendingSentAt = pendingSentAt;
    return copy;
  }

  /** Returns a new holder of the same class, for {@link #copy}. */
  protected LeaseHolder newInstance(String memberName, String sessionName) {
    return new LeaseHolder(memberName, sessionName);
  }

  // ---- commands

  /** Returns the pending command to send again, or else a new one; null if none is due. */
  public LeaseCommand nextCommand(long now) {
    if (pending == null) {
      pendingSentAt = now;
      pending = createCommand(now);
    } else {
      pendingSentAt = effectiveSentAt(pendingSentAt, now);
    }
    return pending;
  }

  /**
   * Returns when the next renewal or join is due, or {@link Long#MAX_VALUE} if the member has left.
   */
  public long nextCommandAt() {
    if (left) {
      return Long.MAX_VALUE;
    }
    return joined ? renewedAt + renewIntervalUs : nextJoinAt;
  }

  /**
   * Makes a renewal due at once, because its result may assign a new task. Does not change when
   * leases expire.
   */
  public void renewSoon(long now) {
    renewedAt = Math.min(renewedAt, now - renewIntervalUs);
  }

  private LeaseCommand createCommand(long now) {
    left |= leaving && !joined;
    if (left || (!joined && now < nextJoinAt)) {
      return null;
    }
    if (!joined) {
      return LeaseCommand.of(Kind.JOIN, session, ++lastSequence, member);
    }
    if (leaving) {
      return LeaseCommand.of(Kind.LEAVE, session, ++lastSequence, member);
    }
    if (now - renewedAt >= renewIntervalUs) {
      return LeaseCommand.of(Kind.RENEW, session, ++lastSequence, member);
    }
    LeaseCommand release = createRelease();
    return release == null ? createClaim() : release;
  }

  private LeaseCommand createRelease() {
    for (Map.Entry<String, HeldLease> entry : leases.entrySet()) {
      String task = entry.getKey();
      if (!assignedTasks.contains(task)) {
        LeaseCommand release =
            createTaskCommand(Kind.RELEASE, task, entry.getValue().fencingToken());
        dropBeforeRelease(task);
        return release;
      }
    }
    return null;
  }

  private LeaseCommand createClaim() {
    for (String task : assignedTasks) {
      if (!leases.containsKey(task)) {
        return createTaskCommand(Kind.CLAIM, task, 0);
      }
    }
    return null;
  }

  private LeaseCommand createTaskCommand(Kind kind, String task, long fencingToken) {
    return new LeaseCommand(kind, session, ++lastSequence, member, task, fencingToken, 0, "", null);
  }

  /**
   * Returns the command that publishes a value for a task. Returns the pending command instead if
   * there is one, and null if the task's lease is not held.
   */
  public LeaseCommand createPublishCommand(String task, long revision, String value, long now) {
    if (pending == null && leases.containsKey(task)) {
      long fencingToken = leases.get(task).fencingToken();
      pending =
          new LeaseCommand(
              Kind.PUBLISH,
              session,
              ++lastSequence,
              member,
              task,
              fencingToken,
              revision,
              value,
              null);
      pendingSentAt = now;
    }
    return pending;
  }

  // ---- results

  /** Handles the result of a command. Ignores a result that does not answer the pending command. */
  public void handleResult(long sequence, CommandResult result, long now) {
    if (pending == null || !answersPending(sequence)) {
      return;
    }
    LeaseCommand command = pending;
    pending = null;
    updateMembership(command, result);
    updateLeases(command, result, now);
    updateAssignedTasks(command, result);
  }

  private void updateMembership(LeaseCommand command, CommandResult result) {
    TidebankException.Details error = result.error();
    boolean retired = error != null && error.is(MembershipException.MemberRetired.class);
    boolean unknown = error != null && error.is(MembershipException.MemberUnknown.class);
    joined = !retired && !unknown && (joined || error == null);
    left = retired || command.kind() == Kind.LEAVE;
    renewIntervalUs = result.config().renewIntervalUs();
    if (command.kind() == Kind.RENEW || command.kind() == Kind.JOIN) {
      renewedAt = pendingSentAt;
    }
    if (command.kind() == Kind.JOIN) {
      nextJoinAt = pendingSentAt + renewIntervalUs;
    }
  }

  /**
   * Updates the held leases. Only the result of a claim or renewal extends a lease; the others just
   * list which leases are still held.
   */
  private void updateLeases(LeaseCommand command, CommandResult result, long now) {
    leases
        .keySet()
        .removeIf(task -> result.leases().stream().noneMatch(grant -> grant.task().equals(task)));
    for (Grant grant : result.leases()) {
      boolean extended =
          command.kind() == Kind.RENEW
              || (command.kind() == Kind.CLAIM && command.task().equals(grant.task()));
      HeldLease previous = leases.get(grant.task());
      if (extended) {
        long expiresAt = leaseStart(pendingSentAt, now) + leaseDurationUs(result.config());
        leases.put(grant.task(), new HeldLease(grant.fencingToken(), expiresAt));
      } else if (previous == null || previous.fencingToken() != grant.fencingToken()) {
        leases.put(grant.task(), new HeldLease(grant.fencingToken(), UNKNOWN_EXPIRY));
      }
    }
  }

  private void updateAssignedTasks(LeaseCommand command, CommandResult result) {
    assignedTasks = leaving ? List.of() : result.assignedTasks();
    if (command.kind() == Kind.CLAIM && result.error() != null) {
      // The claim was refused. The result of the next renewal tells if the task is still assigned.
      assignedTasks =
          assignedTasks.stream()
              .filter(task -> !task.equals(command.task()) || leases.containsKey(task))
              .toList();
    }
  }

  // ---- held leases

  /**
   * Returns the fencing token to act with for a task now, or 0 if its lease is not held.
   *
   * @param marginUs the remaining time that the lease must exceed, in microseconds
   */
  public long tokenIfHeld(String task, long now, long marginUs) {
    HeldLease lease = leases.get(task);
    return lease != null && !leaving && isHeld(lease, now, marginUs) ? lease.fencingToken() : 0;
  }

  /** Stops using all leases at once. The next new command ends the membership and releases them. */
  public void leave() {
    leaving = true;
  }

  /** Returns whether the member has left or was retired, so that it sends no more commands. */
  public boolean hasLeft() {
    return left;
  }

  // ---- rules that must hold, one method each, so that a model test can disable any of them

  /**
   * Drops a lease when its release is about to be sent. The member must not act under it from then
   * on, because a successor may get the lease before the result arrives.
   */
  protected void dropBeforeRelease(String task) {
    leases.remove(task);
  }

  /** Returns when a command counts as sent: the first time, however often it was repeated. */
  protected long effectiveSentAt(long firstSentAt, long repeatedAt) {
    return firstSentAt;
  }

  /** Returns how long a lease lasts on the member's own clock, in microseconds. */
  protected long leaseDurationUs(LeaseConfig config) {
    return config.holderLeaseUs();
  }

  /** Returns when a lease starts: when its command was sent, not when the result arrived. */
  protected long leaseStart(long sentAt, long resultReceivedAt) {
    return sentAt;
  }

  /** Returns whether a lease has more than the given margin of time left. */
  protected boolean isHeld(HeldLease lease, long now, long marginUs) {
    return now + marginUs < lease.expiresAt();
  }

  /** Returns whether a result with this sequence number answers the pending command. */
  protected boolean answersPending(long sequence) {
    return pending.sequence() == sequence;
  }

  /** Returns the state as text, for comparing two holders. */
  @Override
  public String toString() {
    return member
        + session
        + leases
        + assignedTasks
        + lastSequence
        + ' '
        + renewedAt
        + ' '
        + nextJoinAt
        + joined
        + leaving
        + left
        + (pending == null ? "" : pending.kind() + pending.task() + pendingSentAt);
  }
}
