package tidebank.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;
import tidebank.coordinator.CoordinatorClient.AuditEntry;
import tidebank.lease.LeaseTableState;
import tidebank.lease.TaskLease;

/**
 * The most recent grants, releases and moves of each task, for operators. Derived from the
 * replicated log alone, so all replicas hold the same entries. The lease table does not use it.
 */
final class LeaseAuditLog {
  static final int MAX_ENTRIES_PER_TASK = 64;

  private final NavigableMap<String, Deque<AuditEntry>> entriesByTask = new TreeMap<>();

  /** Creates an audit log that starts with stored entries. */
  LeaseAuditLog(Map<String, List<AuditEntry>> stored) {
    stored.forEach((task, entries) -> entriesByTask.put(task, new ArrayDeque<>(entries)));
  }

  /** Records the differences between the states before and after a command. */
  void recordChanges(LeaseTableState before, LeaseTableState after, long timestampMs) {
    if (before.tasks().equals(after.tasks())) {
      return;
    }
    Map<String, TaskLease> removed = new HashMap<>();
    before.tasks().forEach(lease -> removed.put(lease.task(), lease));
    for (TaskLease lease : after.tasks()) {
      TaskLease previous = removed.remove(lease.task());
      if (previous == null) {
        entriesByTask.putIfAbsent(lease.task(), new ArrayDeque<>());
      } else {
        recordLeaseChange(previous, lease, timestampMs);
        recordMove(previous, lease, timestampMs);
      }
    }
    removed.keySet().forEach(entriesByTask::remove);
  }

  private void recordLeaseChange(TaskLease before, TaskLease after, long timestampMs) {
    if (after.fencingToken() != before.fencingToken()) {
      boolean replacesExpired = !before.holder().isEmpty() && before.fencingToken() != 0;
      String event =
          replacesExpired ? "granted, as the lease of " + before.holder() + " was over" : "granted";
      add(after, timestampMs, after.holder(), event);
    } else if (after.holder().isEmpty() && !before.holder().isEmpty()) {
      add(after, timestampMs, before.holder(), "let go");
    }
  }

  private void recordMove(TaskLease before, TaskLease after, long timestampMs) {
    if (!after.stickyMember().equals(before.stickyMember())) {
      String event = after.stickyMember().isEmpty() ? "moved to anywhere" : "moved to";
      add(after, timestampMs, after.stickyMember(), event);
    }
  }

  private void add(TaskLease lease, long timestampMs, String member, String event) {
    Deque<AuditEntry> entries =
        entriesByTask.computeIfAbsent(lease.task(), absent -> new ArrayDeque<>());
    entries.addLast(new AuditEntry(timestampMs, lease.fencingToken(), member, event));
    if (entries.size() > MAX_ENTRIES_PER_TASK) {
      entries.removeFirst();
    }
  }

  /** Returns the entries of all tasks, each task's oldest entry first. */
  NavigableMap<String, List<AuditEntry>> entriesByTask() {
    NavigableMap<String, List<AuditEntry>> all = new TreeMap<>();
    entriesByTask.forEach((task, entries) -> all.put(task, new ArrayList<>(entries)));
    return all;
  }
}
