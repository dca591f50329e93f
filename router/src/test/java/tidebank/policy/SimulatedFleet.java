package tidebank.policy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * A simulated fleet of routers, shard servers and clients that exchanges batches and replies in the
 * format of the simulator. Each reply determines the batches after it; the same deployment, seed
 * and replies always give the same batches. The fleet serves to record event streams, not to
 * measure performance: its servers fail, queue, restart and drain more often than real ones.
 */
final class SimulatedFleet {
  private static final long TICK_US = 5_000;
  private static final long MS = 1_000;
  private static final long IDLE_CONNECTION_US = 600 * MS;
  private static final long MAX_QUEUE_US = 1_200 * MS;
  private static final int SHARDS = 12;
  private static final int MAX_PAGES = 16;
  private static final String[] QUERY_CLASSES = {
    "part", "whole", "once", "keyed", "strict", "steps", "sample", "keyedpart"
  };
  private static final int[] SECOND_STAGE_REQUESTS = {0, 0, 0, 0, 0, 2, 0, 0};
  private static final int[] TIMEOUT_MS = {3000, 3000, 4000, 3000, 2500, 5000, 3000, 3000};
  private static final String QUERY_CLASSES_JSON =
      "[{\"name\":\"part\",\"semantics\":\"read_like\",\"onTimeMs\":1000,\"deadlineMs\":3000,"
          + "\"lateWorth\":0.1},"
          + "{\"name\":\"whole\",\"semantics\":\"read_like\",\"onTimeMs\":1000,\"deadlineMs\":3000,"
          + "\"lateWorth\":0.1},"
          + "{\"name\":\"once\",\"semantics\":\"non_idempotent\",\"onTimeMs\":1500,"
          + "\"deadlineMs\":4000,\"lateWorth\":0.3},"
          + "{\"name\":\"keyed\",\"semantics\":\"idempotency_key\",\"windowMs\":700,"
          + "\"onTimeMs\":1000,\"deadlineMs\":3000,\"lateWorth\":0.3},"
          + "{\"name\":\"strict\",\"semantics\":\"read_like\",\"onTimeMs\":800,"
          + "\"deadlineMs\":2500,\"lateWorth\":0},"
          + "{\"name\":\"steps\",\"semantics\":\"read_like\",\"onTimeMs\":2000,"
          + "\"deadlineMs\":5000,\"lateWorth\":0.3},"
          + "{\"name\":\"sample\",\"semantics\":\"read_like\",\"onTimeMs\":1000,"
          + "\"deadlineMs\":3000,\"lateWorth\":0.2},"
          + "{\"name\":\"keyedpart\",\"semantics\":\"idempotency_key\",\"windowMs\":2000,"
          + "\"onTimeMs\":1000,\"deadlineMs\":3000,\"lateWorth\":0}]";

  /** The size and the limits of a deployment, by parameter name; absent ones have a default. */
  record Deployment(Map<String, Double> parameters) {
    /** Parses "name=value" pairs that are separated by spaces. */
    static Deployment parse(String text) {
      Map<String, Double> parameters = new LinkedHashMap<>();
      for (String pair : text.split(" ")) {
        String[] nameAndValue = pair.split("=");
        parameters.put(nameAndValue[0], Double.valueOf(nameAndValue[1]));
      }
      return new Deployment(parameters);
    }

    double valueOf(String name, double defaultValue) {
      return parameters.getOrDefault(name, defaultValue);
    }

    /** Returns whether a parameter is set to a value above 0. */
    boolean isEnabled(String name) {
      return valueOf(name, 0) > 0;
    }
  }

  private record ScheduledTask(long time, long order, Runnable task) {}

  private enum Health {
    HEALTHY,
    SLOW,
    FAILING,
    REJECTING,
    HANGING,
    CORRUPTING,
    DOWN
  }

  private static final class Server {
    final String id;
    final double capacity;
    final List<Attempt> inFlight = new ArrayList<>();
    int position;
    String status = "in_service";
    long startedAt;
    Health health = Health.HEALTHY;
    long busyUntil;

    Server(String id, int position, double capacity) {
      this.id = id;
      this.position = position;
      this.capacity = capacity;
    }
  }

  private static final class Query {
    final List<Integer> shards = new ArrayList<>();
    String id;
    int router;
    int routerGeneration;
    long number;
    int classIndex;
    long deadline;
    String key;
    boolean closed;
    boolean crashesServers;
    boolean inSecondStage;
  }

