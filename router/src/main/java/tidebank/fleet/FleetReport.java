package tidebank.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * One window's report of the fleet. It holds what every member had counted since its start, so that
 * a window is the difference to the report before, whoever made that one: nothing is counted twice
 * as long as each report follows the one before it, which the stewards see to by its revision. A
 * member that was killed loses what it had not yet told.
 *
 * @param number 1 for the first, as the stewards publish it
 * @param previous the name under which the one before it was published; none before the first
 * @param fencingToken by which its maker owned the duty
 * @param window what the fleet counted since the report before
 * @param silentMembers members of which nothing new was heard since the report before
 * @param members what each had counted, by name
 */
public record FleetReport(
    long number,
    String previous,
    long fencingToken,
    SortedMap<String, Long> window,
    List<String> silentMembers,
    SortedMap<String, MemberCounters> members) {
  /**
   * What a member told: which start of it, the how manieth time, and all it has counted since that
   * start.
   */
  public record MemberCounters(String session, long sequence, SortedMap<String, Long> counters) {}

  /** The first has none before it. */
  public static final FleetReport NONE =
      new FleetReport(0, "", 0, new TreeMap<>(), List.of(), new TreeMap<>());

  /**
   * The report after this one.
   *
   * @param published the name that this one was published under
   * @param by the token of its maker
   * @param alive who is a member now
   * @param told the newest of each, where there is one
   */
  public FleetReport next(
      String published, long by, List<String> alive, Map<String, MemberCounters> told) {
    SortedMap<String, Long> sum = new TreeMap<>();
    SortedMap<String, MemberCounters> kept = new TreeMap<>();
    List<String> silent = new ArrayList<>();
    // Who is a member and has no file now was counted before, and is not to be counted again once
    // it is there.
    members.forEach(
        (name, before) -> {
          if (alive.contains(name)) {
            kept.put(name, before);
          }
        });
    told.forEach(
        (name, now) -> {
          MemberCounters before = members.get(name);
          boolean same = before != null && before.session().equals(now.session());
          if (same && now.sequence() <= before.sequence()) {
            // Told nothing new, or an older file came back: what was counted stays counted.
            kept.put(name, before);
            return;
          }
          now.counters()
              .forEach(
                  (counter, count) ->
                      sum.merge(
                          counter,
                          count - (same ? before.counters().getOrDefault(counter, 0L) : 0),
                          Long::sum));
          kept.put(name, now);
        });
    for (String name : alive) {
      if (!kept.containsKey(name) || kept.get(name).equals(members.get(name))) {
        silent.add(name);
      }
    }
    return new FleetReport(number + 1, published, by, sum, silent, kept);
  }
}
