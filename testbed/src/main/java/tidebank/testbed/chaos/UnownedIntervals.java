package tidebank.testbed.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.testbed.chaos.History.RecordedCommand;
import tidebank.testbed.chaos.History.TimelineEvent;

/**
 * The intervals during which a task had no working holder, grouped by the fault that hit the
 * previous holder. Stateless.
 */
public final class UnownedIntervals {
  /**
   * Matches descriptions of events that stop a holder or cut its link to the coordinators. The kind
   * of fault is the first group for a process and the second for a link.
   */
  private static final Pattern HOLDER_LOST =
      Pattern.compile("(kill|term|stop) .*|link .* to stewards: (cut|silent up|silent down)");

  private static final int US_PER_MS = 1000;

  /**
   * A successful claim.
   *
   * @param grantedAt time at which the holder got the result
   */
  private record Grant(long token, String holder, long grantedAt) {}

  private UnownedIntervals() {}

  /**
   * Returns the intervals, in microseconds, from each fault that hit the holder to the result of
   * the next grant. The keys are the kinds of faults; the intervals of a kind are in the order of
   * the run. A fault without a later grant is left out.
   */
  public static Map<String, List<Long>> measure(
      List<TimelineEvent> events, List<RecordedCommand> commands, String task) {
    List<Grant> grants = findGrants(commands, task);
    Map<String, List<Long>> intervals = new TreeMap<>();
    for (TimelineEvent event : events) {
      Matcher fault = HOLDER_LOST.matcher(event.description());
      if (fault.matches()) {
        String kind = fault.group(1) != null ? fault.group(1) : fault.group(2);
        findGrantAfterLoss(grants, event)
            .ifPresent(
                next ->
                    intervals
                        .computeIfAbsent(kind, key -> new ArrayList<>())
                        .add(next.grantedAt() - event.at()));
      }
    }
    return intervals;
  }

  private static List<Grant> findGrants(List<RecordedCommand> commands, String task) {
    List<Grant> grants = new ArrayList<>();
    for (RecordedCommand claim : commands) {
      if (claim.command().kind() == Kind.CLAIM
          && claim.result() != null
          && claim.result().error() == null) {
        claim.result().leases().stream()
            .filter(lease -> lease.task().equals(task))
            .forEach(
                lease ->
                    grants.add(new Grant(lease.fencingToken(), claim.from(), claim.returnedAt())));
      }
    }
    return grants;
  }

  /**
   * Returns the first grant after an event; empty if the event did not hit the holder at that time,
   * or if no grant with a higher token followed.
   */
  private static Optional<Grant> findGrantAfterLoss(List<Grant> grants, TimelineEvent event) {
    Optional<Grant> held =
        grants.stream()
            .filter(grant -> grant.grantedAt() <= event.at())
            .reduce((earlier, later) -> later)
            .filter(grant -> grant.holder().equals(event.process()));
    return held.flatMap(
        lost ->
            grants.stream()
                .filter(grant -> grant.grantedAt() > event.at())
                .findFirst()
                .filter(next -> next.token() > lost.token()));
  }

  /** Formats the number, median and maximum of the intervals of each kind of fault. */
  public static String describe(Map<String, List<Long>> intervals) {
    List<String> descriptions = new ArrayList<>();
    intervals.forEach(
        (kind, ofKind) -> {
          List<Long> sorted = ofKind.stream().sorted().toList();
          descriptions.add(
              String.format(
                  "%s: %d intervals, median %d ms, maximum %d ms",
                  kind,
                  sorted.size(),
                  sorted.get(sorted.size() / 2) / US_PER_MS,
                  sorted.get(sorted.size() - 1) / US_PER_MS));
        });
    return String.join("; ", descriptions);
  }
}
