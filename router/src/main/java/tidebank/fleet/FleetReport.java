package tidebank.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The fleet's report of one window. It holds what every member had counted since its start, so that
 * a window is the difference to the report before, whoever made that one: nothing is counted twice
 * as long as each report follows the one before it, which the coordinator ensures by the revision.
 * A member that was killed loses what it had not yet written.
 *
 * @param number 1 for the first, as the coordinator publishes it
 * @param previous the name under which the report before was published; empty in the first
 * @param fencingToken the fencing token that its maker held the task's lease with
 * @param window what the fleet counted since the report before
 * @param silentMembers members that have written no new counters since the report before
 * @param members the last counters of each member, by name
 */
public record FleetReport(
    long number,
    String previous,
    long fencingToken,
    SortedMap<String, Long> window,
    List<String> silentMembers,
    SortedMap<String, MemberCounters> members) {
  /**
   * What a member had counted.
   *
   * @param session the start of the member that counted it
   * @param sequence grows by one with each time the member writes its counters
   * @param counters all that it counted since that start, by counter
   */
  public record MemberCounters(String session, long sequence, SortedMap<String, Long> counters) {
    private boolean isNewerThan(MemberCounters before) {
      return before == null || !session.equals(before.session) || sequence > before.sequence;
    }

    /** Adds what was counted since an earlier time of the same start, or all of it. */
    private void addIncrease(MemberCounters before, SortedMap<String, Long> window) {
      boolean sameStart = before != null && session.equals(before.session);
      counters.forEach(
          (counter, count) -> {
            long counted = sameStart ? before.counters.getOrDefault(counter, 0L) : 0;
            window.merge(counter, count - counted, Long::sum);
          });
    }
  }

  /** The report before the first. */
  public static final FleetReport NONE =
      new FleetReport(0, "", 0, new TreeMap<>(), List.of(), new TreeMap<>());

  /**
   * Returns the report after this one.
   *
   * @param published the name that this one was published under
   * @param nextFencingToken the fencing token of the next one's maker
   * @param alive the members that are alive
   * @param current the last counters of each member that wrote any
   */
  public FleetReport next(
      String published,
      long nextFencingToken,
      List<String> alive,
      Map<String, MemberCounters> current) {
    SortedMap<String, Long> nextWindow = new TreeMap<>();
    SortedMap<String, MemberCounters> nextMembers = new TreeMap<>();
    // A member without a file now was counted before, and is not to be counted again once its file
    // is there.
    members.forEach(
        (name, before) -> {
          if (alive.contains(name)) {
            nextMembers.put(name, before);
          }
        });
    current.forEach(
        (name, counted) -> {
          MemberCounters before = members.get(name);
          if (counted.isNewerThan(before)) {
            counted.addIncrease(before, nextWindow);
            nextMembers.put(name, counted);
          } else {
            // Nothing new, or an older file came back: what was counted stays counted.
            nextMembers.put(name, before);
          }
        });
    List<String> silent = new ArrayList<>();
    for (String name : alive) {
      if (!nextMembers.containsKey(name) || nextMembers.get(name).equals(members.get(name))) {
        silent.add(name);
      }
    }
    return new FleetReport(
        number + 1, published, nextFencingToken, nextWindow, silent, nextMembers);
  }
}
