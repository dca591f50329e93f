package tidebank.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Idempotency;
import tidebank.model.Outcome;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/** One instance, a clock in milliseconds, timers that fire, and what the module asked for. */
public final class PolicyHarness {
  static final long MS = 1000;

  final Map<String, QueryClass> types = new LinkedHashMap<>();
  final List<Action> all = new ArrayList<>();
  final Map<String, Integer> tries = new LinkedHashMap<>();
  Settings.Layout layout = new Settings.Layout(4, 4, 2, 1, 0);
  Settings.Limits limits = new Settings.Limits(4, true, true, false, true, 500 * MS, 100, false);
  Settings.Rules rules =
      new Settings.Rules(20 * MS, 10_000 * MS, 1000 * MS, 0.2, 10_000 * MS, 2, 1000 * MS, 0, 0, 0);
  long nowMs = 1000;
  int instances = 2;
  int rank = -1;

  /** Whether it was told of a server that has just started. */
  boolean toldOfStart;

  long seed = 7;
  long tookMs = 100;
  private RoutingPolicy policy;
  private long numbers;
  private long timerAt = Long.MAX_VALUE;
  private long token;
  private final List<Event> told = new ArrayList<>();

  public PolicyHarness() {
    type("whole", Idempotency.IDEMPOTENT, 1, 0.1, 0);
    type("part", Idempotency.IDEMPOTENT, 0.5, 0.1, 0);
    type("once", Idempotency.NON_IDEMPOTENT, 1, 0.3, 0);
    type("keyed", Idempotency.WITH_KEY, 1, 0.3, 0);
    type("strict", Idempotency.IDEMPOTENT, 1, 0, 0);
    type("steps", Idempotency.IDEMPOTENT, 0.6, 0.3, 2);
  }

  /** Every type: target time 1 s, query timeout 3 s, repeats dropped for 2 s. */
  void type(String name, Idempotency repeat, double floor, double late, int second) {
    types.put(
        name,
        new QueryClass(name, repeat, 2000 * MS, 1000 * MS, 3000 * MS, late, floor, 1, second));
  }

  public Settings settings() {
    return new Settings(instances, rank, 5 * MS, types, Map.of(), 0.1, layout, limits, rules);
  }

  /** Starts the instance with a list of sound servers s0, s1, ... one at each position. */
  PolicyHarness start() {
    policy = new RoutingPolicy(settings(), seed);
    List<Endpoint> lines = new ArrayList<>();
    for (int i = 0; i < layout.positions(); i++) {
      lines.add(line("s" + i, i, EndpointStatus.IN_SERVICE, 0));
    }
    list(ListUpdate.CACHED, lines.toArray(new Endpoint[0]));
    return this;
  }

  static Endpoint line(String server, int position, EndpointStatus status, long startedMs) {
    return new Endpoint(server, position, status, startedMs * MS, 1);
  }

  List<Action> list(ListUpdate kind, Endpoint... lines) {
    toldOfStart |= List.of(lines).stream().anyMatch(line -> line.startedAt() > 0);
    return tell(new Event.EndpointListReceived(kind, List.of(lines)));
  }

  /** A scan with a part a shard, of these weights; its parts are called id + shard. */
  List<Action> scan(String id, String type, double... weights) {
    return scanWithin(3000, id, type, weights);
  }

  List<Action> scanWithin(long leftMs, String id, String type, double... weights) {
    long number = ++numbers;
    told.add(
        new Event.QueryReceived(
            id, number, type, "anyone", nowMs * MS, (nowMs + leftMs) * MS, false, id));
    for (int shard = 0; shard < weights.length; shard++) {
      told.add(new Event.ShardRequestReceived(id + shard, number, shard, weights[shard], ""));
    }
    return tell();
  }

  List<Action> secondStep(String id, long number, int... shards) {
    for (int shard : shards) {
      told.add(
          new Event.ShardRequestReceived(id + "x" + shard, number, shard, 1.0 / shards.length, ""));
    }
    return tell();
  }

  /** Ends the latest dispatch of each of these parts. */
  List<Action> end(Outcome outcome, String... parts) {
    for (String part : parts) {
      told.add(
          new Event.AttemptCompleted(
              part, tries.get(part) - 1, outcome, tookMs * MS, false, Map.of()));
    }
    return tell();
  }

  List<Action> end(String part, int dispatch, Outcome outcome) {
    return tell(new Event.AttemptCompleted(part, dispatch, outcome, tookMs * MS, false, Map.of()));
  }

  List<Action> tell(Event... events) {
    told.addAll(List.of(events));
    List<Action> now = policy.on(nowMs * MS, List.copyOf(told));
    told.clear();
    for (Action action : now) {
      if (action instanceof Action.SendAttempt send) {
        tries.merge(send.shardRequest(), 1, Integer::sum);
      } else if (action instanceof Action.SetTimer timer) {
        timerAt = nowMs + (timer.delayUs() + MS - 1) / MS;
        token = timer.token();
      }
    }
    all.addAll(now);
    return now;
  }

  /** Lets time pass; timers fire on their way. Returns what was asked for meanwhile. */
  List<Action> pass(long ms) {
    int from = all.size();
    long until = nowMs + ms;
    while (timerAt <= until) {
      nowMs = Math.max(nowMs, timerAt);
      timerAt = Long.MAX_VALUE;
      tell(new Event.TimerFired(token));
    }
    nowMs = until;
    return List.copyOf(all.subList(from, all.size()));
  }

  static List<String> sent(List<Action> actions) {
    return actions.stream()
        .filter(Action.SendAttempt.class::isInstance)
        .map(a -> ((Action.SendAttempt) a).shardRequest())
        .toList();
  }

  static List<String> servers(List<Action> actions) {
    return actions.stream()
        .filter(Action.SendAttempt.class::isInstance)
        .map(a -> ((Action.SendAttempt) a).server())
        .toList();
  }

  /** All final answers and steps so far, in order. */
  List<Action> verdicts() {
    return all.stream()
        .filter(
            a ->
                a instanceof Action.Respond
                    || a instanceof Action.Throttle
                    || a instanceof Action.Fail)
        .toList();
  }
}
