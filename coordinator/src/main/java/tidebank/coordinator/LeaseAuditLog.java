package tidebank.coordinator;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import tidebank.lease.LeaseTable;
import tidebank.lease.LeaseTable.TaskLease;
import tidebank.coordinator.CoordinatorClient.AuditEntry;

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
    if (before.duties().equals(after.duties())) {
      return;
    }
    Map<String, TaskLease> then = new HashMap<>();
    before.duties().forEach(duty -> then.put(duty.name(), duty));
    for (TaskLease now : after.duties()) {
      TaskLease was = then.remove(now.name());
      if (was == null) {
        duties.putIfAbsent(now.name(), new ArrayDeque<>());
        continue;
      }
      if (now.token() != was.token()) {
        String late =
            was.owner().isEmpty() || was.token() == 0
                ? ""
                : ", as the lease of " + was.owner() + " was over";
        add(now.name(), new AuditEntry(wallMs, now.token(), now.owner(), "granted" + late));
      } else if (now.owner().isEmpty() && !was.owner().isEmpty()) {
        add(now.name(), new AuditEntry(wallMs, now.token(), was.owner(), "let go"));
      }
      if (!now.pinned().equals(was.pinned())) {
        add(
            now.name(),
            new AuditEntry(
                wallMs,
                now.token(),
                now.pinned(),
                now.pinned().isEmpty() ? "moved to anywhere" : "moved to"));
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
