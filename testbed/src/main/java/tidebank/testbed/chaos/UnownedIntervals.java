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
 * Measures how long a task was without a holder that could act, by the fault that the holder before
 * had. Pure.
 */
public final class UnownedIntervals {
  /** Events by which a holder can no longer act; the first or second group is the kind of fault. */
  private static final Pattern HOLDER_LOST =
      Pattern.compile("(kill|term|stop) .*|link .* to stewards: (cut|silent up|silent down)");

  private static final int US_PER_MS = 1000;

  private record Grant(long token, String holder, long at) {}

  private UnownedIntervals() {}

  /**
   * Returns the intervals from each loss of the holder to the result of the next grant, in
   * microseconds, by kind of fault and in the order of the run.
   */
  public static Map<String, List<Long>> measure(
      List<TimelineEvent> events, List<RecordedCommand> commands, String task) {
    List<Grant> grants = findGrants(commands, task);
    Map<String, List<Long>> intervals = new TreeMap<>();
    for (TimelineEvent event : events) {
      Matcher lost = HOLDER_LOST.matcher(event.description());
      if (lost.matches()) {
        String kind = lost.group(1) != null ? lost.group(1) : lost.group(2);
        findGrantAfterLoss(grants, event)
            .ifPresent(
                next ->
                    intervals
                        .computeIfAbsent(kind, absent -> new ArrayList<>())
                        .add(next.at() - event.at()));
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

  /** Returns the grant that ended the interval, if the event hit the holder of that moment. */
  private static Optional<Grant> findGrantAfterLoss(List<Grant> grants, TimelineEvent event) {
    Optional<Grant> held =
        grants.stream()
            .filter(grant -> grant.at() <= event.at())
            .reduce((first, last) -> last)
            .filter(grant -> grant.holder().equals(event.process()));
    return held.flatMap(
        before ->
            grants.stream()
                .filter(grant -> grant.at() > event.at())
                .findFirst()
                .filter(next -> next.token() > before.token()));
  }

  /** Returns count, median and maximum of each kind, for people. */
  public static String describe(Map<String, List<Long>> intervals) {
    List<String> descriptions = new ArrayList<>();
    intervals.forEach(
        (kind, all) -> {
          List<Long> sorted = all.stream().sorted().toList();
          descriptions.add(
              String.format(
                  "%s %d: median %d ms, most %d ms",
                  kind,
                  sorted.size(),
                  sorted.get(sorted.size() / 2) / US_PER_MS,
                  sorted.get(sorted.size() - 1) / US_PER_MS));
        });
    return String.join("; ", descriptions);
  }
}
