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
 * A small fleet of routers, shard servers and clients in a closed loop, on the simulator's wire. It
 * gives out one batch of events at a time and takes the reply to it; the same site and seed and the
 * same replies give the same batches. It serves to record streams of events, not to measure: its
 * servers fail, queue, restart and drain more often than real ones.
 */
final class SimulatedFleet {
  private static final long TICK_US = 5_000;
  private static final long MS = 1_000;
  private static final long IDLE_US = 600 * MS;
  private static final long QUEUE_MOST_US = 1_200 * MS;
  private static final int SHARDS = 12;
  private static final int PAGES = 16;
  private static final String[] CLASSES = {
    "part", "whole", "once", "keyed", "strict", "steps", "sample", "keyedpart"
  };
  private static final int[] SECOND_STEP = {0, 0, 0, 0, 0, 2, 0, 0};
  private static final int[] TIMEOUT_MS = {3000, 3000, 4000, 3000, 2500, 5000, 3000, 3000};
  private static final String SERVICES =
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

  /** What a deployment permits and how large it is; figures that are left out have a default. */
  record Site(Map<String, Double> figures) {
    static Site of(String text) {
      Map<String, Double> figures = new LinkedHashMap<>();
      for (String pair : text.split(" ")) {
        String[] sides = pair.split("=");
        figures.put(sides[0], Double.valueOf(sides[1]));
      }
      return new Site(figures);
    }

    double get(String name, double absent) {
      return figures.getOrDefault(name, absent);
    }

    boolean on(String name) {
      return get(name, 0) > 0;
    }
  }

  private record Due(long at, long order, Runnable task) {}

  private enum Health {
    SOUND,
    SLOW,
    FAILING,
    REFUSING,
    HANGING,
    GARBLING,
    DOWN
  }

  private static final class Server {
    final String id;
    final double rating;
    final List<Attempt> out = new ArrayList<>();
    int position;
    String status = "in_service";
    long startedAt;
    Health health = Health.SOUND;
    long busyUntil;

    Server(String id, int position, double rating) {
      this.id = id;
      this.position = position;
      this.rating = rating;
    }
  }

  private static final class Query {
    final List<Integer> shards = new ArrayList<>();
    String id;
    int router;
    int life;
    long number;
    int type;
    long deadline;
    String key;
    boolean done;
    boolean poison;
    boolean second;
  }

  private static final class Part {
    final List<Attempt> attempts = new ArrayList<>();
    final String id;
    final Query query;
    boolean closed;

    Part(String id, Query query) {
      this.id = id;
      this.query = query;
    }
  }

  private static final class Attempt {
    final Part part;
    final int number;
    final Server server;
    final long sentAt;
    boolean ended;

    Attempt(Part part, int number, Server server, long sentAt) {
      this.part = part;
      this.number = number;
      this.server = server;
      this.sentAt = sentAt;
    }
  }

  /** Pseudo random numbers by a seed: xorshift64*. */
  private static final class Dice {
    private long state;

    Dice(long seed) {
      state = seed * 0x9E3779B97F4A7C15L | 1;
    }

    long bits() {
      state ^= state >>> 12;
      state ^= state << 25;
      state ^= state >>> 27;
      return state * 0x2545F4914F6CDD1DL;
    }

    int below(int bound) {
      return (int) Long.remainderUnsigned(bits() >>> 8, bound);
    }

    boolean chance(double share) {
      return below(1_000_000) < share * 1_000_000;
    }

    long between(long least, long most) {
      return least + below((int) (most - least + 1));
    }
  }

  private final ObjectMapper mapper = new ObjectMapper();
  private final Site site;
  private final Dice dice;
  private final int routers;
  private final List<String> batch = new ArrayList<>();
  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
  private final Map<String, Server> servers = new LinkedHashMap<>();
  private final Map<String, Query> queries = new HashMap<>();
  private final Map<String, Part> parts = new HashMap<>();
  private final Map<String, Long> lastUse = new HashMap<>();
  private final Set<String> reconnected = new HashSet<>();
  private final int[] lives;
  private final long[] numbers;
  private final boolean[] following;
  private final boolean[] ending;
  private long now = 1_000_000;
  private long order;
  private long names;
  private int page;
  private long messages;
  private double load = 1;
  private boolean silentIdle;
  private boolean poisoned;

