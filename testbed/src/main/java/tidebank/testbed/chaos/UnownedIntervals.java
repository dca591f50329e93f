package tidebank.testbed.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.testbed.chaos.History.Asked;
import tidebank.testbed.chaos.History.Event;

/** How long a duty was without anybody who could act for it, by what had happened to its owner. */
public final class UnownedIntervals {
  private static final Pattern LOSS =
      Pattern.compile("(kill|term|stop) .*|link .* to stewards: (cut|silent up|silent down)");

  private record Grant(long token, String to, long at) {}

  private UnownedIntervals() {}

  /**
   * For each kind of loss, from the loss to the answer of the next grant, in microseconds, in the
   * order of the run.
   */
  public static Map<String, List<Long>> of(List<Event> events, List<Asked> asked, String duty) {
    List<Grant> grants = new ArrayList<>();
    for (Asked one : asked) {
      if (one.command().kind() == Kind.CLAIM
          && one.answer() != null
          && one.answer().error() == null) {
        one.answer().leases().stream()
            .filter(grant -> grant.task().equals(duty))
            .forEach(grant -> grants.add(new Grant(grant.fencingToken(), one.from(), one.back())));
      }
    }
    Map<String, List<Long>> gaps = new TreeMap<>();
    for (Event event : events) {
      Matcher loss = LOSS.matcher(event.what());
      if (!loss.matches()) {
        continue;
      }
      Grant held =
          grants.stream()
              .filter(grant -> grant.at() <= event.at())
              .reduce((first, last) -> last)
              .orElse(null);
      Grant next =
          grants.stream().filter(grant -> grant.at() > event.at()).findFirst().orElse(null);
      if (held != null
          && next != null
          && held.to().equals(event.who())
          && next.token() > held.token()) {
        gaps.computeIfAbsent(
                loss.group(1) != null ? loss.group(1) : loss.group(2), kind -> new ArrayList<>())
            .add(next.at() - event.at());
      }
    }
    return gaps;
  }

  /** For people: how many, median and most of each kind. */
  public static String said(Map<String, List<Long>> gaps) {
    List<String> said = new ArrayList<>();
    gaps.forEach(
        (kind, all) -> {
          List<Long> sorted = all.stream().sorted().toList();
          said.add(
              String.format(
                  "%s %d: median %d ms, most %d ms",
                  kind,
                  sorted.size(),
                  sorted.get(sorted.size() / 2) / 1000,
                  sorted.get(sorted.size() - 1) / 1000));
        });
    return String.join("; ", said);
  }
}
