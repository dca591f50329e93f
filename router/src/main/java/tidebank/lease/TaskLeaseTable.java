package tidebank.lease;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import tidebank.errors.MembershipException;
import tidebank.errors.TidebankException;

/**
 * The singleton tasks of a {@link LeaseTable}: grants, renews and releases their leases, publishes
 * values for them, and assigns them to members.
 */
final class TaskLeaseTable {
  private final SortedMap<String, TaskLease> leases = new TreeMap<>();
  private final GrantRules rules;

  /**
   * The greatest fencing token of any removed task. New tasks start from it, so that a task that is
   * removed and added again never reuses a token.
   */
  private long fencingTokenFloor;

  TaskLeaseTable(GrantRules rules) {
    this.rules = rules;
  }

  void restore(List<TaskLease> stored, long storedTokenFloor) {
    stored.forEach(this::put);
    fencingTokenFloor = storedTokenFloor;
  }

  List<TaskLease> all() {
    return List.copyOf(leases.values());
  }

  long fencingTokenFloor() {
    return fencingTokenFloor;
  }

  // ---- leases

  void claim(LeaseCommand command, long leaderClock, LeaseConfig config) throws TidebankException {
    TaskLease lease = requireTask(command.task());
    boolean expired = rules.isExpired(lease, leaderClock);
    if (!expired && !lease.isHeldBy(command.session())) {
      throw new MembershipException.LeaseHeldByOther(
          lease.task(), lease.holder(), lease.expiresAt() - leaderClock);
    }
    if (!lease.assignedMember().equals(command.member())) {
      throw new MembershipException.TaskAssignedElsewhere(
          lease.task(), lease.assignedMember(), command.member());
    }
    long fencingToken = expired ? rules.nextFencingToken(lease) : lease.fencingToken();
    put(
        lease.withGrant(
            fencingToken, command.member(), command.session(), leaderClock + config.leaseUs()));
  }

  void release(LeaseCommand command, long leaderClock) throws TidebankException {
    put(requireCurrentHolder(command, leaderClock).withoutHolder());
  }

  /** Renews all leases of a session that have not expired. */
  void renewAll(String session, long leaderClock, long expiresAt) {
    leases.replaceAll(
        (task, lease) ->
            lease.isHeldBy(session) && !rules.isExpired(lease, leaderClock)
                ? lease.withExpiry(expiresAt)
                : lease);
  }

  void releaseAll(String session) {
    leases.replaceAll((task, lease) -> lease.isHeldBy(session) ? lease.withoutHolder() : lease);
  }

  /** Replaces a task's published value and returns the new revision. */
  long publish(LeaseCommand command, long leaderClock, LeaseConfig config)
      throws TidebankException {
    TaskLease lease = requireCurrentHolder(command, leaderClock);
    config.checkTextLength("value", command.value());
    if (lease.revision() != command.revision()) {
      throw new MembershipException.RevisionConflict(
          lease.task(), command.revision(), lease.revision());
    }
    TaskLease published = lease.withPublishedValue(command.value());
    put(published);
    return published.revision();
  }

  /**
   * Returns the lease that a command refers to. Throws if the command's sender does not hold it.
   */
  private TaskLease requireCurrentHolder(LeaseCommand command, long leaderClock)
      throws TidebankException {
    TaskLease lease = requireTask(command.task());
    if (!rules.isCurrentHolder(lease, command)) {
      throw new MembershipException.StaleFencingToken(
          lease.task(), command.fencingToken(), lease.fencingToken());
    }
    if (rules.isExpired(lease, leaderClock)) {
      throw new MembershipException.LeaseExpired(lease.task(), lease.fencingToken());
    }
    return lease;
  }

  /** Returns the leases that a session holds. */
  List<CommandResult.Grant> grantsOf(String session, long leaderClock) {
    return leases.values().stream()
        .filter(lease -> lease.isHeldBy(session) && !rules.isExpired(lease, leaderClock))
        .map(lease -> new CommandResult.Grant(lease.task(), lease.fencingToken()))
        .toList();
  }

  /** Adjusts all expiry times to the clock of a new leader. */
  void startTerm(long oldClock, long newClock, LeaseConfig config) {
    leases.replaceAll(
        (task, lease) ->
            lease.withExpiry(
                rules.expiryInNewTerm(rules.isExpired(lease, oldClock), newClock, config)));
  }

  // ---- tasks and their assignment

  TaskLease requireTask(String task) throws TidebankException {
    TaskLease lease = leases.get(task);
    if (lease == null) {
      throw new MembershipException.TaskNotFound(task);
    }
    return lease;
  }

  /** Removes the tasks that are not listed and adds the listed ones that are missing. */
  void setTasks(List<String> tasks, long leaderClock) {
    for (TaskLease lease : all()) {
      if (!tasks.contains(lease.task())) {
        fencingTokenFloor = Math.max(fencingTokenFloor, lease.fencingToken());
        leases.remove(lease.task());
      }
    }
    for (String task : tasks) {
      leases.computeIfAbsent(
          task, absent -> TaskLease.neverGranted(absent, fencingTokenFloor, leaderClock));
    }
  }

  /** Assigns a task to one member as long as that member is eligible. An empty name allows any. */
  void setStickyMember(TaskLease lease, String member) {
    put(lease.withAssignment(lease.assignedMember(), member));
  }

  /** Assigns all tasks to the eligible members. */
  void assign(List<String> eligibleMembers, long leaderClock) {
    Map<String, String> current = new HashMap<>();
    Map<String, String> sticky = new HashMap<>();
    for (TaskLease lease : leases.values()) {
      boolean expired = rules.isExpired(lease, leaderClock);
      current.put(lease.task(), expired ? lease.assignedMember() : lease.holder());
      sticky.put(lease.task(), lease.stickyMember());
    }
    Map<String, String> assignment =
        TaskAssignment.assign(leases.keySet(), eligibleMembers, current, sticky);
    leases.replaceAll(
        (task, lease) ->
            lease.withAssignment(assignment.getOrDefault(task, ""), lease.stickyMember()));
  }

  /** Returns the tasks assigned to a command's sender that it holds or can claim at once. */
  List<String> claimableTasks(LeaseCommand command, long leaderClock) {
    return leases.values().stream()
        .filter(lease -> lease.assignedMember().equals(command.member()))
        .filter(lease -> rules.isExpired(lease, leaderClock) || lease.isHeldBy(command.session()))
        .map(TaskLease::task)
        .toList();
  }

  private void put(TaskLease lease) {
    leases.put(lease.task(), lease);
  }
}