  SimulatedFleet(Site site, long seed) {
    this.site = site;
    this.dice = new Dice(seed);
    this.routers = (int) site.get("hosted", 2);
    this.lives = new int[routers];
    this.numbers = new long[routers];
    this.following = new boolean[routers];
    this.ending = new boolean[routers];
    int positions = positions();
    int each = (int) site.get("each", 1);
    for (int i = 0; i < positions * each; i++) {
      double rating = site.on("sizes") ? 1 + i % 3 / 2.0 : 1;
      servers.put("s" + i, new Server("s" + i, i % positions, rating));
    }
    for (int i = 0; i < routers; i++) {
      int router = i;
      after(MS * (i + 1), () -> attach(router));
    }
    after(20 * MS, this::arrive);
    after(500 * MS, this::fault);
  }

  /** How many messages were given out so far. */
  long messages() {
    return messages;
  }

  /** The next batch, as a line without its end. */
  String nextBatch() {
    batch.clear();
    while (batch.isEmpty()) {
      Due first = queue.peek();
      long tick = (first.at() + TICK_US - 1) / TICK_US * TICK_US;
      now = Math.max(now + TICK_US, tick);
      // The process stands still now and then: what is due meanwhile comes late and at once.
      now += dice.chance(0.003) ? TICK_US * dice.below(160) : 0;
      while (!queue.isEmpty() && queue.peek().at() <= now) {
        queue.poll().task().run();
      }
    }
    reconnected.clear();
    messages += batch.size();
    return "{\"simTimeMs\":" + ms(now) + ",\"msgs\":[" + String.join(",", batch) + "]}";
  }

  /** Takes the reply to the latest batch. */
  void reply(String line) {
    JsonNode output;
    try {
      output = mapper.readTree(line).get("output");
    } catch (IOException fault) {
      throw new UncheckedIOException(fault);
    }
    for (JsonNode action : output) {
      int router = action.get("who").intValue();
      String handle = action.path("handle").textValue();
      switch (action.get("kind").textValue()) {
        case "Assign" ->
            assign(
                handle,
                servers.get(action.get("server").textValue()),
                Math.round(action.get("stopAtMs").doubleValue() * MS));
        case "CallOff" -> callOff(parts.get(handle).attempts.get(action.get("try").intValue()));
        case "WrapUp" -> wrapUp(queries.get(handle));
        case "Busy" ->
            end(queries.get(handle), Math.round(action.get("holdOffMs").doubleValue() * MS));
        case "ReportFailure" -> end(queries.get(handle), 100 * MS);
        case "SetTimer" -> timer(router, action);
        case "Follow" -> follow(router);
        case "Disconnect" -> reconnected.add(router + "/" + action.get("server").textValue());
        default -> throw new IllegalStateException(action.toString());
      }
    }
  }

  private int positions() {
    return (int) site.get("positions", 4);
  }

  private void after(long us, Runnable task) {
    queue.add(new Due(now + Math.max(1, us), order++, task));
  }

  /** Runs a task for a router unless it was killed meanwhile. */
  private void after(long us, int router, Runnable task) {
    int life = lives[router];
    after(
        us,
        () -> {
          if (lives[router] == life) {
            task.run();
          }
        });
  }

  private static String ms(long us) {
    return us % MS == 0 ? Long.toString(us / MS) : Double.toString(us / (double) MS);
  }

  private void say(String kind, int router, String fields) {
    batch.add("{\"kind\":\"" + kind + "\",\"who\":" + router + fields + "}");
  }

  // ---- routers and lists

