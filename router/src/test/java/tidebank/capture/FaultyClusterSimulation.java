package tidebank.capture;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;
import tidebank.model.Settings;
import tidebank.policy.RoutingPolicy;

/**
 * Plays an overloaded, faulty cluster to a routing policy and records every turn: attempts that are
 * slow, refused, lost and late, cancellations, clients that leave, shard servers that drain, go,
 * come back cold, endpoint lists that get lost, and the end of the instance.
 */
final class FaultyClusterSimulation {
  private static final long MS = 1000;
  private static final int SERVERS = 6;
  private static final int SHARDS = 8;
  private static final List<String> TYPES = List.of("whole", "part", "keyed", "once", "steps");

  private record Due(long at, long order, Supplier<Event> event) {}

  private record Scan(String id, long number, String type, int parts) {}

  private final RoutingPolicy policy;
  private final SplittableRandom random;
  private final CaptureRecorder recorder;
  private final PriorityQueue<Due> due =
      new PriorityQueue<>(
          (a, b) ->
              a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.order(), b.order()));
  private final Map<String, Integer> attempts = new HashMap<>();
  private final Set<String> inFlight = new HashSet<>();
  private final Map<String, Scan> open = new HashMap<>();
  private final Map<String, Integer> answered = new HashMap<>();
  private final Set<String> drained = new HashSet<>();
  private long now = 1_000_000;
  private long order;
  private long scans;
  private boolean ending;

  FaultyClusterSimulation(Settings settings, long policySeed, long seed, CaptureRecorder recorder) {
    policy = new RoutingPolicy(settings, policySeed);
    random = new SplittableRandom(seed);
    this.recorder = recorder;
    recorder.policyStarted(settings, policySeed);
  }

  /** Plays so many turns; the last tenth of them after the instance was told to end. */
  void run(int turns) {
    at(0, () -> new Event.EndpointListReceived(ListUpdate.CACHED, all()));
    at(MS, () -> new Event.EndpointListReceived(ListUpdate.SNAPSHOT, all()));
    scanLater();
    at(300 * MS, this::listChange);
    at(400 * MS, this::probed);
    for (int turn = 0; turn < turns && !due.isEmpty(); turn++) {
      if (turn == turns - turns / 10) {
        ending = true;
        long deadline = now + 3000 * MS;
        at(0, () -> new Event.ShutdownRequested(deadline));
      }
      now = Math.max(now, due.peek().at());
      List<Event> events = new ArrayList<>();
      while (!due.isEmpty() && due.peek().at() <= now) {
        Event event = due.poll().event().get();
        if (event != null) {
          events.add(event);
        }
      }
      List<Action> actions = policy.runRound(now, events);
      recorder.roundDecided(now, events, actions);
      actions.forEach(this::carryOut);
    }
  }

  private void at(long waitUs, Supplier<Event> event) {
    due.add(new Due(now + waitUs, order++, event));
  }

  private static Endpoint listed(int server, EndpointStatus status, long startedAt) {
    return new Endpoint("s" + server, server, status, startedAt, 1 + server % 2 * 0.5);
  }

  private List<Endpoint> all() {
    List<Endpoint> lines = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      EndpointStatus status =
          drained.contains("s" + i) ? EndpointStatus.DRAINING : EndpointStatus.IN_SERVICE;
      lines.add(listed(i, status, 0));
    }
    return lines;
  }

  private void scanLater() {
    // Calm and rushes in turn.
    boolean rush = now / (400 * MS) % 3 == 1;
    at(1 + random.nextInt(rush ? 3_000 : 40_000), this::scan);
  }

  private Event scan() {
    scanLater();
    long number = ++scans;
    Scan scan =
        new Scan(
            "q" + number, number, TYPES.get(random.nextInt(TYPES.size())), 1 + random.nextInt(4));
    open.put(scan.id(), scan);
    int first = random.nextInt(SHARDS);
    for (int i = 0; i < scan.parts(); i++) {
      String part = scan.id() + "." + i;
      int shard = (first + i) % SHARDS;
      at(
          0,
          () ->
              new Event.ShardRequestReceived(
                  part,
                  number,
                  shard,
                  1.0 / scan.parts(),
                  scan.type().equals("keyed") ? "k" + number % 7 : ""));
    }
    if (random.nextInt(25) == 0) {
      at(random.nextInt(400_000), () -> open.remove(scan.id()) == null ? null : lapsed(scan));
    }
    return new Event.QueryReceived(
        scan.id(),
        number,
        scan.type(),
        random.nextInt(3) == 0 ? "caf\u00e9" : "anyone",
        now - random.nextInt(2_000),
        now + 1_500 * MS + random.nextInt(1_500_000),
        random.nextInt(6) == 0,
        "k" + number % 7);
  }

  private static Event lapsed(Scan scan) {
    return new Event.ClientDisconnected(scan.id());
  }

  private Event listChange() {
    at(200 * MS + random.nextInt(900_000), this::listChange);
    int server = random.nextInt(SERVERS);
    switch (random.nextInt(6)) {
      case 0 -> {
        at(100 * MS, () -> new Event.EndpointListReceived(ListUpdate.SNAPSHOT, all()));
        return new Event.EndpointListReceived(ListUpdate.WATCH_LOST, List.of());
      }
      case 1 -> {
        at(50 * MS, () -> new Event.EndpointListReceived(ListUpdate.SNAPSHOT, all()));
        return new Event.EndpointListReceived(ListUpdate.DISCOVERY_MOVED, List.of());
      }
      case 2 -> {
        return new Event.EndpointListReceived(ListUpdate.SNAPSHOT, all());
      }
      default -> {
        drained.add("s" + server);
        at(
            150 * MS,
            () ->
                new Event.EndpointListReceived(
                    ListUpdate.DELTA, List.of(listed(server, EndpointStatus.GONE, 0))));
        at(
            300 * MS,
            () -> {
              drained.remove("s" + server);
              return new Event.EndpointListReceived(
                  ListUpdate.DELTA, List.of(listed(server, EndpointStatus.IN_SERVICE, now)));
            });
        return new Event.EndpointListReceived(
            ListUpdate.DELTA, List.of(listed(server, EndpointStatus.DRAINING, 0)));
      }
    }
  }

  private Event probed() {
    at(100 * MS + random.nextInt(600_000), this::probed);
    boolean well = random.nextInt(3) > 0;
    return new Event.HealthCheckCompleted(
        "s" + random.nextInt(SERVERS),
        well ? Outcome.COMPLETED : Outcome.UNREACHABLE,
        2 * MS,
        well ? Map.of("util", 0.61) : Map.of());
  }

  private void carryOut(Action action) {
    if (action instanceof Action.SendAttempt send) {
      int attempt = attempts.merge(send.shardRequest(), 1, Integer::sum) - 1;
      inFlight.add(send.shardRequest() + '#' + attempt);
      plan(send, attempt);
    } else if (action instanceof Action.CancelAttempt cancel) {
      at(
          random.nextInt(300),
          () -> ended(cancel.shardRequest(), cancel.attempt(), Outcome.CANCELLED, 0));
    } else if (action instanceof Action.Respond answer) {
      open.remove(answer.query());
    } else if (action instanceof Action.Throttle throttle) {
      open.remove(throttle.query());
    } else if (action instanceof Action.Fail abandon) {
      open.remove(abandon.query());
    } else if (action instanceof Action.SetTimer timer) {
      at(Math.max(0, timer.delayUs()), () -> new Event.TimerFired(timer.token()));
    } else if (action instanceof Action.WatchEndpoints follow && follow.enabled()) {
      at(5 * MS, () -> new Event.EndpointListReceived(ListUpdate.SNAPSHOT, all()));
    }
  }

  private void plan(Action.SendAttempt send, int attempt) {
    int server = send.server().charAt(1) - '0';
    boolean slow = server == now / 2_000_000 % SERVERS;
    boolean sick = server == now / 3_000_000 % (2 * SERVERS);
    long work = 2 * MS + random.nextInt(30_000) + (slow ? 400 * MS : 0);
    Outcome outcome =
        switch (random.nextInt(sick ? 12 : 60)) {
          case 0 -> Outcome.ERROR;
          case 1 -> Outcome.OVERLOADED;
          case 2 -> Outcome.UNREACHABLE;
          case 3 -> Outcome.CONNECTION_LOST;
          case 4 -> Outcome.PROTOCOL_ERROR;
          case 5 -> Outcome.NOT_SENT;
          case 6, 7 -> Outcome.TIMED_OUT;
          default -> Outcome.COMPLETED;
        };
    long left = Math.max(0, send.deadline() - now);
    // Some run into a limit of their connection long before the deadline.
    long took =
        switch (outcome) {
          case COMPLETED -> work;
          case TIMED_OUT -> 60 * MS;
          default -> random.nextInt(3_000);
        };
    Outcome end = took >= left ? Outcome.TIMED_OUT : outcome;
    at(Math.min(took, left), () -> ended(send.shardRequest(), attempt, end, Math.min(took, left)));
  }

  private Event ended(String part, int attempt, Outcome outcome, long took) {
    if (!inFlight.remove(part + '#' + attempt)) {
      return null;
    }
    String id = part.substring(0, part.indexOf('.'));
    if (outcome == Outcome.COMPLETED) {
      secondStep(id);
    }
    return new Event.AttemptCompleted(
        part,
        attempt,
        outcome,
        took,
        !open.containsKey(id),
        outcome == Outcome.COMPLETED && !ending ? Map.of("util", 0.61) : Map.of());
  }

  private void secondStep(String id) {
    Scan scan = open.get(id);
    if (scan == null
        || !scan.type().equals("steps")
        || answered.merge(id, 1, Integer::sum) != scan.parts()) {
      return;
    }
    for (int i = 0; i < 2; i++) {
      String part = id + ".x" + i;
      int shard = random.nextInt(SHARDS);
      at(
          0,
          () ->
              open.containsKey(id)
                  ? new Event.ShardRequestReceived(part, scan.number(), shard, 0.5, "")
                  : null);
    }
  }
}
