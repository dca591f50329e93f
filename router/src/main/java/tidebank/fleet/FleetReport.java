package tidebank.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The fleet's report of one window. It stores each member's counts since the member's start, so
 * that the next window is the difference to this report, whichever member makes it. Nothing is
 * counted twice as long as each report follows the one published before it, which the coordinator
 * ensures by the revision. Counts that a member had not written when it was killed are lost.
 *
 * @param number the number of the report, 1 for the first
 * @param previous the file name of the report published before; empty in the first
 * @param fencingToken the fencing token that the reporting member held the task's lease with
 * @param window the fleet's counts since the previous report, by counter
 * @param silentMembers live members that have written no new counters since the previous report
 * @param members the last counters of each member, by the member's name
 */
public record FleetReport(
    long number,
    String previous,
    long fencingToken,
    SortedMap<String, Long> window,
    List<String> silentMembers,
    SortedMap<String, MemberCounters> members) {
  /**
   * The counters of one member.
   *
   * @param session the member's session, which identifies one start of its process
   * @param sequence a number that increases by one each time the session writes its counters
   * @param counters all counts since that start, by counter
   */
  public record MemberCounters(String session, long sequence, SortedMap<String, Long> counters) {
    private boolean isNewerThan(MemberCounters before) {
      return before == null || !session.equals(before.session) || sequence > before.sequence;
    }

    /**
     * Adds the increase since earlier counters to a window. Counters of a new session count in
     * full.
     */
    private void addIncrease(MemberCounters before, SortedMap<String, Long> window) {
      boolean sameSession = before != null && session.equals(before.session);
      counters.forEach(
          (counter, count) -> {
            long previousCount = sameSession ? before.counters.getOrDefault(counter, 0L) : 0;
            window.merge(counter, count - previousCount, Long::sum);
          });
    }
  }

  /** The empty report that precedes the first one. */
  public static final FleetReport NONE =
      new FleetReport(0, "", 0, new TreeMap<>(), List.of(), new TreeMap<>());

  /**
   * Returns the report that follows this one.
   *
   * @param published the file name that this report was published under
   * @param nextFencingToken the fencing token that the next report is made with
   * @param alive the names of the live members
   * @param current the last counters of each member that wrote any, by the member's name
   */
  public FleetReport next(
      String published,
      long nextFencingToken,
      List<String> alive,
      Map<String, MemberCounters> current) {
    SortedMap<String, Long> nextWindow = new TreeMap<>();
    SortedMap<String, MemberCounters> nextMembers = new TreeMap<>();
    // Keeps members without a readable file, so that they are not counted again from zero when the
    // file is back.
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
            // Nothing new, or an older file was restored: keeps the counters already counted.
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