  private void attach(int router) {
    following[router] = false;
    ending[router] = false;
    String rank = site.on("ranks") ? "\"rank\":" + router + "," : "";
    say(
        "Attach",
        router,
        ",\"salt\":"
            + (dice.bits() >>> 20)
            + ",\"config\":{\"instances\":"
            + (int) site.get("instances", 2)
            + ","
            + rank
            + "\"tickMs\":5,\"discovery\":\""
            + (site.on("ask") ? "ask" : "push")
            + "\",\"services\":"
            + SERVICES
            + ",\"specifics\":{\"slices\":"
            + SHARDS
            + ",\"positions\":"
            + positions()
            + ",\"width\":"
            + (int) site.get("width", 2)
            + ",\"bundleMax\":"
            + (int) site.get("bundle", 1)
            + ",\"callMs\":"
            + site.get("call", 0)
            + ",\"floorByClass\":[0.5,1,1,1,1,0.6,0.4,0.5],"
            + "\"classNeed\":[1,1,1,1,1,1,0.7,1],\"secondStep\":[0,0,0,0,0,2,0,0]},"
            + limits()
            + "}");
    String listed =
        String.join(",", servers.values().stream().filter(this::known).map(this::entry).toList());
    announce(router, "warm_copy", listed);
  }

  private String limits() {
    String budget =
        site.get("span", 0) > 0
            ? ",\"freeResends\":"
                + site.get("free", 0)
                + ",\"extraRatio\":"
                + site.get("ratio", 0)
                + ",\"ratioSpanMs\":"
                + site.get("span", 0)
            : "";
    return "\"limits\":{\"maxAttempts\":"
        + (int) site.get("attempts", 4)
        + ",\"secondCopies\":"
        + site.on("hedging")
        + ",\"cancel\":"
        + site.on("cancel")
        + ",\"mayProbe\":true,\"retryAfter\":"
        + site.on("holdoff")
        + ",\"maxRetryAfterMs\":400,\"mostHeld\":200},"
        + "\"guarantees\":{\"answerSlackMs\":20,\"askEveryMs\":10000,\"stopSendingWithinMs\":1000,"
        + "\"coldFrom\":0.2,\"coldMs\":10000,\"fallMultiple\":2,\"tipAfterMs\":1000"
        + budget
        + "}";
  }

  private boolean known(Server server) {
    return !server.status.equals("terminated");
  }

  private String entry(Server server) {
    return "{\"lastStartMs\":"
        + (server.startedAt == 0 ? "null" : ms(server.startedAt))
        + ",\"rating\":"
        + server.rating
        + ",\"slotNo\":"
        + server.position
        + ",\"status\":\""
        + server.status
        + "\",\"server\":\""
        + server.id
        + "\"}";
  }

  private void announce(int router, String mode, String entries) {
    page = (page + 1) % PAGES;
    batch.add("{\"kind\":\"Sheet\",\"page\":" + page + ",\"items\":[" + entries + "]}");
    say("Announce", router, ",\"mode\":\"" + mode + "\",\"generation\":1,\"page\":" + page);
  }

  private void lose(int router) {
    following[router] = false;
    say("Announce", router, ",\"mode\":\"lost\",\"generation\":1,\"page\":0");
  }

  private void total(int router) {
    announce(
        router,
        "total",
        String.join(",", servers.values().stream().filter(this::known).map(this::entry).toList()));
  }

  private void publish(Server server) {
    String entry = entry(server);
    for (int i = 0; i < routers; i++) {
      int router = i;
      if (!site.on("ask") || following[router]) {
        after(300 * MS, router, () -> announce(router, "incr", entry));
      }
    }
  }

  private void follow(int router) {
    int way = dice.below(10);
    if (way < 2) {
      after(dice.between(5, 2500) * MS, router, () -> lose(router));
    } else if (way > 2) {
      after(
          dice.between(5, 400) * MS,
          router,
          () -> {
            following[router] = true;
            if (dice.chance(0.5)) {
              total(router);
            } else {
              announce(router, "incr", "");
            }
          });
    }
  }

  private void timer(int router, JsonNode action) {
    String label = action.get("label").asText();
    after(
        Math.round(action.get("waitMs").doubleValue() * MS),
        router,
        () -> say("DeadlineHit", router, ",\"label\":" + label));
  }

