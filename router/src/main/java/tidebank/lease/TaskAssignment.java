package tidebank.lease;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tidebank.model.SeededRandom;

/**
 * Assigns singleton tasks to members: by rendezvous hashing, so that a member's coming or going
 * moves few tasks; with a capacity, so that none has many more than others; and keeping what is, as
 * a move leaves a task without a holder for a while.
 */
final class TaskAssignment {
  /** Tasks that a member may have, over an even share. */
  private static final double CAPACITY_FACTOR = 1.25;

  private final List<String> members;
  private final int capacity;
  private final Map<String, String> assigned = new TreeMap<>();
  private final Map<String, Integer> loads = new HashMap<>();

  private TaskAssignment(int tasks, List<String> members) {
    this.members = members;
    capacity = (int) Math.ceil(CAPACITY_FACTOR * tasks / members.size());
  }

  /**
   * Returns the member of each task; tasks that no member has room for are left out.
   *
   * @param tasks all of them, in a fixed order
   * @param members those that may have one
   * @param current the holder of each task, or the member it was assigned to last
   * @param sticky the member that an operator assigned each task to
   */
  static Map<String, String> assign(
      Collection<String> tasks,
      List<String> members,
      Map<String, String> current,
      Map<String, String> sticky) {
    if (members.isEmpty()) {
      return new TreeMap<>();
    }
    TaskAssignment assignment = new TaskAssignment(tasks.size(), members);
    // What stays goes first, so that it is not pushed out by what moves.
    for (String task : tasks) {
      String member = sticky.get(task);
      if (members.contains(member)) {
        assignment.put(task, member);
      }
    }
    for (String task : tasks) {
      String member = current.get(task);
      if (members.contains(member) && assignment.hasCapacity(member)) {
        assignment.put(task, member);
      }
    }
    for (String task : tasks) {
      assignment.putByHash(task);
    }
    return assignment.assigned;
  }

  private boolean hasCapacity(String member) {
    return loads.getOrDefault(member, 0) < capacity;
  }

  private void put(String task, String member) {
    if (assigned.putIfAbsent(task, member) == null) {
      loads.merge(member, 1, Integer::sum);
    }
  }

  private void putByHash(String task) {
    if (assigned.containsKey(task)) {
      return;
    }
    members.stream()
        .filter(this::hasCapacity)
        .max(
            Comparator.comparingDouble(
                    (String member) -> SeededRandom.mixedHash(task + '/' + member))
                .thenComparing(Comparator.naturalOrder()))
        .ifPresent(member -> put(task, member));
  }
}
