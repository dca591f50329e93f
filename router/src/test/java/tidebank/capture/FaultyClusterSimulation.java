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
 * A simulation of an overloaded, faulty cluster that drives a routing policy and records every
 * decision round. It generates slow, rejected, lost and late attempts, cancellations, client
 * disconnects, shard servers that drain, disappear and restart, lost endpoint watches, and a
 * shutdown.
 */
final class FaultyClusterSimulation {
  private static final long MS = 1000;
  private static final int SERVERS = 6;
  private static final int SHARDS = 8;
  private static final List<String> QUERY_CLASSES =
      List.of("whole", "part", "keyed", "once", "steps");

  /**
   * An event scheduled for a later time.
   *
   * @param atUs when the event occurs
   * @param sequence order among events of the same time
   * @param event creates the event when it is due, or returns null if it no longer applies
   */
  private record ScheduledEvent(long atUs, long sequence, Supplier<Event> event) {}

  private record Query(String id, long number, String queryClass, int shardRequests) {}

  private final RoutingPolicy policy;
  private final SplittableRandom random;
  private final CaptureRecorder recorder;
  private final PriorityQueue<ScheduledEvent> scheduled =
      new PriorityQueue<>(
          (a, b) ->
              a.atUs() != b.atUs()
                  ? Long.compare(a.atUs(), b.atUs())
                  : Long.compare(a.sequence(), b.sequence()));
  private final Map<String, Integer> attemptCounts = new HashMap<>();
  private final Set<String> attemptsInFlight = new HashSet<>();
  private final Map<String, Query> openQueries = new HashMap<>();
  private final Map<String, Integer> completedRequests = new HashMap<>();
  private final Set<String> drainingServers = new HashSet<>();
  private long now = 1_000_000;
  private long nextSequence;
  private long queryCount;
  private boolean shuttingDown;

  FaultyClusterSimulation(Settings settings, long policySeed, long seed, CaptureRecorder recorder) {
    policy = new RoutingPolicy(settings, policySeed);
    random = new SplittableRandom(seed);
    this.recorder = recorder;
    recorder.policyStarted(settings, policySeed);
  }

  /** Runs up to this number of decision rounds; a shutdown is requested before the last tenth. */
  void run(int rounds) {
    schedule(0, () -> new Event.EndpointListReceived(ListUpdate.CACHED, currentEndpoints()));
    schedule(MS, () -> new Event.EndpointListReceived(ListUpdate.SNAPSHOT, currentEndpoints()));
    scheduleQuery();
    schedule(300 * MS, this::changeEndpointList);
    schedule(400 * MS, this::completeHealthCheck);
    for (int round = 0; round < rounds && !scheduled.isEmpty(); round++) {
      if (round == rounds - rounds / 10) {
        shuttingDown = true;
        long deadline = now + 3000 * MS;
        schedule(0, () -> new Event.ShutdownRequested(deadline));
      }
      now = Math.max(now, scheduled.peek().atUs());
      List<Event> events = new ArrayList<>();
      while (!scheduled.isEmpty() && scheduled.peek().atUs() <= now) {
        Event event = scheduled.poll().event().get();
        if (event != null) {
          events.add(event);
        }
      }
      List<Action> actions = policy.runRound(now, events);
      recorder.roundDecided(now, events, actions);
      actions.forEach(this::execute);
    }
  }

  private void schedule(long delayUs, Supplier<Event> event) {
    scheduled.add(new ScheduledEvent(now + delayUs, nextSequence++, event));
  }

  private static Endpoint createEndpoint(int server, EndpointStatus status, long startedAt) {
    return new Endpoint("s" + server, server, status, startedAt, 1 + server % 2 * 0.5);
  }