  private void kill(int router) {
    say("Retire", router, "");
    lives[router]++;
    queries.values().stream().filter(q -> q.router == router).forEach(q -> q.done = true);
    attach(router);
  }

  // ---- clients

  private void arrive() {
    after((long) (dice.between(1, 2 * 1000) * MS / (site.get("perS", 5) * load)), this::arrive);
    int router = dice.below(routers);
    int type = dice.below(CLASSES.length);
    String key = dice.chance(0.6) ? "k" + dice.below(30) : "";
    long time = TIMEOUT_MS[type] * MS;
    if (dice.chance(0.1)) {
      time = dice.chance(0.2) ? 2 * MS : dice.between(50, 900) * MS;
    }
    ask(router, type, key, now + time, false);
  }

  private void ask(int router, int type, String key, long deadline, boolean resent) {
    Query query = new Query();
    query.id = "q" + names++;
    query.router = router;
    query.life = lives[router];
    query.number = ++numbers[router];
    query.type = type;
    query.deadline = deadline;
    query.key = key;
    query.poison = poisoned && dice.chance(0.5);
    queries.put(query.id, query);
    boolean odd = dice.chance(0.01);
    long late = site.on("direct") && dice.chance(0.1) ? dice.between(1, 250) * MS : 0;
    int shards = dice.chance(0.02) ? 0 : 1 + dice.below(8);
    say(
        "Knock",
        router,
        ",\"handle\":\""
            + query.id
            + "\",\"notAfterMs\":"
            + ms(deadline)
            + (late > 0 ? ",\"askedAtMs\":" + ms(now - late) : "")
            + ",\"jobNo\":"
            + query.number
            + (resent ? ",\"resent\":true" : "")
            + ",\"lane\":\""
            + (odd ? "odd" : CLASSES[type])
            + "\""
            + (key.isEmpty() ? "" : ",\"subject\":\"" + key + "\"")
            + ",\"slab\":-1,\"measure\":"
            + shards);
    List<Integer> all = new ArrayList<>();
    for (int shard = 0; shard < SHARDS; shard++) {
      all.add(shard);
    }
    for (int i = 0; i < shards; i++) {
      query.shards.add(all.remove(dice.below(all.size())));
    }
    step(query, query.shards, dice.chance(0.5));
    if (dice.chance(0.04)) {
      after(dice.between(5, 900) * MS, router, () -> lapse(query));
    }
    after(deadline - now + 20 * MS, router, () -> lapse(query));
  }

  /** The parts of one step: of equal weights, or falling ones. */
  private void step(Query query, List<Integer> shards, boolean equal) {
    int left = 1000;
    double sum = 0;
    for (int i = 0; i < shards.size(); i++) {
      sum += equal ? 1 : 1.0 / (i + 1);
    }
    for (int i = 0; i < shards.size(); i++) {
      int share = i == shards.size() - 1 ? left : (int) (1000 * (equal ? 1 : 1.0 / (i + 1)) / sum);
      left -= share;
      Part part = new Part(query.id + (query.second ? "x" : ".") + shards.get(i), query);
      parts.put(part.id, part);
      String key = query.key.isEmpty() ? "" : query.key + "." + shards.get(i);
      say(
          "Knock",
          query.router,
          ",\"handle\":\""
              + part.id
              + "\",\"notAfterMs\":"
              + ms(query.deadline)
              + ",\"jobNo\":"
              + query.number
              + (key.isEmpty() ? "" : ",\"subject\":\"" + key + "\"")
              + ",\"slab\":"
              + shards.get(i)
              + ",\"measure\":"
              + share / 1000.0);
    }
  }

  private void lapse(Query query) {
    if (!query.done) {
      query.done = true;
      say("Lapsed", query.router, ",\"handle\":\"" + query.id + "\"");
    }
  }

  private void wrapUp(Query query) {
    if (!query.second && SECOND_STEP[query.type] > 0 && !query.done) {
      query.second = true;
      if (dice.chance(0.95)) {
        List<Integer> next =
            query.shards.subList(0, Math.min(SECOND_STEP[query.type], query.shards.size()));
        after(MS, query.router, () -> step(query, next, true));
      }
    } else {
      query.done = true;
    }
  }

