package tidebank.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The whole state of a {@link LeaseTable}, as stored in snapshots and shown to operators.
 *
 * @param config the lease configuration in force
 * @param term the term of the last leader that stamped an applied command
 * @param leaderClock the latest time of that leader's clock, in microseconds
 * @param tokenFloor the greatest fencing token of any task that was removed
 * @param members all members, by name
 * @param tasks all singleton tasks, by name
 * @param operators the operator sessions, the least recently used first
 */
public record LeaseTableState(
    LeaseConfig config,
    long term,
    long leaderClock,
    long tokenFloor,
    List<Member> members,
    List<TaskLease> tasks,
    List<OperatorSession> operators) {
  /** Returns the assigned tasks that no member holds, by the member that they are assigned to. */
  public SortedMap<String, List<String>> unclaimedTasks() {
    SortedMap<String, List<String>> tasksByMember = new TreeMap<>();
    for (TaskLease lease : tasks) {
      boolean unheld = lease.holder().isEmpty() || leaderClock >= lease.expiresAt();
      if (unheld && !lease.assignedMember().isEmpty()) {
        tasksByMember
            .computeIfAbsent(lease.assignedMember(), member -> new ArrayList<>())
            .add(lease.task());
      }
    }
    return tasksByMember;
  }

  /** Returns the same state at a later time of the same term, for display. */
  public LeaseTableState asOf(long time) {
    return new LeaseTableState(
        config, term, Math.max(leaderClock, time), tokenFloor, members, tasks, operators);
  }
}
