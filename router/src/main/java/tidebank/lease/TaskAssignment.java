package tidebank.lease;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tidebank.model.SeededRandom;

/**
 * Which member each duty is meant for: by rendezvous hashing, so that a member's coming or going
 * moves few duties; with a capacity, so that none has many more than others; and sticky, as a move
 * costs a gap without an owner.
 */
final class TaskAssignment {
  /** Duties that a member may have, over an even share. */
  private static final double SPARE = 1.25;

  private TaskAssignment() {}

  /**
   * @param duties all of them, in a fixed order
   * @param members who may have one
   * @param now who has or was last meant to have each, where there is such a member
   * @param pinned where an operator wants each
   */
  static Map<String, String> of(
      Collection<String> duties,
      List<String> members,
      Map<String, String> now,
      Map<String, String> pinned) {
    Map<String, String> meant = new TreeMap<>();
    if (members.isEmpty()) {
      return meant;
    }
    int most = (int) Math.ceil(SPARE * duties.size() / members.size());
    Map<String, Integer> loads = new HashMap<>();
    // What stays goes first, that it is not pushed out by what moves.
    for (Map<String, String> first : List.of(pinned, now)) {
      for (String duty : duties) {
        String member = first.get(duty);
        boolean room = first == pinned || loads.getOrDefault(member, 0) < most;
        if (!meant.containsKey(duty) && members.contains(member) && room) {
          meant.put(duty, member);
          loads.merge(member, 1, Integer::sum);
        }
      }
    }
    for (String duty : duties) {
      if (!meant.containsKey(duty)) {
        members.stream()
            .filter(member -> loads.getOrDefault(member, 0) < most)
            .max(
                Comparator.comparingDouble(
                        (String member) -> SeededRandom.mixedHash(duty + '/' + member))
                    .thenComparing(Comparator.naturalOrder()))
            .ifPresent(
                member -> {
                  meant.put(duty, member);
                  loads.merge(member, 1, Integer::sum);
                });
      }
    }
    return meant;
  }
}