  private void end(Query query, long holdOffUs) {
    boolean again = !query.done && dice.chance(0.5);
    query.done = true;
    if (again) {
      after(
          holdOffUs + dice.between(10, 600) * MS,
          () -> {
            if (query.deadline > now + 5 * MS) {
              ask(query.router, query.type, query.key, query.deadline, true);
            }
          });
    }
  }

  // ---- shard servers

  private void assign(String handle, Server server, long stopAt) {
    Part part = parts.get(handle);
    Query query = part.query;
    Attempt attempt = new Attempt(part, part.attempts.size(), server, now);
    part.attempts.add(attempt);
    if (query.done || part.closed) {
      finish(attempt, "void", MS);
      return;
    }
    String connection = query.router + "/" + server.id;
    boolean idle = now - lastUse.getOrDefault(connection, 0L) >= IDLE_US;
    boolean fresh = reconnected.contains(connection);
    lastUse.put(connection, now);
    server.out.add(attempt);
    after(
        Math.max(1, Math.min(stopAt, query.deadline) - now),
        query.router,
        () -> deliver(attempt, "timed_out"));
    if (query.poison) {
      after(30 * MS, () -> crash(server));
    } else if (!(silentIdle && idle && !fresh)) {
      serve(attempt);
    }
  }

  private void serve(Attempt attempt) {
    Server server = attempt.server;
    boolean strikes = dice.chance(0.8);
    if (server.health == Health.DOWN) {
      finish(attempt, "unreachable", dice.between(1, 50) * MS);
    } else if (server.health == Health.FAILING && strikes) {
      finish(attempt, "failure", dice.between(2, 40) * MS);
    } else if (server.health == Health.GARBLING && strikes) {
      finish(attempt, site.on("direct") ? "spoilt" : "broken", dice.between(2, 40) * MS);
    } else if (server.health == Health.REFUSING && strikes || !server.status.equals("in_service")) {
      finish(attempt, "overloaded", 2 * MS);
    } else if (server.health != Health.HANGING) {
      double cold = Math.min(1, 0.2 + (now - server.startedAt) / 12e6);
      double slow = server.health == Health.SLOW ? 8 : 1;
      long work =
          (long) (dice.between(50, 150) * site.get("work", 100) * 10 * slow / cold / server.rating);
      long start = Math.max(now, server.busyUntil);
      if (start - now > QUEUE_MOST_US) {
        finish(attempt, "overloaded", 2 * MS);
      } else {
        server.busyUntil = start + work;
        finish(attempt, "success", start + work - now);
      }
    }
  }

  private void finish(Attempt attempt, String disposition, long us) {
    after(us, attempt.part.query.router, () -> deliver(attempt, disposition));
  }

  private void callOff(Attempt attempt) {
    finish(attempt, "withdrawn", MS);
  }

  private void deliver(Attempt attempt, String disposition) {
    Part part = attempt.part;
    Query query = part.query;
    attempt.server.out.remove(attempt);
    if (attempt.ended || query.life != lives[query.router]) {
      return;
    }
    attempt.ended = true;
    boolean success = disposition.equals("success");
    boolean closed = success || query.done || now >= query.deadline || dice.chance(0.02);
    part.closed |= closed;
    say(
        "Returned",
        query.router,
        ",\"handle\":\""
            + part.id
            + "\",\"try\":"
            + attempt.number
            + ",\"server\":\""
            + attempt.server.id
            + "\",\"disposition\":\""
            + disposition
            + "\",\"costTimeMs\":"
            + ms((now - attempt.sentAt) - dice.below(4) * 250)
            + (closed ? ",\"ended\":true" : "")
            + (success && dice.chance(0.05) ? ",\"metrics\":{\"busy\":0.5}" : ""));
  }

  /** The process of a server ends and comes back after a while. */
  private void crash(Server server) {
    if (server.health == Health.DOWN || !known(server)) {
      return;
    }
    List.copyOf(server.out).forEach(attempt -> deliver(attempt, "broken"));
    server.health = Health.DOWN;
    long down = dice.chance(0.5) ? dice.between(50, 500) : dice.between(500, 4000);
    after(down * MS, () -> restart(server));
  }

