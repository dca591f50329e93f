package tidebank.runtime;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.policy.RoutingPolicy;
import tidebank.metrics.Counters;
import tidebank.capture.DecisionLog;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Outcome;
import tidebank.model.Settings;
import tidebank.runtime.PendingQuery.PendingShardRequest;
import tidebank.runtime.BackendPort.Member;

/**
 * Gathers what one pass of the event loop brings, calls the module once and carries out what it
 * wants, in order. It decides nothing. All of it runs on the event loop.
 */
public final class PolicyExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(PolicyExecutor.class);

  /**
   * PROTOCOL: nothing is sent more than 0.1 s after a client closed. For a tenth of that what was
   * read of a client's connection is good enough to send by.
   */
  private static final long CLIENT_READ_US = 10_000;

  private final Settings settings;
  private final Clock clock;
  private final TimerQueue timers;
  private final EventLoop loop;
  private final Counters counters;
  private final ReadDelayEstimator passes;
  private final EventLoopStallLogger stalls;
  private final Runnable run = this::run;
  private final Map<String, PendingQuery> scans = new HashMap<>();
  private final Map<String, PendingShardRequest> parts = new HashMap<>();
  private final Map<String, Member> list = new HashMap<>();
  private List<Event> events = new ArrayList<>();
  private boolean scheduled;
  private boolean listed;
  private RoutingPolicy policy;
  private long seed;
  private BackendPort shards;
  private DiscoveryPort discovery;
  private Runnable whenIdle;
  private DecisionLog log = DecisionLog.NONE;
  private long numbers;
  private int held;

  public PolicyExecutor(
      Settings settings, long seed, Clock clock, TimerQueue timers, EventLoop loop, Counters counters) {
    this.settings = settings;
    this.seed = seed;
    this.clock = clock;
    this.timers = timers;
    this.loop = loop;
    this.counters = counters;
    this.policy = new RoutingPolicy(settings, seed);
    this.passes = new ReadDelayEstimator(settings.tickUs());
    this.stalls = new EventLoopStallLogger(counters);
  }

  /** Has every turn told from now on, which is before the first. */
  public void log(DecisionLog wanted) {
    log = wanted;
    log.started(settings, seed);
  }

  public void connect(BackendPort shards, DiscoveryPort discovery) {
    this.shards = shards;
    this.discovery = discovery;
  }

  // ---- what happened

  /** A front took a scan. False: as much is held as the settings allow; it was not taken. */
  public boolean scanTaken(QueryRequest request, ResponseCallback reply) {
    int more = 1 + request.ranges().size();
    if (held > settings.limits().mostHeld() - more) {
      return false;
    }
    counters.must(!holds(request), "an id is held once");
    PendingQuery scan = new PendingQuery(request, ++numbers, reply);
    scan.clientReadAt = clock.now();
    held += more;
    scans.put(request.id(), scan);
    parts.putAll(scan.parts);
    tell(
        new Event.QueryReceived(
            request.id(),
            scan.number,
            request.type(),
            request.account(),
            request.askedAt(),
            request.limitAt(),
            request.resent(),
            request.key()));
    for (PendingShardRequest part : scan.parts.values()) {
      tell(
          new Event.ShardRequestReceived(
              part.id, scan.number, part.range.shard(), part.range.weight(), part.range.key()));
    }
    return true;
  }

  /** Whether a scan of this id is held, or a part of it is still out. */
  public boolean holds(QueryRequest request) {
    return scans.containsKey(request.id())
        || request.ranges().stream()
            .anyMatch(range -> parts.containsKey(PendingShardRequest.id(request, range)));
  }

  /** What was sent so far for a scan that is held, for the log. */
  public String dispatches(String id) {
    PendingQuery scan = scans.get(id);
    if (scan == null) {
      return "dispatches=-";
    }
    int begun = scan.parts.values().stream().mapToInt(part -> part.requests.size()).sum();
    long ago = begun == 0 ? -1 : (clock.now() - scan.lastSentAt) / 1000;
    return "dispatches=" + begun + " last_sent_ms_ago=" + ago;
  }

  /** The client of a scan has left. */
  public void scanLapsed(String id) {
    PendingQuery scan = scans.get(id);
    if (scan != null) {
      counters.add("scans.lapsed");
      finish(scan);
      tell(new Event.ClientDisconnected(id));
    }
  }

  /**
   * The first byte of a dispatch is about to be written. The poll that brought what the decision
   * rests on may be long over, as code may be cold and the process may have been held up: if the
   * client has left meanwhile, its scan lapses here, and with it all that is not written.
   */
  public void aboutToWrite(AttemptRequest request) {
    PendingQuery scan = request.held.scan;
    if (scan.reply == null || clock.now() - scan.clientReadAt < CLIENT_READ_US) {
      return;
    }
    scan.clientReadAt = clock.now();
    scan.reply.checkClient();
    if (scan.reply == null) {
      counters.add("scans.lapsed-before-writing");
    }
  }

  /** A dispatch has come to its one end; {@code value} is null unless it completed. */
  public void dispatchEnded(
      AttemptRequest request, Outcome outcome, byte[] value, Map<String, Double> report) {
    if (!counters.must(!request.ended, "a dispatch ends once")) {
      return;
    }
    request.ended = true;
    PendingShardRequest part = request.held;
    if (value != null && part.value == null && part.scan.reply != null) {
      part.value = value;
    }
    counters.add("dispatches." + outcome.name().toLowerCase(Locale.ROOT));
    boolean closed = part.scan.reply == null || part.value != null;
    tell(
        new Event.AttemptCompleted(
            part.id, request.number, outcome, clock.now() - request.askedAt, closed, report));
    forget(part);
  }

  public void probed(String server, Outcome outcome, long tookUs, Map<String, Double> report) {
    counters.add("probes." + outcome.name().toLowerCase(Locale.ROOT));
    tell(new Event.HealthCheckCompleted(server, outcome, tookUs, report));
  }

  /** A list, or what changed in it, or that the watch was lost. */
  public void listSeen(ListUpdate kind, List<Member> members) {
    if (kind != ListUpdate.LOST && kind != ListUpdate.MOVED) {
      boolean full = kind != ListUpdate.CHANGES;
      listed |= kind != ListUpdate.REMEMBERED;
      if (full) {
        list.clear();
      }
      for (Member member : members) {
        boolean gone = member.line().status() == EndpointStatus.GONE;
        list.compute(member.line().server(), (id, before) -> gone ? null : member);
      }
      shards.listed(members, full);
    }
    counters.add("list." + kind.name().toLowerCase(Locale.ROOT));
    tell(new Event.EndpointListReceived(kind, members.stream().map(Member::line).toList()));
  }

  /** All that is held, and what still comes, is to be answered before this. */
  void ending(long at) {
    tell(new Event.ShutdownRequested(at));
  }

  /** Runs something once no scan is held and nothing waits to be decided. */
  void whenIdle(Runnable then) {
    whenIdle = then;
    checkIdle();
  }

  /** Whether any list has come since the start. */
  boolean listed() {
    return listed;
  }

  /** Whether any list told of a shard server. */
  boolean knowsServers() {
    return !list.isEmpty();
  }

  /**
   * The earliest moment at which bytes that are read now may have arrived, by {@link ReadDelayEstimator}
   * and by how much a timer is overdue: for so long the process as a whole stood still.
   */
  public long arrivedSince() {
    beginPass();
    return Math.min(passes.arrivedSince(), clock.now() - timers.overdueUs());
  }

  /** The number of the loop's present pass over what there is to read. */
  public long pass() {
    beginPass();
    return passes.number();
  }

  private void tell(Event event) {
    events.add(event);
    beginPass();
  }

  private void beginPass() {
    if (!scheduled) {
      scheduled = true;
      passes.active(clock.now());
      loop.execute(run);
    }
  }

  // ---- the turn

  private void run() {
    scheduled = false;
    if (!events.isEmpty()) {
      decide();
    }
    long tookUs = passes.ended(clock.now());
    if (!scans.isEmpty()) {
      stalls.pass(tookUs);
    }
    checkIdle();
  }

  private void decide() {
    List<Event> taken = events;
    events = new ArrayList<>();
    counters.add("turns");
    long now = clock.now();
    try {
      List<Action> actions = policy.on(now, taken);
      log.turn(now, taken, actions);
      for (Action action : actions) {
        carryOut(action);
      }
      shards.flush();
    } catch (RuntimeException | VirtualMachineError fault) {
      LOG.error("module or turn failed; all that is held is abandoned", fault);
      counters.add("turns.failed");
      log.failed(now, taken, fault);
      startOver();
    }
  }

  /**
   * The module may be half way through a change: it starts again from the list, as after a restart.
   */
  private void startOver() {
    for (PendingQuery scan : List.copyOf(scans.values())) {
      ResponseCallback reply = scan.reply;
      finish(scan);
      scan.parts.values().forEach(part -> List.copyOf(part.requests).forEach(this::cancel));
      reply.abandoned();
    }
    shards.flush();
    events.removeIf(
        event -> !(event instanceof Event.QueryReceived || event instanceof Event.ShardRequestReceived));
    policy = new RoutingPolicy(settings, ++seed);
    log.started(settings, seed);
    events.add(
        0,
        new Event.EndpointListReceived(ListUpdate.REMEMBERED, list.values().stream().map(Member::line).toList()));
    tell(new Event.TimerFired(0));
  }

  private void carryOut(Action action) {
    if (action instanceof Action.SendAttempt send) {
      send(send);
    } else if (action instanceof Action.CancelAttempt cancel) {
      PendingShardRequest part = parts.get(cancel.part());
      if (part != null) {
        cancel(part.requests.get(cancel.dispatch()));
      }
    } else if (action instanceof Action.Respond answer) {
      conclude(
          answer.scan(),
          answer.whole() ? "scans.whole" : "scans.partial",
          (reply, scan) -> reply.answered(answer.whole(), scan.values()));
    } else if (action instanceof Action.Throttle throttle) {
      conclude(
          throttle.scan(),
          "scans.throttled",
          (reply, scan) -> reply.throttled(throttle.holdOffUs()));
    } else if (action instanceof Action.Fail abandon) {
      conclude(abandon.scan(), "scans.abandoned", (reply, scan) -> reply.abandoned());
    } else if (action instanceof Action.SetTimer timer) {
      timers.set(
          TimerQueue.timer(() -> tell(new Event.TimerFired(timer.token()))),
          clock.now() + timer.waitUs());
    } else if (action instanceof Action.WatchEndpoints follow) {
      discovery.follow(follow.on());
    } else if (action instanceof Action.RetireConnections close) {
      shards.retire(close.server());
    } else if (action instanceof Action.CheckHealth probe) {
      shards.probe(probe.server());
    } else if (action instanceof Action.LogNote note) {
      LOG.info("module: " + note.text());
    }
  }

  private void conclude(String id, String counter, BiConsumer<ResponseCallback, PendingQuery> answer) {
    PendingQuery scan = scans.get(id);
    if (scan != null) {
      ResponseCallback reply = scan.reply;
      finish(scan);
      counters.add(counter);
      answer.accept(reply, scan);
    }
  }

  private void send(Action.SendAttempt send) {
    PendingShardRequest part = parts.get(send.part());
    if (!counters.must(
        part != null && part.scan.reply != null, "only parts of an open scan are sent")) {
      return;
    }
    AttemptRequest request =
        new AttemptRequest(
            part,
            part.requests.size(),
            send.server(),
            part.scan.request.text(),
            send.stopAt(),
            clock.now());
    part.requests.add(request);
    part.scan.lastSentAt = request.askedAt;
    try {
      request.handle = shards.send(request);
    } catch (RuntimeException | VirtualMachineError fault) {
      request.ended = true;
      throw fault;
    }
  }

  private void cancel(AttemptRequest request) {
    if (!request.ended) {
      request.handle.cancel();
    }
  }

  /** The scan has its final answer, or needs none: nothing of it may be written any more. */
  private void finish(PendingQuery scan) {
    scan.reply = null;
    scans.remove(scan.request.id());
    held -= 1 + scan.parts.size();
    for (PendingShardRequest part : scan.parts.values()) {
      for (AttemptRequest request : List.copyOf(part.requests)) {
        if (!request.ended) {
          request.handle.dropUnsent();
        }
      }
      forget(part);
    }
  }

  private void forget(PendingShardRequest part) {
    if (part.scan.reply == null && part.requests.stream().allMatch(request -> request.ended)) {
      parts.remove(part.id);
    }
  }

  private void checkIdle() {
    if (whenIdle != null && scans.isEmpty() && !scheduled) {
      Runnable then = whenIdle;
      whenIdle = null;
      then.run();
    }
  }
}
