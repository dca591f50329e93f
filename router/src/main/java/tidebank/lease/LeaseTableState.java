package tidebank.lease;

import java.util.ArrayList;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The whole state of a {@link LeaseTable}, as it is stored in snapshots and shown to operators.
 *
 * @param config what leases are granted by
 * @param term the term of the last leader whose command was applied
 * @param leaderClock the latest time of that leader's clock, in microseconds
 * @param tokenFloor the greatest fencing token of any task that was removed
 * @param members all members, by name
 * @param tasks all singleton tasks, by name
 * @param operators operators' sessions, the one used longest ago first
 */
public record LeaseTableState(
    LeaseConfig config,
    long term,
    long leaderClock,
    long tokenFloor,
    List<Member> members,
    List<TaskLease> tasks,
    List<OperatorSession> operators) {
  /** Returns the tasks that nobody holds, by the member that each is assigned to. */
  public SortedMap<String, List<String>> unclaimed() {
    SortedMap<String, List<String>> tasksByMember = new TreeMap<>();
    for (TaskLease lease : tasks) {
      boolean free = lease.holder().isEmpty() || leaderClock >= lease.expiresAt();
      if (free && !lease.assignedMember().isEmpty()) {
        tasksByMember
            .computeIfAbsent(lease.assignedMember(), member -> new ArrayList<>())
            .add(lease.task());
      }
    }
    return tasksByMember;
  }

  /** Returns the same state at a later time of the same term; for display. */
  public LeaseTableState asOf(long time) {
    return new LeaseTableState(
        config, term, Math.max(leaderClock, time), tokenFloor, members, tasks, operators);
  }
}