  private void restart(Server server) {
    server.health = Health.SOUND;
    server.busyUntil = now;
    server.startedAt = now;
    server.status = "in_service";
    if (dice.chance(0.2)) {
      server.position = dice.below(positions());
    }
    publish(server);
  }

  private void drain(Server server) {
    server.status = "terminating";
    publish(server);
    after(
        dice.between(200, 3000) * MS,
        () -> {
          List.copyOf(server.out).forEach(attempt -> deliver(attempt, "broken"));
          server.status = "terminated";
          server.health = Health.DOWN;
          publish(server);
          after(dice.between(300, 5000) * MS, () -> restart(server));
        });
  }

  /** A lone connection ends: what this router had out on it breaks. */
  private void disconnect(Server server) {
    int router = dice.below(routers);
    List.copyOf(server.out).stream()
        .filter(attempt -> attempt.part.query.router == router)
        .forEach(attempt -> deliver(attempt, "broken"));
  }

  private void fault() {
    after(dice.between(100, (long) site.get("faultMs", 2500)) * MS, this::fault);
    List<Server> sound =
        servers.values().stream()
            .filter(s -> s.health == Health.SOUND && s.status.equals("in_service"))
            .toList();
    int router = dice.below(routers);
    if (sound.isEmpty()) {
      return;
    }
    Server server = sound.get(dice.below(sound.size()));
    Health[] ills = {Health.SLOW, Health.FAILING, Health.REFUSING, Health.HANGING, Health.GARBLING};
    switch (dice.below(16)) {
      case 0, 1, 2, 3, 4, 5 -> {
        server.health = ills[dice.below(ills.length)];
        Health ill = server.health;
        after(
            dice.between(300, 5000) * MS,
            () -> server.health = server.health == ill ? Health.SOUND : server.health);
      }
      case 6 -> crash(server);
      case 7 -> drain(server);
      case 8 -> disconnect(server);
      case 9 -> {
        poisoned = true;
        after(dice.between(500, 4000) * MS, () -> poisoned = false);
      }
      case 10 -> {
        silentIdle = true;
        after(dice.between(4000, 20_000) * MS, () -> silentIdle = false);
      }
      case 11, 12 -> {
        load = new double[] {0.1, 0.3, 1, 1, 3, 6}[dice.below(6)];
        after(dice.between(500, 6000) * MS, () -> load = 1);
      }
      case 13 -> hearList(router);
      case 14 -> meddle(router);
      default -> {
        if (dice.chance(0.2)) {
          stop(router);
        }
      }
    }
  }

  private void hearList(int router) {
    if (site.on("direct") && dice.chance(0.4)) {
      following[router] = false;
      say("Announce", router, ",\"mode\":\"moved\",\"generation\":1,\"page\":0");
    } else if (!site.on("ask")) {
      total(router);
    } else if (following[router]) {
      lose(router);
    }
  }

  /** What a correct host never says, and what means nothing to the decisions. */
  private void meddle(int router) {
    switch (dice.below(4)) {
      case 0 -> say("Lapsed", router, ",\"handle\":\"nobody\"");
      case 1 -> say("DeadlineHit", router, ",\"label\":999999999");
      case 2 ->
          say(
              "Returned",
              router,
              ",\"handle\":\"none\",\"try\":7,\"server\":\"s0\",\"disposition\":\"failure\","
                  + "\"costTimeMs\":3,\"ended\":false");
      default ->
          say(
              "HealthResult",
              router,
              ",\"server\":\"s0\",\"disposition\":\"success\",\"costTimeMs\":3");
    }
  }

  /** The router ends: killed at once, or told some time before. */
  private void stop(int router) {
    if (site.on("direct") && !ending[router]) {
      ending[router] = true;
      long at = now + dice.between(50, 1500) * MS;
      say("Ending", router, ",\"atMs\":" + ms(at));
      after(at - now + 500 * MS, router, () -> kill(router));
    } else {
      kill(router);
    }
  }
}