  private static final class ShardRequest {
    final List<Attempt> attempts = new ArrayList<>();
    final String id;
    final Query query;
    boolean closed;

    ShardRequest(String id, Query query) {
      this.id = id;
      this.query = query;
    }
  }

  private static final class Attempt {
    final ShardRequest request;
    final int number;
    final Server server;
    final long sentAt;
    boolean ended;

    Attempt(ShardRequest request, int number, Server server, long sentAt) {
      this.request = request;
      this.number = number;
      this.server = server;
      this.sentAt = sentAt;
    }
  }

  /** A pseudo-random number generator: xorshift64*. */
  private static final class XorShiftRandom {
    private long state;

    XorShiftRandom(long seed) {
      state = seed * 0x9E3779B97F4A7C15L | 1;
    }

    long nextLong() {
      state ^= state >>> 12;
      state ^= state << 25;
      state ^= state >>> 27;
      return state * 0x2545F4914F6CDD1DL;
    }

    /** Returns a number from 0 (inclusive) to the bound (exclusive). */
    int nextInt(int bound) {
      return (int) Long.remainderUnsigned(nextLong() >>> 8, bound);
    }

    /** Returns true with the given probability. */
    boolean nextBoolean(double probability) {
      return nextInt(1_000_000) < probability * 1_000_000;
    }

    /** Returns a number from the minimum to the maximum, both inclusive. */
    long nextLongBetween(long min, long max) {
      return min + nextInt((int) (max - min + 1));
    }
  }

