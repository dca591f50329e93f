package tidebank.lease;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tidebank.model.SeededRandom;

/**
 * Assigns singleton tasks to members. Rendezvous hashing moves few tasks when a member joins or
 * leaves, a capacity per member limits uneven loads, and current assignments are kept because a
 * task has no holder for a while when it moves.
 */
final class TaskAssignment {
  /** The capacity of a member, as a multiple of an even share of the tasks. */
  private static final double CAPACITY_FACTOR = 1.25;

  private final List<String> members;
  private final int capacity;
  private final Map<String, String> assigned = new TreeMap<>();
  private final Map<String, Integer> loads = new HashMap<>();

  private TaskAssignment(int taskCount, List<String> members) {
    this.members = members;
    capacity = (int) Math.ceil(CAPACITY_FACTOR * taskCount / members.size());
  }

  /**
   * Returns the member that each task is assigned to. Tasks that no member has capacity for are
   * left out.
   *
   * @param tasks all tasks, in a fixed order
   * @param members the members that tasks may be assigned to
   * @param current the holder of each task or, if it has none, the member it was last assigned to
   * @param sticky the member that an operator assigned each task to, or empty
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
    // Tasks that keep their member come first, so that moving tasks do not take up its capacity.
    for (String task : tasks) {
      String member = sticky.get(task);
      if (members.contains(member)) {
        assignment.assignTo(task, member);
      }
    }
    for (String task : tasks) {
      String member = current.get(task);
      if (members.contains(member) && assignment.hasCapacity(member)) {
        assignment.assignTo(task, member);
      }
    }
    for (String task : tasks) {
      assignment.assignByHash(task);
    }
    return assignment.assigned;
  }

  private boolean hasCapacity(String member) {
    return loads.getOrDefault(member, 0) < capacity;
  }

  private void assignTo(String task, String member) {
    if (assigned.putIfAbsent(task, member) == null) {
      loads.merge(member, 1, Integer::sum);
    }
  }

  private void assignByHash(String task) {
    if (assigned.containsKey(task)) {
      return;
    }
    members.stream()
        .filter(this::hasCapacity)
        .max(
            Comparator.comparingDouble(
                    (String member) -> SeededRandom.mixedHash(task + '/' + member))
                .thenComparing(Comparator.naturalOrder()))
        .ifPresent(member -> assignTo(task, member));
  }
}
