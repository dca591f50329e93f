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
 * A member's side of the protocol: the command to send to the coordinator next, and the leases that
 * the member holds, by its own monotonic clock in microseconds. It has one command pending at a
 * time, which it repeats unchanged until it is answered. A lease counts from before its command was
 * first sent: the coordinator may have taken the first copy. Callers ask for the fencing token just
 * before they act; whoever is stopped in between is caught at the resource, by that token.
 */
public class LeaseHolder {
  /** A lease that is held: its fencing token, and its end on the member's own clock. */
  public record HeldLease(long fencingToken, long expiresAt) {}

  /** The end of a lease whose grant was never heard: of no use before it is renewed. */
  private static final long NEVER_USABLE = Long.MIN_VALUE / 2;

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
   * Creates a holder without leases that joins with its first command.
   *
   * @param member the member's name
   * @param session a name that no other process and no earlier start ever had
   */
  public LeaseHolder(String member, String session) {
    this.member = member;
    this.session = session;
  }

  /** Returns a holder in the same state that goes on independently of this one. */
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

  /** Returns a fresh holder of the same class, for {@link #copy}. */
  protected LeaseHolder newInstance(String ofMember, String inSession) {
    return new LeaseHolder(ofMember, inSession);
  }

  // ---- commands

  /** Returns the command to send now, or to send again; null if there is none. */
  public LeaseCommand nextCommand(long now) {
    if (pending == null) {
      pendingSentAt = now;
      pending = newCommand(now);
    } else {
      pendingSentAt = sentAt(pendingSentAt, now);
    }
    return pending;
  }

  /** Returns when there will be a command to send, should nothing else happen. */
  public long nextCommandAt() {
    if (left) {
      return Long.MAX_VALUE;
    }
    return joined ? renewedAt + renewIntervalUs : nextJoinAt;
  }

  /** Makes a renewal due at once, as its result may assign a new task. Leases last as they did. */
  public void renewSoon(long now) {
    renewedAt = Math.min(renewedAt, now - renewIntervalUs);
  }

  private LeaseCommand newCommand(long now) {
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
    LeaseCommand release = releaseOfUnassigned();
    return release == null ? claimOfAssigned() : release;
  }

  private LeaseCommand releaseOfUnassigned() {
    for (Map.Entry<String, HeldLease> held : leases.entrySet()) {
      String task = held.getKey();
      if (!assignedTasks.contains(task)) {
        LeaseCommand release = taskCommand(Kind.RELEASE, task, held.getValue().fencingToken());
        dropBeforeRelease(task);
        return release;
      }
    }
    return null;
  }

  private LeaseCommand claimOfAssigned() {
    for (String task : assignedTasks) {
      if (!leases.containsKey(task)) {
        return taskCommand(Kind.CLAIM, task, 0);
      }
    }
    return null;
  }

  private LeaseCommand taskCommand(Kind kind, String task, long fencingToken) {
    return new LeaseCommand(kind, session, ++lastSequence, member, task, fencingToken, 0, "", null);
  }

  /**
   * Returns the command that publishes a value under a task, or the pending command if there is one
   * already; null if the task's lease is not held.
   */
  public LeaseCommand publish(String task, long revision, String value, long now) {
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

  /** Handles the result of a command. One that is not awaited any more changes nothing. */
  public void handleResult(long sequence, CommandResult result, long now) {
    if (pending == null || !isAwaited(sequence)) {
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

  /** A claim or renewal sets the end of a lease; other results only say what is still held. */
  private void updateLeases(LeaseCommand command, CommandResult result, long now) {
    leases
        .keySet()
        .removeIf(task -> result.leases().stream().noneMatch(grant -> grant.task().equals(task)));
    for (Grant grant : result.leases()) {
      boolean renewed =
          command.kind() == Kind.RENEW
              || (command.kind() == Kind.CLAIM && command.task().equals(grant.task()));
      HeldLease before = leases.get(grant.task());
      if (renewed) {
        long expiresAt = leaseStart(pendingSentAt, now) + leaseDurationUs(result.config());
        leases.put(grant.task(), new HeldLease(grant.fencingToken(), expiresAt));
      } else if (before == null || before.fencingToken() != grant.fencingToken()) {
        leases.put(grant.task(), new HeldLease(grant.fencingToken(), NEVER_USABLE));
      }
    }
  }

  private void updateAssignedTasks(LeaseCommand command, CommandResult result) {
    assignedTasks = leaving ? List.of() : result.assignedTasks();
    if (command.kind() == Kind.CLAIM && result.error() != null) {
      // Refused: the next renewal says whether it is still assigned.
      assignedTasks =
          assignedTasks.stream()
              .filter(task -> !task.equals(command.task()) || leases.containsKey(task))
              .toList();
    }
  }

  // ---- what is held

  /**
   * Returns the fencing token to act with for a task now, or 0 if its lease is not held.
   *
   * @param marginUs how much time the lease has to have left at the least, in microseconds
   */
  public long tokenIfHeld(String task, long now, long marginUs) {
    HeldLease lease = leases.get(task);
    return lease != null && !leaving && isHeld(lease, now, marginUs) ? lease.fencingToken() : 0;
  }

  /** Stops acting for all tasks at once; the next command releases all leases. */
  public void leave() {
    leaving = true;
  }

  /** Returns whether the member has left or was retired, and there is nothing more to send. */
  public boolean hasLeft() {
    return left;
  }

  // ---- rules that must hold, one method each, so that a model test can leave out any of them

  /**
   * Drops a lease once its release is sent: nothing may be done under it from then on, as a
   * successor hears of the release first.
   */
  protected void dropBeforeRelease(String task) {
    leases.remove(task);
  }

  /** Returns when a command counts as sent: the first time, however often it was repeated. */
  protected long sentAt(long firstSentAt, long repeatedAt) {
    return firstSentAt;
  }

  /** Returns how long a lease lasts on the member's own clock, in microseconds. */
  protected long leaseDurationUs(LeaseConfig config) {
    return config.holderLeaseUs();
  }

  /** Returns when a lease starts: when its command was sent, not when it was answered. */
  protected long leaseStart(long sentAt, long answeredAt) {
    return sentAt;
  }

  /** Returns whether a lease has that much time left. */
  protected boolean isHeld(HeldLease lease, long now, long marginUs) {
    return now + marginUs < lease.expiresAt();
  }

  /** Returns whether a result is the pending command's. */
  protected boolean isAwaited(long sequence) {
    return pending.sequence() == sequence;
  }

  /** Returns all of the state, for comparing two holders. */
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