  private final ObjectMapper mapper = new ObjectMapper();
  private final Deployment deployment;
  private final XorShiftRandom random;
  private final int routers;
  private final List<String> batch = new ArrayList<>();
  private final PriorityQueue<ScheduledTask> tasks =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledTask::time).thenComparingLong(ScheduledTask::order));
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final Map<String, Query> queries = new HashMap<>();
  private final Map<String, ShardRequest> requests = new HashMap<>();
  private final Map<String, Long> lastUseTimes = new HashMap<>();
  private final Set<String> retiredConnections = new HashSet<>();
  private final int[] routerGenerations;
  private final long[] lastQueryNumbers;
  private final boolean[] watching;
  private final boolean[] shuttingDown;
  private long now = 1_000_000;
  private long nextTaskOrder;
  private long queryCount;
  private int lastPage;
  private long messageCount;
  private double loadFactor = 1;
  private boolean dropIdleConnections;
  private boolean sendCrashingQueries;

  SimulatedFleet(Deployment deployment, long seed) {
    this.deployment = deployment;
    this.random = new XorShiftRandom(seed);
    this.routers = (int) deployment.valueOf("hosted", 2);
    this.routerGenerations = new int[routers];
    this.lastQueryNumbers = new long[routers];
    this.watching = new boolean[routers];
    this.shuttingDown = new boolean[routers];
    int positions = positions();
    int serversPerPosition = (int) deployment.valueOf("each", 1);
    for (int i = 0; i < positions * serversPerPosition; i++) {
      double capacity = deployment.isEnabled("sizes") ? 1 + i % 3 / 2.0 : 1;
      servers.put("s" + i, new Server("s" + i, i % positions, capacity));
    }
    for (int i = 0; i < routers; i++) {
      int router = i;
      schedule(MS * (i + 1), () -> attachRouter(router));
    }
    schedule(20 * MS, this::generateQuery);
    schedule(500 * MS, this::injectFault);
  }

  /** Returns the number of messages in all batches so far. */
  long messageCount() {
    return messageCount;
  }

  /** Returns the next batch, as a line without its line break. */
  String nextBatch() {
    batch.clear();
    while (batch.isEmpty()) {
      ScheduledTask first = tasks.peek();
      long firstTick = (first.time() + TICK_US - 1) / TICK_US * TICK_US;
      now = Math.max(now + TICK_US, firstTick);
      // The process stalls now and then. Tasks that are due meanwhile run late and in one batch.
      now += random.nextBoolean(0.003) ? TICK_US * random.nextInt(160) : 0;
      while (!tasks.isEmpty() && tasks.peek().time() <= now) {
        tasks.poll().task().run();
      }
    }
    retiredConnections.clear();
    messageCount += batch.size();
    return "{\"simTimeMs\":" + millis(now) + ",\"msgs\":[" + String.join(",", batch) + "]}";
  }

  /** Executes the actions of the reply to the last batch. */
  void applyReply(String line) {
    JsonNode output;
    try {
      output = mapper.readTree(line).get("output");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
    for (JsonNode action : output) {
      int router = action.get("who").intValue();
      String id = action.path("handle").textValue();
      switch (action.get("kind").textValue()) {
        case "Assign" ->
            startAttempt(
                id,
                servers.get(action.get("server").textValue()),
                Math.round(action.get("stopAtMs").doubleValue() * MS));
        case "CallOff" ->
            cancelAttempt(requests.get(id).attempts.get(action.get("try").intValue()));
        case "WrapUp" -> handleAnswer(queries.get(id));
        case "Busy" ->
            handleRejection(
                queries.get(id), Math.round(action.get("holdOffMs").doubleValue() * MS));
        case "ReportFailure" -> handleRejection(queries.get(id), 100 * MS);
        case "SetTimer" -> setTimer(router, action);
        case "Follow" -> startWatch(router);
        case "Disconnect" ->
            retiredConnections.add(router + "/" + action.get("server").textValue());
        default -> throw new IllegalStateException("unknown action " + action);
      }
    }
  }

  private int positions() {
    return (int) deployment.valueOf("positions", 4);
  }

  /** Schedules a task to run after a delay in microseconds. */
  private void schedule(long us, Runnable task) {
    tasks.add(new ScheduledTask(now + Math.max(1, us), nextTaskOrder++, task));
  }

  /** Schedules a task of a router, which is dropped if the router is replaced before it runs. */
  private void schedule(long us, int router, Runnable task) {
    int routerGeneration = routerGenerations[router];
    schedule(
        us,
        () -> {
          if (routerGenerations[router] == routerGeneration) {
            task.run();
          }
        });
  }

  private static String millis(long us) {
    return us % MS == 0 ? Long.toString(us / MS) : Double.toString(us / (double) MS);
  }

  private void addMessage(String kind, int router, String fields) {
    batch.add("{\"kind\":\"" + kind + "\",\"who\":" + router + fields + "}");
  }

  // ---- routers and endpoint lists

  private void attachRouter(int router) {
    watching[router] = false;
    shuttingDown[router] = false;
    String rankField = deployment.isEnabled("ranks") ? "\"rank\":" + router + "," : "";
    addMessage(
        "Attach",
        router,
        ",\"salt\":"
            + (random.nextLong() >>> 20)
            + ",\"config\":{\"instances\":"
            + (int) deployment.valueOf("instances", 2)
            + ","
            + rankField
            + "\"tickMs\":5,\"discovery\":\""
            + (deployment.isEnabled("ask") ? "ask" : "push")
            + "\",\"services\":"
            + QUERY_CLASSES_JSON
            + ",\"specifics\":{\"slices\":"
            + SHARDS
            + ",\"positions\":"
            + positions()
            + ",\"width\":"
            + (int) deployment.valueOf("width", 2)
            + ",\"bundleMax\":"
            + (int) deployment.valueOf("bundle", 1)
            + ",\"callMs\":"
            + deployment.valueOf("call", 0)
            + ",\"floorByClass\":[0.5,1,1,1,1,0.6,0.4,0.5],"
            + "\"classNeed\":[1,1,1,1,1,1,0.7,1],\"secondStep\":[0,0,0,0,0,2,0,0]},"
            + limitsJson()
            + "}");
    String endpoints =
        String.join(
            ",", servers.values().stream().filter(this::isListed).map(this::endpointJson).toList());
    sendEndpointList(router, "warm_copy", endpoints);
  }

  private String limitsJson() {
    String retryBudget =
        deployment.valueOf("span", 0) > 0
            ? ",\"freeResends\":"
                + deployment.valueOf("free", 0)
                + ",\"extraRatio\":"
                + deployment.valueOf("ratio", 0)
                + ",\"ratioSpanMs\":"
                + deployment.valueOf("span", 0)
            : "";
    return "\"limits\":{\"maxAttempts\":"
        + (int) deployment.valueOf("attempts", 4)
        + ",\"secondCopies\":"
        + deployment.isEnabled("hedging")
        + ",\"cancel\":"
        + deployment.isEnabled("cancel")
        + ",\"mayProbe\":true,\"retryAfter\":"
        + deployment.isEnabled("holdoff")
        + ",\"maxRetryAfterMs\":400,\"mostHeld\":200},"
        + "\"guarantees\":{\"answerSlackMs\":20,\"askEveryMs\":10000,\"stopSendingWithinMs\":1000,"
        + "\"coldFrom\":0.2,\"coldMs\":10000,\"fallMultiple\":2,\"tipAfterMs\":1000"
        + retryBudget
        + "}";
  }

  private boolean isListed(Server server) {
    return !server.status.equals("terminated");
  }

  private String endpointJson(Server server) {
    return "{\"lastStartMs\":"
        + (server.startedAt == 0 ? "null" : millis(server.startedAt))
        + ",\"rating\":"
        + server.capacity
        + ",\"slotNo\":"
        + server.position
        + ",\"status\":\""
        + server.status
        + "\",\"server\":\""
        + server.id
        + "\"}";
  }

  private void sendEndpointList(int router, String mode, String endpoints) {
    lastPage = (lastPage + 1) % MAX_PAGES;
    batch.add("{\"kind\":\"Sheet\",\"page\":" + lastPage + ",\"items\":[" + endpoints + "]}");
    addMessage(
        "Announce", router, ",\"mode\":\"" + mode + "\",\"generation\":1,\"page\":" + lastPage);
  }

  private void loseWatch(int router) {
    watching[router] = false;
    addMessage("Announce", router, ",\"mode\":\"lost\",\"generation\":1,\"page\":0");
  }

  private void sendSnapshot(int router) {
    sendEndpointList(
        router,
        "total",
        String.join(
            ",",
            servers.values().stream().filter(this::isListed).map(this::endpointJson).toList()));
  }

  private void publishChange(Server server) {
    String endpoint = endpointJson(server);
    for (int i = 0; i < routers; i++) {
      int router = i;
      if (!deployment.isEnabled("ask") || watching[router]) {
        schedule(300 * MS, router, () -> sendEndpointList(router, "incr", endpoint));
      }
    }
  }

  /** Starts a watch of the endpoint list, which is lost, confirmed or never answered. */
  private void startWatch(int router) {
    int result = random.nextInt(10);
    if (result < 2) {
      schedule(random.nextLongBetween(5, 2500) * MS, router, () -> loseWatch(router));
    } else if (result > 2) {
      schedule(
          random.nextLongBetween(5, 400) * MS,
          router,
          () -> {
            watching[router] = true;
            if (random.nextBoolean(0.5)) {
              sendSnapshot(router);
            } else {
              sendEndpointList(router, "incr", "");
            }
          });
    }
  }

  private void setTimer(int router, JsonNode action) {
    String label = action.get("label").asText();
    schedule(
        Math.round(action.get("waitMs").doubleValue() * MS),
        router,
        () -> addMessage("DeadlineHit", router, ",\"label\":" + label));
  }

  /** Removes a router and attaches a new one in its place. */
  private void replaceRouter(int router) {
    addMessage("Retire", router, "");
    routerGenerations[router]++;
    queries.values().stream().filter(q -> q.router == router).forEach(q -> q.closed = true);
    attachRouter(router);
  }

  // ---- clients

  private void generateQuery() {
    schedule(
        (long)
            (random.nextLongBetween(1, 2 * 1000)
                * MS
                / (deployment.valueOf("perS", 5) * loadFactor)),
        this::generateQuery);
    int router = random.nextInt(routers);
    int classIndex = random.nextInt(QUERY_CLASSES.length);
    String key = random.nextBoolean(0.6) ? "k" + random.nextInt(30) : "";
    long timeoutUs = TIMEOUT_MS[classIndex] * MS;
    if (random.nextBoolean(0.1)) {
      timeoutUs = random.nextBoolean(0.2) ? 2 * MS : random.nextLongBetween(50, 900) * MS;
    }
    sendQuery(router, classIndex, key, now + timeoutUs, false);
  }

  private void sendQuery(
      int router, int classIndex, String key, long deadline, boolean clientRetry) {
    Query query = new Query();
    query.id = "q" + queryCount++;
    query.router = router;
    query.routerGeneration = routerGenerations[router];
    query.number = ++lastQueryNumbers[router];
    query.classIndex = classIndex;
    query.deadline = deadline;
    query.key = key;
    query.crashesServers = sendCrashingQueries && random.nextBoolean(0.5);
    queries.put(query.id, query);
    boolean unknownClass = random.nextBoolean(0.01);
    long readDelayUs =
        deployment.isEnabled("direct") && random.nextBoolean(0.1)
            ? random.nextLongBetween(1, 250) * MS
            : 0;
    int shards = random.nextBoolean(0.02) ? 0 : 1 + random.nextInt(8);
    addMessage(
        "Knock",
        router,
        ",\"handle\":\""
            + query.id
            + "\",\"notAfterMs\":"
            + millis(deadline)
            + (readDelayUs > 0 ? ",\"askedAtMs\":" + millis(now - readDelayUs) : "")
            + ",\"jobNo\":"
            + query.number
            + (clientRetry ? ",\"resent\":true" : "")
            + ",\"lane\":\""
            + (unknownClass ? "odd" : QUERY_CLASSES[classIndex])
            + "\""
            + (key.isEmpty() ? "" : ",\"subject\":\"" + key + "\"")
            + ",\"slab\":-1,\"measure\":"
            + shards);
    List<Integer> candidates = new ArrayList<>();
    for (int shard = 0; shard < SHARDS; shard++) {
      candidates.add(shard);
    }
    for (int i = 0; i < shards; i++) {
      query.shards.add(candidates.remove(random.nextInt(candidates.size())));
    }
    sendStage(query, query.shards, random.nextBoolean(0.5));
    if (random.nextBoolean(0.04)) {
      schedule(random.nextLongBetween(5, 900) * MS, router, () -> disconnectClient(query));
    }
    schedule(deadline - now + 20 * MS, router, () -> disconnectClient(query));
  }

  /** Sends the shard requests of one stage, with equal or with decreasing weights. */
  private void sendStage(Query query, List<Integer> shards, boolean equalWeights) {
    int remaining = 1000;
    double sum = 0;
    for (int i = 0; i < shards.size(); i++) {
      sum += equalWeights ? 1 : 1.0 / (i + 1);
    }
    for (int i = 0; i < shards.size(); i++) {
      int share =
          i == shards.size() - 1
              ? remaining
              : (int) (1000 * (equalWeights ? 1 : 1.0 / (i + 1)) / sum);
      remaining -= share;
      ShardRequest request =
          new ShardRequest(query.id + (query.inSecondStage ? "x" : ".") + shards.get(i), query);
      requests.put(request.id, request);
      String key = query.key.isEmpty() ? "" : query.key + "." + shards.get(i);
      addMessage(
          "Knock",
          query.router,
          ",\"handle\":\""
              + request.id
              + "\",\"notAfterMs\":"
              + millis(query.deadline)
              + ",\"jobNo\":"
              + query.number
              + (key.isEmpty() ? "" : ",\"subject\":\"" + key + "\"")
              + ",\"slab\":"
              + shards.get(i)
              + ",\"measure\":"
              + share / 1000.0);
    }
  }

  private void disconnectClient(Query query) {
    if (!query.closed) {
      query.closed = true;
      addMessage("Lapsed", query.router, ",\"handle\":\"" + query.id + "\"");
    }
  }

  /** Closes an answered query, or starts its second stage if its class has one. */
  private void handleAnswer(Query query) {
    if (!query.inSecondStage && SECOND_STAGE_REQUESTS[query.classIndex] > 0 && !query.closed) {
      query.inSecondStage = true;
      if (random.nextBoolean(0.95)) {
        List<Integer> next =
            query.shards.subList(
                0, Math.min(SECOND_STAGE_REQUESTS[query.classIndex], query.shards.size()));
        schedule(MS, query.router, () -> sendStage(query, next, true));
      }
    } else {
      query.closed = true;
    }
  }

  /** Closes a throttled or failed query; the client may retry it after a delay. */
  private void handleRejection(Query query, long holdOffUs) {
    boolean retries = !query.closed && random.nextBoolean(0.5);
    query.closed = true;
    if (retries) {
      schedule(
          holdOffUs + random.nextLongBetween(10, 600) * MS,
          () -> {
            if (query.deadline > now + 5 * MS) {
              sendQuery(query.router, query.classIndex, query.key, query.deadline, true);
            }
          });
    }
  }

  // ---- shard servers

  private void startAttempt(String requestId, Server server, long stopAt) {
    ShardRequest request = requests.get(requestId);
    Query query = request.query;
    Attempt attempt = new Attempt(request, request.attempts.size(), server, now);
    request.attempts.add(attempt);
    if (query.closed || request.closed) {
      completeLater(attempt, "void", MS);
      return;
    }
    String connection = query.router + "/" + server.id;
    boolean idle = now - lastUseTimes.getOrDefault(connection, 0L) >= IDLE_CONNECTION_US;
    boolean isNew = retiredConnections.contains(connection);
    lastUseTimes.put(connection, now);
    server.inFlight.add(attempt);
    schedule(
        Math.max(1, Math.min(stopAt, query.deadline) - now),
        query.router,
        () -> complete(attempt, "timed_out"));
    if (query.crashesServers) {
      schedule(30 * MS, () -> crash(server));
    } else if (!(dropIdleConnections && idle && !isNew)) {
      execute(attempt);
    }
  }

  /** Executes an attempt at its server, according to the health and the queue of the server. */
  private void execute(Attempt attempt) {
    Server server = attempt.server;
    boolean affected = random.nextBoolean(0.8);
    if (server.health == Health.DOWN) {
      completeLater(attempt, "unreachable", random.nextLongBetween(1, 50) * MS);
    } else if (server.health == Health.FAILING && affected) {
      completeLater(attempt, "failure", random.nextLongBetween(2, 40) * MS);
    } else if (server.health == Health.CORRUPTING && affected) {
      completeLater(
          attempt,
          deployment.isEnabled("direct") ? "spoilt" : "broken",
          random.nextLongBetween(2, 40) * MS);
    } else if (server.health == Health.REJECTING && affected
        || !server.status.equals("in_service")) {
      completeLater(attempt, "overloaded", 2 * MS);
    } else if (server.health != Health.HANGING) {
      double warmShare = Math.min(1, 0.2 + (now - server.startedAt) / 12e6);
      double slowdown = server.health == Health.SLOW ? 8 : 1;
      long workUs =
          (long)
              (random.nextLongBetween(50, 150)
                  * deployment.valueOf("work", 100)
                  * 10
                  * slowdown
                  / warmShare
                  / server.capacity);
      long start = Math.max(now, server.busyUntil);
      if (start - now > MAX_QUEUE_US) {
        completeLater(attempt, "overloaded", 2 * MS);
      } else {
        server.busyUntil = start + workUs;
        completeLater(attempt, "success", start + workUs - now);
      }
    }
  }

  private void completeLater(Attempt attempt, String outcome, long us) {
    schedule(us, attempt.request.query.router, () -> complete(attempt, outcome));
  }

  private void cancelAttempt(Attempt attempt) {
    completeLater(attempt, "withdrawn", MS);
  }

  /** Reports the outcome of an attempt to its router, unless it has ended already. */
  private void complete(Attempt attempt, String outcome) {
    ShardRequest request = attempt.request;
    Query query = request.query;
    attempt.server.inFlight.remove(attempt);
    if (attempt.ended || query.routerGeneration != routerGenerations[query.router]) {
      return;
    }
    attempt.ended = true;
    boolean success = outcome.equals("success");
    boolean closed = success || query.closed || now >= query.deadline || random.nextBoolean(0.02);
    request.closed |= closed;
    addMessage(
        "Returned",
        query.router,
        ",\"handle\":\""
            + request.id
            + "\",\"try\":"
            + attempt.number
            + ",\"server\":\""
            + attempt.server.id
            + "\",\"disposition\":\""
            + outcome
            + "\",\"costTimeMs\":"
            + millis((now - attempt.sentAt) - random.nextInt(4) * 250)
            + (closed ? ",\"ended\":true" : "")
            + (success && random.nextBoolean(0.05) ? ",\"metrics\":{\"busy\":0.5}" : ""));
  }

  /** Ends the process of a server and restarts it after a delay. */
  private void crash(Server server) {
    if (server.health == Health.DOWN || !isListed(server)) {
      return;
    }
    List.copyOf(server.inFlight).forEach(attempt -> complete(attempt, "broken"));
    server.health = Health.DOWN;
    long downMs =
        random.nextBoolean(0.5)
            ? random.nextLongBetween(50, 500)
            : random.nextLongBetween(500, 4000);
    schedule(downMs * MS, () -> restart(server));
  }

  private void restart(Server server) {
    server.health = Health.HEALTHY;
    server.busyUntil = now;
    server.startedAt = now;
    server.status = "in_service";
    if (random.nextBoolean(0.2)) {
      server.position = random.nextInt(positions());
    }
    publishChange(server);
  }

  /** Drains a server, ends its process after a delay, and restarts it later. */
  private void drain(Server server) {
    server.status = "terminating";
    publishChange(server);
    schedule(
        random.nextLongBetween(200, 3000) * MS,
        () -> {
          List.copyOf(server.inFlight).forEach(attempt -> complete(attempt, "broken"));
          server.status = "terminated";
          server.health = Health.DOWN;
          publishChange(server);
          schedule(random.nextLongBetween(300, 5000) * MS, () -> restart(server));
        });
  }

  /** Ends one connection to a server: attempts of one router on it lose their connection. */
  private void loseConnection(Server server) {
    int router = random.nextInt(routers);
    List.copyOf(server.inFlight).stream()
        .filter(attempt -> attempt.request.query.router == router)
        .forEach(attempt -> complete(attempt, "broken"));
  }

  /** Injects a random fault or change of load, and schedules the next one. */
  private void injectFault() {
    schedule(
        random.nextLongBetween(100, (long) deployment.valueOf("faultMs", 2500)) * MS,
        this::injectFault);
    List<Server> healthy =
        servers.values().stream()
            .filter(s -> s.health == Health.HEALTHY && s.status.equals("in_service"))
            .toList();
    int router = random.nextInt(routers);
    if (healthy.isEmpty()) {
      return;
    }
    Server server = healthy.get(random.nextInt(healthy.size()));
    Health[] faults = {
      Health.SLOW, Health.FAILING, Health.REJECTING, Health.HANGING, Health.CORRUPTING
    };
    switch (random.nextInt(16)) {
      case 0, 1, 2, 3, 4, 5 -> {
        server.health = faults[random.nextInt(faults.length)];
        Health fault = server.health;
        schedule(
            random.nextLongBetween(300, 5000) * MS,
            () -> server.health = server.health == fault ? Health.HEALTHY : server.health);
      }
      case 6 -> crash(server);
      case 7 -> drain(server);
      case 8 -> loseConnection(server);
      case 9 -> {
        sendCrashingQueries = true;
        schedule(random.nextLongBetween(500, 4000) * MS, () -> sendCrashingQueries = false);
      }
      case 10 -> {
        dropIdleConnections = true;
        schedule(random.nextLongBetween(4000, 20_000) * MS, () -> dropIdleConnections = false);
      }
      case 11, 12 -> {
        loadFactor = new double[] {0.1, 0.3, 1, 1, 3, 6}[random.nextInt(6)];
        schedule(random.nextLongBetween(500, 6000) * MS, () -> loadFactor = 1);
      }
      case 13 -> updateEndpointList(router);
      case 14 -> sendUnexpectedMessage(router);
      default -> {
        if (random.nextBoolean(0.2)) {
          stopRouter(router);
        }
      }
    }
  }

  private void updateEndpointList(int router) {
    if (deployment.isEnabled("direct") && random.nextBoolean(0.4)) {
      watching[router] = false;
      addMessage("Announce", router, ",\"mode\":\"moved\",\"generation\":1,\"page\":0");
    } else if (!deployment.isEnabled("ask")) {
      sendSnapshot(router);
    } else if (watching[router]) {
      loseWatch(router);
    }
  }

  /** Sends a message that a correct simulator never sends, or that the policy has no use for. */
  private void sendUnexpectedMessage(int router) {
    switch (random.nextInt(4)) {
      case 0 -> addMessage("Lapsed", router, ",\"handle\":\"nobody\"");
      case 1 -> addMessage("DeadlineHit", router, ",\"label\":999999999");
      case 2 ->
          addMessage(
              "Returned",
              router,
              ",\"handle\":\"none\",\"try\":7,\"server\":\"s0\",\"disposition\":\"failure\","
                  + "\"costTimeMs\":3,\"ended\":false");
      default ->
          addMessage(
              "HealthResult",
              router,
              ",\"server\":\"s0\",\"disposition\":\"success\",\"costTimeMs\":3");
    }
  }

  /** Stops a router, either immediately or some time after a shutdown event. */
  private void stopRouter(int router) {
    if (deployment.isEnabled("direct") && !shuttingDown[router]) {
      shuttingDown[router] = true;
      long deadline = now + random.nextLongBetween(50, 1500) * MS;
      addMessage("Ending", router, ",\"atMs\":" + millis(deadline));
      schedule(deadline - now + 500 * MS, router, () -> replaceRouter(router));
    } else {
      replaceRouter(router);
    }
  }
}