  private List<Endpoint> currentEndpoints() {
    List<Endpoint> endpoints = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      EndpointStatus status =
          drainingServers.contains("s" + i) ? EndpointStatus.DRAINING : EndpointStatus.IN_SERVICE;
      endpoints.add(createEndpoint(i, status, 0));
    }
    return endpoints;
  }

  private void scheduleQuery() {
    // In one of every three periods of 400 ms, queries arrive about 13 times as often.
    boolean isPeak = now / (400 * MS) % 3 == 1;
    schedule(1 + random.nextInt(isPeak ? 3_000 : 40_000), this::receiveQuery);
  }

  private Event receiveQuery() {
    scheduleQuery();
    long number = ++queryCount;
    Query query =
        new Query(
            "q" + number,
            number,
            QUERY_CLASSES.get(random.nextInt(QUERY_CLASSES.size())),
            1 + random.nextInt(4));
    openQueries.put(query.id(), query);
    int firstShard = random.nextInt(SHARDS);
    for (int i = 0; i < query.shardRequests(); i++) {
      String shardRequest = query.id() + "." + i;
      int shard = (firstShard + i) % SHARDS;
      schedule(
          0,
          () ->
              new Event.ShardRequestReceived(
                  shardRequest,
                  number,
                  shard,
                  1.0 / query.shardRequests(),
                  query.queryClass().equals("keyed") ? "k" + number % 7 : ""));
    }
    if (random.nextInt(25) == 0) {
      schedule(
          random.nextInt(400_000),
          () -> openQueries.remove(query.id()) == null ? null : clientDisconnected(query));
    }
    return new Event.QueryReceived(
        query.id(),
        number,
        query.queryClass(),
        random.nextInt(3) == 0 ? "caf\u00e9" : "anyone",
        now - random.nextInt(2_000),
        now + 1_500 * MS + random.nextInt(1_500_000),
        random.nextInt(6) == 0,
        "k" + number % 7);
  }

  private static Event clientDisconnected(Query query) {
    return new Event.ClientDisconnected(query.id());
  }

  private Event changeEndpointList() {
    schedule(200 * MS + random.nextInt(900_000), this::changeEndpointList);
    int server = random.nextInt(SERVERS);
    switch (random.nextInt(6)) {
      case 0 -> {
        schedule(
            100 * MS,
            () -> new Event.EndpointListReceived(ListUpdate.SNAPSHOT, currentEndpoints()));
        return new Event.EndpointListReceived(ListUpdate.WATCH_LOST, List.of());
      }
      case 1 -> {
        schedule(
            50 * MS, () -> new Event.EndpointListReceived(ListUpdate.SNAPSHOT, currentEndpoints()));
        return new Event.EndpointListReceived(ListUpdate.DISCOVERY_MOVED, List.of());
      }
      case 2 -> {
        return new Event.EndpointListReceived(ListUpdate.SNAPSHOT, currentEndpoints());
      }
      default -> {
        drainingServers.add("s" + server);
        schedule(
            150 * MS,
            () ->
                new Event.EndpointListReceived(
                    ListUpdate.DELTA, List.of(createEndpoint(server, EndpointStatus.GONE, 0))));
        schedule(
            300 * MS,
            () -> {
              drainingServers.remove("s" + server);
              return new Event.EndpointListReceived(
                  ListUpdate.DELTA,
                  List.of(createEndpoint(server, EndpointStatus.IN_SERVICE, now)));
            });
        return new Event.EndpointListReceived(
            ListUpdate.DELTA, List.of(createEndpoint(server, EndpointStatus.DRAINING, 0)));
      }
    }
  }

  private Event completeHealthCheck() {
    schedule(100 * MS + random.nextInt(600_000), this::completeHealthCheck);
    boolean isHealthy = random.nextInt(3) > 0;
    return new Event.HealthCheckCompleted(
        "s" + random.nextInt(SERVERS),
        isHealthy ? Outcome.COMPLETED : Outcome.UNREACHABLE,
        2 * MS,
        isHealthy ? Map.of("util", 0.61) : Map.of());
  }

  private void execute(Action action) {
    if (action instanceof Action.SendAttempt send) {
      int attempt = attemptCounts.merge(send.shardRequest(), 1, Integer::sum) - 1;
      attemptsInFlight.add(send.shardRequest() + '#' + attempt);
      scheduleCompletion(send, attempt);
    } else if (action instanceof Action.CancelAttempt cancel) {
      schedule(
          random.nextInt(300),
          () -> completeAttempt(cancel.shardRequest(), cancel.attempt(), Outcome.CANCELLED, 0));
    } else if (action instanceof Action.Respond respond) {
      openQueries.remove(respond.query());
    } else if (action instanceof Action.Throttle throttle) {
      openQueries.remove(throttle.query());
    } else if (action instanceof Action.Fail fail) {
      openQueries.remove(fail.query());
    } else if (action instanceof Action.SetTimer timer) {
      schedule(Math.max(0, timer.delayUs()), () -> new Event.TimerFired(timer.token()));
    } else if (action instanceof Action.WatchEndpoints watch && watch.enabled()) {
      schedule(
          5 * MS, () -> new Event.EndpointListReceived(ListUpdate.SNAPSHOT, currentEndpoints()));
    }
  }

  private void scheduleCompletion(Action.SendAttempt send, int attempt) {
    int server = send.server().charAt(1) - '0';
    boolean isSlow = server == now / 2_000_000 % SERVERS;
    boolean isFaulty = server == now / 3_000_000 % (2 * SERVERS);
    long processingUs = 2 * MS + random.nextInt(30_000) + (isSlow ? 400 * MS : 0);
    Outcome outcome =
        switch (random.nextInt(isFaulty ? 12 : 60)) {
          case 0 -> Outcome.ERROR;
          case 1 -> Outcome.OVERLOADED;
          case 2 -> Outcome.UNREACHABLE;
          case 3 -> Outcome.CONNECTION_LOST;
          case 4 -> Outcome.PROTOCOL_ERROR;
          case 5 -> Outcome.NOT_SENT;
          case 6, 7 -> Outcome.TIMED_OUT;
          default -> Outcome.COMPLETED;
        };
    long remainingUs = Math.max(0, send.deadline() - now);
    // Some attempts hit a connection timeout long before the deadline.
    long durationUs =
        switch (outcome) {
          case COMPLETED -> processingUs;
          case TIMED_OUT -> 60 * MS;
          default -> random.nextInt(3_000);
        };
    Outcome finalOutcome = durationUs >= remainingUs ? Outcome.TIMED_OUT : outcome;
    schedule(
        Math.min(durationUs, remainingUs),
        () ->
            completeAttempt(
                send.shardRequest(), attempt, finalOutcome, Math.min(durationUs, remainingUs)));
  }

  private Event completeAttempt(
      String shardRequest, int attempt, Outcome outcome, long durationUs) {
    if (!attemptsInFlight.remove(shardRequest + '#' + attempt)) {
      return null;
    }
    String id = shardRequest.substring(0, shardRequest.indexOf('.'));
    if (outcome == Outcome.COMPLETED) {
      sendSecondStage(id);
    }
    return new Event.AttemptCompleted(
        shardRequest,
        attempt,
        outcome,
        durationUs,
        !openQueries.containsKey(id),
        outcome == Outcome.COMPLETED && !shuttingDown ? Map.of("util", 0.61) : Map.of());
  }

  private void sendSecondStage(String id) {
    Query query = openQueries.get(id);
    if (query == null
        || !query.queryClass().equals("steps")
        || completedRequests.merge(id, 1, Integer::sum) != query.shardRequests()) {
      return;
    }
    for (int i = 0; i < 2; i++) {
      String shardRequest = id + ".x" + i;
      int shard = random.nextInt(SHARDS);
      schedule(
          0,
          () ->
              openQueries.containsKey(id)
                  ? new Event.ShardRequestReceived(shardRequest, query.number(), shard, 0.5, "")
                  : null);
    }
  }
}
