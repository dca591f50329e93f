package tidebank.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import tidebank.coordinator.CoordinatorClient.AuditEntry;
import tidebank.lease.LeaseTable;
import tidebank.lease.LeaseTable.TaskLease;

/**
 * What became of each duty, the last of it, for people. Kept beside the rules, which know nothing
 * of it; a function of the log alone, so that all stewards have the same.
 */
final class LeaseAuditLog {
  /** Of each duty. */
  static final int KEPT = 64;

  private final SortedMap<String, Deque<AuditEntry>> duties = new TreeMap<>();

  LeaseAuditLog(Map<String, List<AuditEntry>> kept) {
    kept.forEach((duty, past) -> duties.put(duty, new ArrayDeque<>(past)));
  }

  /** A command was taken that led from one state to another. */
  void applied(LeaseTable.State before, LeaseTable.State after, long wallMs) {
    if (before.tasks().equals(after.tasks())) {
      return;
    }
    Map<String, TaskLease> then = new HashMap<>();
    before.tasks().forEach(duty -> then.put(duty.task(), duty));
    for (TaskLease now : after.tasks()) {
      TaskLease was = then.remove(now.task());
      if (was == null) {
        duties.putIfAbsent(now.task(), new ArrayDeque<>());
        continue;
      }
      if (now.fencingToken() != was.fencingToken()) {
        String late =
            was.holder().isEmpty() || was.fencingToken() == 0
                ? ""
                : ", as the lease of " + was.holder() + " was over";
        add(now.task(), new AuditEntry(wallMs, now.fencingToken(), now.holder(), "granted" + late));
      } else if (now.holder().isEmpty() && !was.holder().isEmpty()) {
        add(now.task(), new AuditEntry(wallMs, now.fencingToken(), was.holder(), "let go"));
      }
      if (!now.stickyMember().equals(was.stickyMember())) {
        add(
            now.task(),
            new AuditEntry(
                wallMs,
                now.fencingToken(),
                now.stickyMember(),
                now.stickyMember().isEmpty() ? "moved to anywhere" : "moved to"));
      }
    }
    then.keySet().forEach(duties::remove);
  }

  private void add(String duty, AuditEntry past) {
    Deque<AuditEntry> all = duties.computeIfAbsent(duty, absent -> new ArrayDeque<>());
    all.addLast(past);
    if (all.size() > KEPT) {
      all.removeFirst();
    }
  }

  /** All of it, the oldest first. */
  SortedMap<String, List<AuditEntry>> all() {
    SortedMap<String, List<AuditEntry>> all = new TreeMap<>();
    duties.forEach((duty, past) -> all.put(duty, new ArrayList<>(past)));
    return all;
  }
}
