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

/**
 * Runs a routing policy on a virtual clock in milliseconds, fires its timers and records its
 * actions. Fields that are settings take effect in {@link #start}.
 */
public final class PolicyHarness {
  /** Microseconds in a millisecond. */
  static final long MS = 1000;

  final Map<String, QueryClass> queryClasses = new LinkedHashMap<>();
  final List<Action> actions = new ArrayList<>();

  /** Number of attempts sent so far, by shard request. */
  final Map<String, Integer> attempts = new LinkedHashMap<>();

  Settings.Layout layout = new Settings.Layout(4, 4, 2, 1, 0);
  Settings.Limits limits = new Settings.Limits(4, true, true, false, true, 500 * MS, 100, false);
  Settings.Rules rules =
      new Settings.Rules(20 * MS, 10_000 * MS, 1000 * MS, 0.2, 10_000 * MS, 2, 1000 * MS, 0, 0, 0);
  long nowMs = 1000;
  int routers = 2;
  int routerIndex = -1;

  /** When server s0 started according to the list at the start, or 0 if that was long ago. */
  long cachedStartMs;

  /** Whether the policy was notified of a server that has recently started. */
  boolean notifiedOfStart;

  long seed = 7;

  /** The duration that is reported for each completed attempt. */
  long durationMs = 100;

  private RoutingPolicy policy;
  private long lastNumber;
  private long timerAt = Long.MAX_VALUE;
  private long token;
  private final List<Event> events = new ArrayList<>();

  public PolicyHarness() {
    addQueryClass("complete", Idempotency.IDEMPOTENT, 1, 0.1, 0);
    addQueryClass("partial", Idempotency.IDEMPOTENT, 0.5, 0.1, 0);
    addQueryClass("non-idempotent", Idempotency.NON_IDEMPOTENT, 1, 0.3, 0);
    addQueryClass("keyed", Idempotency.WITH_KEY, 1, 0.3, 0);
    addQueryClass("strict", Idempotency.IDEMPOTENT, 1, 0, 0);
    addQueryClass("two-stage", Idempotency.IDEMPOTENT, 0.6, 0.3, 2);
  }

  /**
   * Adds a query class with a latency objective of 1 s, a timeout of 3 s and an idempotency window
   * of 2 s.
   */
  void addQueryClass(
      String name,
      Idempotency idempotency,
      double minimumWeight,
      double lateWeight,
      int secondStage) {
    queryClasses.put(
        name,
        new QueryClass(
            name,
            idempotency,
            2000 * MS,
            1000 * MS,
            3000 * MS,
            lateWeight,
            minimumWeight,
            1,
            secondStage));
  }

  public Settings settings() {
    return new Settings(
        routers, routerIndex, 5 * MS, queryClasses, Map.of(), 0.1, layout, limits, rules);
  }

  /** Starts the policy with a cached list of servers s0, s1, ... in service, one per position. */
  PolicyHarness start() {
    policy = new RoutingPolicy(settings(), seed);
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < layout.positions(); i++) {
      endpoints.add(endpoint("s" + i, i, EndpointStatus.IN_SERVICE, i == 0 ? cachedStartMs : 0));
    }
    updateList(ListUpdate.CACHED, endpoints.toArray(new Endpoint[0]));
    return this;
  }

  static Endpoint endpoint(String server, int position, EndpointStatus status, long startedMs) {
    return new Endpoint(server, position, status, startedMs * MS, 1);
  }

  /** Delivers an endpoint list and returns the actions of the round. */
  List<Action> updateList(ListUpdate update, Endpoint... endpoints) {
    notifiedOfStart |= List.of(endpoints).stream().anyMatch(endpoint -> endpoint.startedAt() > 0);
    return round(new Event.EndpointListReceived(update, List.of(endpoints)));
  }

  /**
   * Delivers a query with a deadline in 3 s and one request for each weight, to shard 0, 1, ...,
   * with the ids id + shard. Returns the actions of the round.
   */
  List<Action> query(String id, String queryClass, double... weights) {
    return queryWithin(3000, id, queryClass, weights);
  }

  /** Like {@link #query}, with a deadline in {@code leftMs}. */
  List<Action> queryWithin(long leftMs, String id, String queryClass, double... weights) {
    long number = ++lastNumber;
    events.add(
        new Event.QueryReceived(
            id, number, queryClass, "anyone", nowMs * MS, (nowMs + leftMs) * MS, false, id));
    for (int shard = 0; shard < weights.length; shard++) {
      events.add(new Event.ShardRequestReceived(id + shard, number, shard, weights[shard], ""));
    }
    return round();
  }

  /** Delivers second-stage requests of equal weight, with the ids id + "x" + shard. */
  List<Action> secondStage(String id, long number, int... shards) {
    for (int shard : shards) {
      events.add(
          new Event.ShardRequestReceived(id + "x" + shard, number, shard, 1.0 / shards.length, ""));
    }
    return round();
  }

  /**
   * Completes the latest attempt of each of these requests and returns the actions of the round.
   */
  List<Action> complete(Outcome outcome, String... requests) {
    for (String request : requests) {
      events.add(
          new Event.AttemptCompleted(
              request, attempts.get(request) - 1, outcome, durationMs * MS, false, Map.of()));
    }
    return round();
  }

  /** Completes one attempt, given by its index from 0. */
  List<Action> complete(String request, int attempt, Outcome outcome) {
    return round(
        new Event.AttemptCompleted(request, attempt, outcome, durationMs * MS, false, Map.of()));
  }

  /** Runs a decision round with the collected events and these, and returns its actions. */
  List<Action> round(Event... last) {
    events.addAll(List.of(last));
    List<Action> decided = policy.runRound(nowMs * MS, List.copyOf(events));
    events.clear();
    for (Action action : decided) {
      if (action instanceof Action.SendAttempt send) {
        attempts.merge(send.shardRequest(), 1, Integer::sum);
      } else if (action instanceof Action.SetTimer timer) {
        timerAt = nowMs + (timer.delayUs() + MS - 1) / MS;
        token = timer.token();
      }
    }
    actions.addAll(decided);
    return decided;
  }

  /** Advances the clock, fires the timers that are due, and returns their actions. */
  List<Action> advance(long ms) {
    int from = actions.size();
    long until = nowMs + ms;
    while (timerAt <= until) {
      nowMs = Math.max(nowMs, timerAt);
      timerAt = Long.MAX_VALUE;
      round(new Event.TimerFired(token));
    }
    nowMs = until;
    return List.copyOf(actions.subList(from, actions.size()));
  }

  /** Returns the shard requests of the attempts that these actions send, in order. */
  static List<String> sent(List<Action> actions) {
    return actions.stream()
        .filter(Action.SendAttempt.class::isInstance)
        .map(a -> ((Action.SendAttempt) a).shardRequest())
        .toList();
  }

  /** Returns the servers of the attempts that these actions send, in order. */
  static List<String> servers(List<Action> actions) {
    return actions.stream()
        .filter(Action.SendAttempt.class::isInstance)
        .map(a -> ((Action.SendAttempt) a).server())
        .toList();
  }

  /** Returns all answers so far in order, including those to first stages. */
  List<Action> answers() {
    return actions.stream()
        .filter(
            a ->
                a instanceof Action.Respond
                    || a instanceof Action.Throttle
                    || a instanceof Action.Fail)
        .toList();
  }
}
