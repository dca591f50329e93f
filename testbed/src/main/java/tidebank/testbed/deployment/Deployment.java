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
 * What a replay plays against: table types, how the shards lie on servers, the servers' figures,
 * limits, rules and how clients behave. Read from TOML over the defaults that are built in; handed
 * to gatherers in the platform's form.
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
   * A table type.
   *
   * @param targetUs an answer within this earns all of the benefit
   * @param timeoutUs how long a client waits over all its tries
   * @param lateShare what an answer between the two still earns, as a share
   * @param floor the least share of the parts' weight that makes an answer
   * @param partialShare what an answer in part earns, times its share
   * @param benefit of a whole answer in time
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
   * Figures of a stand-in server.
   *
   * @param slots parts it works on at once
   * @param queue parts that may wait
   * @param coldFrom the share of its capacity it starts with
   * @param warmUs how long it takes to be warm
   */
  public record ServerFigures(int slots, int queue, double coldFrom, long warmUs) {}

  /** What the platform allows. */
  public record Limits(
      int dispatchesMost,
      boolean secondCopies,
      long connectTimeoutUs,
      long idleUs,
      int streamsMost,
      int held,
      boolean holdOff) {}

  /** The rules' figures. */
  public record Rules(
      long answerSlackUs,
      long drainGraceUs,
      double fallMultiple,
      long fallAfterUs,
      double freeFurther,
      double furtherShare,
      long furtherSpanUs) {}

  /**
   * How clients behave.
   *
   * @param retries how often one asks again
   * @param waitUs how long it waits before, at least; doubled each time, with jitter
   */
  public record Clients(int retries, long waitUs) {}

  private static final long MS = 1000;

  /** Words of a deployment's file for whether a request may run more than once. */
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
   * The built-in site: three table types like those of pallet movement queries, 24 shards on three
   * servers each.
   */
  public static Deployment standard() {
    Map<String, Type> types = new LinkedHashMap<>();
    for (Type type :
        List.of(
            new Type(
                "network-trace", Idempotency.IDEMPOTENT, 1000 * MS, 3000 * MS, 0.1, 0.4, 0.9, 3),
            new Type("depot-manifest", Idempotency.IDEMPOTENT, 800 * MS, 3000 * MS, 0.1, 1, 0.9, 1),
            new Type(
                "delivery-confirm",
                Idempotency.NON_IDEMPOTENT,
                800 * MS,
                3000 * MS,
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
        new ServerFigures(4, 64, 0.3, 4000 * MS),
        new Limits(3, true, 250 * MS, 20_000 * MS, 100, 600, true),
        new Rules(50 * MS, 500 * MS, 2.5, 1500 * MS, 0, 0, 0),
        new Clients(2, 100 * MS));
  }

  public static Deployment read(Path path) throws MalformedInputException {
    return read(Toml.read(path));
  }

  static Deployment read(Toml file) throws MalformedInputException {
    Deployment base = standard();
    Toml.Table root = file.root();
    Map<String, Type> types = new LinkedHashMap<>();
    for (Toml.Table row : root.tables("table_type")) {
      long target = row.integer("target_ms", 1000, 1, 600_000) * MS;
      Type type =
          new Type(
              row.requiredText("name"),
              row.choice("repeat", Repeat.NON_REPLAYABLE, Repeat.class).idempotency,
              target,
              row.integer("timeout_ms", 3 * target / MS, 1, 600_000) * MS,
              row.number("late_share", 0, 0, 1),
              row.number("floor", 1, 0.0001, 1),
              row.number("partial_share", 1, 0, 1),
              row.number("benefit", 1, 0, 1e6));
      if (type.timeoutUs() < target) {
        row.addFault("timeout_ms", "is below target_ms");
      }
      if (type.repeat() == Idempotency.WITH_KEY) {
        row.addFault("repeat", "keyed table types have no place in the platform's frames yet");
      }
      if (types.put(type.name(), type) != null) {
        row.addFault("name", "stands twice");
      }
    }
    Toml.Table servers = root.table("servers");
    Toml.Table limits = root.table("limits");
    Toml.Table rules = root.table("rules");
    Toml.Table clients = root.table("clients");
    Deployment site =
        new Deployment(
            types.isEmpty() ? base.types : types,
            (int) root.integer("shards", base.shards, 1, 100_000),
            (int) root.integer("width", base.width, 1, 100),
            new ServerFigures(
                (int) servers.integer("slots", base.server.slots, 1, 1024),
                (int) servers.integer("queue", base.server.queue, 0, 100_000),
                servers.number("cold_from", base.server.coldFrom, 0.01, 1),
                servers.integer("warm_ms", base.server.warmUs / MS, 0, 600_000) * MS),
            new Limits(
                (int) limits.integer("dispatches", base.limits.dispatchesMost, 1, 100),
                limits.flag("second_copies", base.limits.secondCopies),
                limits.integer("connect_timeout_ms", base.limits.connectTimeoutUs / MS, 1, 60_000)
                    * MS,
                limits.integer("idle_ms", base.limits.idleUs / MS, 1000, 600_000) * MS,
                (int) limits.integer("streams", base.limits.streamsMost, 1, 10_000),
                (int) limits.integer("held", base.limits.held, 1, 1_000_000),
                limits.flag("hold_off", base.limits.holdOff)),
            new Rules(
                rules.integer("answer_slack_ms", base.rules.answerSlackUs / MS, 0, 10_000) * MS,
                rules.integer("drain_grace_ms", base.rules.drainGraceUs / MS, 0, 60_000) * MS,
                rules.number("fall_multiple", base.rules.fallMultiple, 1, 100),
                rules.integer("fall_after_ms", base.rules.fallAfterUs / MS, 1, 60_000) * MS,
                rules.number("free_further", base.rules.freeFurther, 0, 1e6),
                rules.number("further_share", base.rules.furtherShare, 0, 10),
                rules.integer("further_span_ms", base.rules.furtherSpanUs / MS, 0, 600_000) * MS),
            new Clients(
                (int) clients.integer("retries", base.clients.retries, 0, 20),
                clients.integer("wait_ms", base.clients.waitUs / MS, 1, 60_000) * MS));
    file.check();
    return site;
  }

  /** The servers that hold a shard, of so many, as the platform lays them out: cells in a ring. */
  public List<Integer> holders(int shard, int servers) {
    List<Integer> holders = new ArrayList<>();
    for (int j = 0; j < Math.min(width, servers); j++) {
      holders.add((shard + j) % servers);
    }
    return holders;
  }

  public boolean holds(int server, int shard, int servers) {
    return Math.floorMod(server - shard, servers) < Math.min(width, servers);
  }

  /** A gatherer's configuration file for this site. Server i stands at cell i. */
  public String gathererFile(
      String name,
      String listen,
      String discovery,
      String seed,
      int gatherers,
      int servers,
      int sockets) {
    ObjectNode file = JSON.createObjectNode();
    file.put("name", name).put("listen", listen).put("discovery", discovery).put("seed", seed);
    file.putObject("limits").put("sockets", sockets);
    ObjectNode settings = file.putObject("settings");
    settings.put("instances", gatherers).put("tickMs", 5).put("discovery", "ask");
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
          .put("onTimeMs", type.targetUs() / MS)
          .put("deadlineMs", type.timeoutUs() / MS)
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
        .put("connectTimeoutMs", limits.connectTimeoutUs / MS)
        .put("keepaliveMs", limits.idleUs / MS)
        .put("maxStreams", limits.streamsMost)
        .put("mostHeld", limits.held)
        .put("retryAfter", limits.holdOff)
        .put("maxRetryAfterMs", 2000);
    ObjectNode guarantees =
        settings
            .putObject("guarantees")
            .put("answerSlackMs", rules.answerSlackUs / MS)
            .put("askEveryMs", 5000)
            .put("stopSendingWithinMs", rules.drainGraceUs / MS)
            .put("coldFrom", server.coldFrom)
            .put("coldMs", server.warmUs / MS)
            .put("fallMultiple", rules.fallMultiple)
            .put("tipAfterMs", rules.fallAfterUs / MS);
    if (rules.furtherSpanUs > 0) {
      guarantees
          .put("freeResends", rules.freeFurther)
          .put("extraRatio", rules.furtherShare)
          .put("ratioSpanMs", rules.furtherSpanUs / MS);
    }
    settings.putObject("report").put("how", "inline").putArray("columns").add("util");
    try {
      return JSON.writeValueAsString(file);
    } catch (JsonProcessingException fault) {
      throw new IllegalStateException(fault);
    }
  }
}
