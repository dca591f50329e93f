package tidebank.testbed.deployment;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;
import tidebank.model.Idempotency;

/**
 * The simulated environment of a replay: query classes, placement of shards on servers, shard
 * server parameters, limits, rules and client behaviour. A TOML file overrides the built-in
 * defaults; {@link #routerConfigJson} gives routers the same values in the platform's format.
 *
 * <p>The names of the nested records and of all components appear in the manifest of a run, which
 * contains the result of {@code toString}.
 *
 * @param types query classes by name
 * @param shards number of shards
 * @param width number of servers that hold each shard
 */
public record Deployment(
    Map<String, Type> types,
    int shards,
    int width,
    ServerFigures server,
    Limits limits,
    Rules rules,
    Clients clients) {
  /**
   * A query class.
   *
   * @param repeat whether the shard requests may be executed more than once
   * @param targetUs latency objective; an answer within it earns the full benefit
   * @param timeoutUs how long a client waits for an answer, all attempts included
   * @param lateShare share of the benefit earned by an answer after the latency objective and
   *     within the timeout
   * @param floor minimum share of the total weight of the shard requests that an answer must cover
   * @param partialShare factor on the benefit of a partial answer, applied together with the share
   *     of the weight that the answer covers
   * @param benefit benefit of a complete answer within the latency objective
   */
  public record Type(
      String name,
      Idempotency repeat,
      long targetUs,
      long timeoutUs,
      double lateShare,
      double floor,
      double partialShare,
      double benefit) {}

  /**
   * Parameters of an emulated shard server.
   *
   * @param slots number of shard requests executed at once
   * @param queue number of shard requests that may be queued
   * @param coldFrom share of its capacity that a restarted server begins with
   * @param warmUs duration of the warm-up after a restart
   */
  public record ServerFigures(int slots, int queue, double coldFrom, long warmUs) {}

  /**
   * Features and limits of the platform.
   *
   * @param dispatchesMost maximum number of attempts of a shard request
   * @param secondCopies whether hedged attempts are allowed
   * @param connectTimeoutUs timeout for connecting to a shard server
   * @param idleUs time that shard servers keep an idle connection open
   * @param streamsMost maximum number of batches in flight on a connection to a shard server
   * @param held maximum number of queries and shard requests that a router may hold
   * @param holdOff whether throttled clients are told how long to wait before a retry
   */
  public record Limits(
      int dispatchesMost,
      boolean secondCopies,
      long connectTimeoutUs,
      long idleUs,
      int streamsMost,
      int held,
      boolean holdOff) {}

  /**
   * Parameters of the rules that each router has to comply with.
   *
   * @param answerSlackUs how long after its deadline a final answer still counts
   * @param drainGraceUs how long attempts may be sent to a draining server after the notification
   * @param fallMultiple multiple of its capacity at which a starting server collapses
   * @param fallAfterUs how long that load has to last for the server to collapse
   * @param freeFurther number of retries in a window that are permitted at any traffic
   * @param furtherShare further retries for each query and shard request received in the window
   * @param furtherSpanUs length of the window, or 0 for no retry budget
   */
  public record Rules(
      long answerSlackUs,
      long drainGraceUs,
      double fallMultiple,
      long fallAfterUs,
      double freeFurther,
      double furtherShare,
      long furtherSpanUs) {}

  /**
   * Client behaviour.
   *
   * @param retries maximum number of retries of a query
   * @param waitUs minimum wait before the first retry; doubled for each further one, with jitter
   */
  public record Clients(int retries, long waitUs) {}

  private static final long US_PER_MS = 1000;

  /**
   * The values of {@code repeat} in a deployment file, written there in lower case with hyphens.
   */
  private enum Repeat {
    REPLAYABLE(Idempotency.IDEMPOTENT),
    KEYED(Idempotency.WITH_KEY),
    NON_REPLAYABLE(Idempotency.NON_IDEMPOTENT);

    private final Idempotency idempotency;

    Repeat(Idempotency idempotency) {
      this.idempotency = idempotency;
    }
  }

  private static final ObjectMapper JSON = new ObjectMapper();

  /**
   * Returns the built-in deployment: three query classes modelled on pallet movement queries and 24
   * shards, each on three servers.
   */
  public static Deployment standard() {
    Map<String, Type> types = new LinkedHashMap<>();
    for (Type type :
        List.of(
            new Type(
                "network-trace",
                Idempotency.IDEMPOTENT,
                1000 * US_PER_MS,
                3000 * US_PER_MS,
                0.1,
                0.4,
                0.9,
                3),
            new Type(
                "depot-manifest",
                Idempotency.IDEMPOTENT,
                800 * US_PER_MS,
                3000 * US_PER_MS,
                0.1,
                1,
                0.9,
                1),
            new Type(
                "delivery-confirm",
                Idempotency.NON_IDEMPOTENT,
                800 * US_PER_MS,
                3000 * US_PER_MS,
                0.3,
                1,
                0.9,
                2))) {
      types.put(type.name(), type);
    }
    return new Deployment(
        types,
        24,
        3,
        new ServerFigures(4, 64, 0.3, 4000 * US_PER_MS),
        new Limits(3, true, 250 * US_PER_MS, 20_000 * US_PER_MS, 100, 600, true),
        new Rules(50 * US_PER_MS, 500 * US_PER_MS, 2.5, 1500 * US_PER_MS, 0, 0, 0),
        new Clients(2, 100 * US_PER_MS));
  }

  /**
   * Reads a deployment file. Keys that are absent outside {@code table_type} have the values of
   * {@link #standard}; so have the table types if the file lists none.
   *
   * @throws MalformedInputException if the file is malformed
   */
  public static Deployment read(Path path) throws MalformedInputException {
    return read(Toml.read(path));
  }

  static Deployment read(Toml file) throws MalformedInputException {
    Deployment defaults = standard();
    Toml.Table root = file.root();
    Map<String, Type> types = new LinkedHashMap<>();
    for (Toml.Table row : root.tables("table_type")) {
      long targetUs = row.integer("target_ms", 1000, 1, 600_000) * US_PER_MS;
      Type type =
          new Type(
              row.requiredText("name"),
              row.choice("repeat", Repeat.NON_REPLAYABLE, Repeat.class).idempotency,
              targetUs,
              row.integer("timeout_ms", 3 * targetUs / US_PER_MS, 1, 600_000) * US_PER_MS,
              row.number("late_share", 0, 0, 1),
              row.number("floor", 1, 0.0001, 1),
              row.number("partial_share", 1, 0, 1),
              row.number("benefit", 1, 0, 1e6));
      if (type.timeoutUs() < targetUs) {
        row.addFault(
            "timeout_ms",
            "found "
                + type.timeoutUs() / US_PER_MS
                + ", wanted at least target_ms, which is "
                + targetUs / US_PER_MS);
      }
      if (type.repeat() == Idempotency.WITH_KEY) {
        row.addFault(
            "repeat",
            "found keyed, wanted replayable or non-replayable: the platform's frames have no field"
                + " for an idempotency key");
      }
      if (types.put(type.name(), type) != null) {
        row.addFault(
            "name", "found " + type.name() + ", wanted a name that no earlier table type has");
      }
    }
    Toml.Table servers = root.table("servers");
    Toml.Table limits = root.table("limits");
    Toml.Table rules = root.table("rules");
    Toml.Table clients = root.table("clients");
    Deployment deployment =
        new Deployment(
            types.isEmpty() ? defaults.types : types,
            (int) root.integer("shards", defaults.shards, 1, 100_000),
            (int) root.integer("width", defaults.width, 1, 100),
            new ServerFigures(
                (int) servers.integer("slots", defaults.server.slots, 1, 1024),
                (int) servers.integer("queue", defaults.server.queue, 0, 100_000),
                servers.number("cold_from", defaults.server.coldFrom, 0.01, 1),
                servers.integer("warm_ms", defaults.server.warmUs / US_PER_MS, 0, 600_000)
                    * US_PER_MS),
            new Limits(
                (int) limits.integer("dispatches", defaults.limits.dispatchesMost, 1, 100),
                limits.flag("second_copies", defaults.limits.secondCopies),
                limits.integer(
                        "connect_timeout_ms",
                        defaults.limits.connectTimeoutUs / US_PER_MS,
                        1,
                        60_000)
                    * US_PER_MS,
                limits.integer("idle_ms", defaults.limits.idleUs / US_PER_MS, 1000, 600_000)
                    * US_PER_MS,
                (int) limits.integer("streams", defaults.limits.streamsMost, 1, 10_000),
                (int) limits.integer("held", defaults.limits.held, 1, 1_000_000),
                limits.flag("hold_off", defaults.limits.holdOff)),
            new Rules(
                rules.integer(
                        "answer_slack_ms", defaults.rules.answerSlackUs / US_PER_MS, 0, 10_000)
                    * US_PER_MS,
                rules.integer("drain_grace_ms", defaults.rules.drainGraceUs / US_PER_MS, 0, 60_000)
                    * US_PER_MS,
                rules.number("fall_multiple", defaults.rules.fallMultiple, 1, 100),
                rules.integer("fall_after_ms", defaults.rules.fallAfterUs / US_PER_MS, 1, 60_000)
                    * US_PER_MS,
                rules.number("free_further", defaults.rules.freeFurther, 0, 1e6),
                rules.number("further_share", defaults.rules.furtherShare, 0, 10),
                rules.integer(
                        "further_span_ms", defaults.rules.furtherSpanUs / US_PER_MS, 0, 600_000)
                    * US_PER_MS),
            new Clients(
                (int) clients.integer("retries", defaults.clients.retries, 0, 20),
                clients.integer("wait_ms", defaults.clients.waitUs / US_PER_MS, 1, 60_000)
                    * US_PER_MS));
    file.check();
    return deployment;
  }

  /**
   * Returns the servers that hold a shard: {@code width} consecutive positions on a ring, starting
   * at the position with the shard's number. Server i is at position i.
   */
  public List<Integer> holders(int shard, int servers) {
    List<Integer> holders = new ArrayList<>();
    for (int offset = 0; offset < Math.min(width, servers); offset++) {
      holders.add((shard + offset) % servers);
    }
    return holders;
  }

  /** Returns whether a server holds a shard. */
  public boolean holds(int server, int shard, int servers) {
    return Math.floorMod(server - shard, servers) < Math.min(width, servers);
  }

  /**
   * Returns the configuration file of a router for this deployment, as JSON. Server i is at
   * position i of the shard layout.
   */
  public String routerConfigJson(
      String name,
      String listen,
      String discovery,
      String seed,
      int routers,
      int servers,
      int sockets) {
    ObjectNode config = JSON.createObjectNode();
    config.put("name", name).put("listen", listen).put("discovery", discovery).put("seed", seed);
    config.putObject("limits").put("sockets", sockets);
    ObjectNode settings = config.putObject("settings");
    settings.put("instances", routers).put("tickMs", 5).put("discovery", "ask");
    ArrayNode services = settings.putArray("services");
    ObjectNode layout = settings.putObject("specifics");
    ArrayNode floors = layout.putArray("floorByClass");
    ArrayNode needs = layout.putArray("classNeed");
    for (Type type : types.values()) {
      services
          .addObject()
          .put("name", type.name())
          .put(
              "semantics", type.repeat() == Idempotency.IDEMPOTENT ? "read_like" : "non_idempotent")
          .put("onTimeMs", type.targetUs() / US_PER_MS)
          .put("deadlineMs", type.timeoutUs() / US_PER_MS)
          .put("lateWorth", type.lateShare())
          .put("worth", type.benefit());
      floors.add(type.floor());
      needs.add(1);
    }
    layout
        .put("slices", shards)
        .put("positions", servers)
        .put("width", Math.min(width, servers))
        .put("bundleMax", 1);
    settings
        .putObject("limits")
        .put("maxAttempts", limits.dispatchesMost)
        .put("secondCopies", limits.secondCopies)
        .put("cancel", true)
        .put("connectTimeoutMs", limits.connectTimeoutUs / US_PER_MS)
        .put("keepaliveMs", limits.idleUs / US_PER_MS)
        .put("maxStreams", limits.streamsMost)
        .put("mostHeld", limits.held)
        .put("retryAfter", limits.holdOff)
        .put("maxRetryAfterMs", 2000);
    ObjectNode guarantees =
        settings
            .putObject("guarantees")
            .put("answerSlackMs", rules.answerSlackUs / US_PER_MS)
            .put("askEveryMs", 5000)
            .put("stopSendingWithinMs", rules.drainGraceUs / US_PER_MS)
            .put("coldFrom", server.coldFrom)
            .put("coldMs", server.warmUs / US_PER_MS)
            .put("fallMultiple", rules.fallMultiple)
            .put("tipAfterMs", rules.fallAfterUs / US_PER_MS);
    if (rules.furtherSpanUs > 0) {
      guarantees
          .put("freeResends", rules.freeFurther)
          .put("extraRatio", rules.furtherShare)
          .put("ratioSpanMs", rules.furtherSpanUs / US_PER_MS);
    }
    settings.putObject("report").put("how", "inline").putArray("columns").add("util");
    try {
      return JSON.writeValueAsString(config);
    } catch (JsonProcessingException e) {
      throw new IllegalStateException(e);
    }
  }
}
