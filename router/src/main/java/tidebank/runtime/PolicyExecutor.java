package tidebank.runtime;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.capture.DecisionLog;
import tidebank.metrics.Counters;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;
import tidebank.model.Settings;
import tidebank.policy.RoutingPolicy;
import tidebank.runtime.BackendPort.Member;
import tidebank.runtime.PendingQuery.PendingShardRequest;

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
      Settings settings,
      long seed,
      Clock clock,
      TimerQueue timers,
      EventLoop loop,
      Counters counters) {
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
    log.policyStarted(settings, seed);
  }

  public void connect(BackendPort shards, DiscoveryPort discovery) {
    this.shards = shards;
    this.discovery = discovery;
  }

  // ---- what happened

  /** A front took a scan. False: as much is held as the settings allow; it was not taken. */
  public boolean queryReceived(QueryRequest request, ResponseCallback reply) {
    int more = 1 + request.ranges().size();
    if (held > settings.limits().maxPending() - more) {
      return false;
    }
    counters.checkInvariant(!isPending(request), "an id is held once");
    PendingQuery scan = new PendingQuery(request, ++numbers, reply);
    scan.clientReadAt = clock.now();
    held += more;
    scans.put(request.id(), scan);
    parts.putAll(scan.requests);
    tell(
        new Event.QueryReceived(
            request.id(),
            scan.number,
            request.queryClass(),
            request.tenant(),
            request.receivedAt(),
            request.deadline(),
            request.clientRetry(),
            request.key()));
    for (PendingShardRequest part : scan.requests.values()) {
      tell(
          new Event.ShardRequestReceived(
              part.id, scan.number, part.range.shard(), part.range.weight(), part.range.key()));
    }
    return true;
  }

  /** Whether a scan of this id is held, or a part of it is still out. */
  public boolean isPending(QueryRequest request) {
    return scans.containsKey(request.id())
        || request.ranges().stream()
            .anyMatch(range -> parts.containsKey(PendingShardRequest.id(request, range)));
  }

  /** What was sent so far for a scan that is held, for the log. */
  public String attemptCount(String id) {
    PendingQuery scan = scans.get(id);
    if (scan == null) {
      return "dispatches=-";
    }
    int begun = scan.requests.values().stream().mapToInt(part -> part.attempts.size()).sum();
    long ago = begun == 0 ? -1 : (clock.now() - scan.lastSentAt) / 1000;
    return "dispatches=" + begun + " last_sent_ms_ago=" + ago;
  }

  /** The client of a scan has left. */
  public void clientDisconnected(String id) {
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
    PendingQuery scan = request.shardRequest.query;
    if (scan.callback == null || clock.now() - scan.clientReadAt < CLIENT_READ_US) {
      return;
    }
    scan.clientReadAt = clock.now();
    scan.callback.checkClient();
    if (scan.callback == null) {
      counters.add("scans.lapsed-before-writing");
    }
  }

  /** A dispatch has come to its one end; {@code value} is null unless it completed. */
  public void attemptCompleted(
      AttemptRequest request, Outcome outcome, byte[] value, Map<String, Double> report) {
    if (!counters.checkInvariant(!request.completed, "a dispatch ends once")) {
      return;
    }
    request.completed = true;
    PendingShardRequest part = request.shardRequest;
    if (value != null && part.value == null && part.query.callback != null) {
      part.value = value;
    }
    counters.add(CounterNames.attempts(outcome));
    boolean closed = part.query.callback == null || part.value != null;
    tell(
        new Event.AttemptCompleted(
            part.id, request.number, outcome, clock.now() - request.createdAt, closed, report));
    forget(part);
  }

  public void healthCheckCompleted(
      String server, Outcome outcome, long tookUs, Map<String, Double> report) {
    counters.add(CounterNames.healthChecks(outcome));
    tell(new Event.HealthCheckCompleted(server, outcome, tookUs, report));
  }

  /** A list, or what changed in it, or that the watch was lost. */
  public void endpointListReceived(ListUpdate kind, List<Member> members) {
    if (kind != ListUpdate.WATCH_LOST && kind != ListUpdate.DISCOVERY_MOVED) {
      boolean full = kind != ListUpdate.DELTA;
      listed |= kind != ListUpdate.CACHED;
      if (full) {
        list.clear();
      }
      for (Member member : members) {
        boolean gone = member.endpoint().status() == EndpointStatus.GONE;
        list.compute(member.endpoint().server(), (id, before) -> gone ? null : member);
      }
      shards.updateEndpoints(members, full);
    }
    counters.add(CounterNames.listUpdates(kind));
    tell(new Event.EndpointListReceived(kind, members.stream().map(Member::endpoint).toList()));
  }

  /** All that is held, and what still comes, is to be answered before this. */
  void shutdownRequested(long at) {
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
   * The earliest moment at which bytes that are read now may have arrived, by {@link
   * ReadDelayEstimator} and by how much a timer is overdue: for so long the process as a whole
   * stood still.
   */
  public long arrivedSince() {
    beginPass();
    return Math.min(passes.arrivedSince(), clock.now() - timers.overdueUs());
  }

  /** The number of the loop's present pass over what there is to read. */
  public long passNumber() {
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
      log.roundDecided(now, taken, actions);
      for (Action action : actions) {
        carryOut(action);
      }
      shards.flush();
    } catch (RuntimeException | VirtualMachineError fault) {
      LOG.error("module or turn failed; all that is held is abandoned", fault);
      counters.add("turns.failed");
      log.roundFailed(now, taken, fault);
      startOver();
    }
  }

  /**
   * The module may be half way through a change: it starts again from the list, as after a restart.
   */
  private void startOver() {
    for (PendingQuery scan : List.copyOf(scans.values())) {
      ResponseCallback reply = scan.callback;
      finish(scan);
      scan.requests.values().forEach(part -> List.copyOf(part.attempts).forEach(this::cancel));
      reply.onFailed();
    }
    shards.flush();
    events.removeIf(
        event ->
            !(event instanceof Event.QueryReceived || event instanceof Event.ShardRequestReceived));
    policy = new RoutingPolicy(settings, ++seed);
    log.policyStarted(settings, seed);
    events.add(
        0,
        new Event.EndpointListReceived(
            ListUpdate.CACHED, list.values().stream().map(Member::endpoint).toList()));
    tell(new Event.TimerFired(0));
  }

  private void carryOut(Action action) {
    if (action instanceof Action.SendAttempt send) {
      send(send);
    } else if (action instanceof Action.CancelAttempt cancel) {
      PendingShardRequest part = parts.get(cancel.shardRequest());
      if (part != null) {
        cancel(part.attempts.get(cancel.attempt()));
      }
    } else if (action instanceof Action.Respond answer) {
      conclude(
          answer.query(),
          answer.complete() ? "scans.whole" : "scans.partial",
          (reply, scan) -> reply.onResponse(answer.complete(), scan.values()));
    } else if (action instanceof Action.Throttle throttle) {
      conclude(
          throttle.query(),
          "scans.throttled",
          (reply, scan) -> reply.onThrottled(throttle.retryAfterUs()));
    } else if (action instanceof Action.Fail abandon) {
      conclude(abandon.query(), "scans.abandoned", (reply, scan) -> reply.onFailed());
    } else if (action instanceof Action.SetTimer timer) {
      timers.schedule(
          TimerQueue.timer(() -> tell(new Event.TimerFired(timer.token()))),
          clock.now() + timer.delayUs());
    } else if (action instanceof Action.WatchEndpoints follow) {
      discovery.watch(follow.enabled());
    } else if (action instanceof Action.RetireConnections close) {
      shards.retireConnections(close.server());
    } else if (action instanceof Action.CheckHealth probe) {
      shards.checkHealth(probe.server());
    } else if (action instanceof Action.LogNote note) {
      LOG.info("module: " + note.message());
    }
  }

  private void conclude(
      String id, String counter, BiConsumer<ResponseCallback, PendingQuery> answer) {
    PendingQuery scan = scans.get(id);
    if (scan != null) {
      ResponseCallback reply = scan.callback;
      finish(scan);
      counters.add(counter);
      answer.accept(reply, scan);
    }
  }

  private void send(Action.SendAttempt send) {
    PendingShardRequest part = parts.get(send.shardRequest());
    if (!counters.checkInvariant(
        part != null && part.query.callback != null, "only parts of an open scan are sent")) {
      return;
    }
    AttemptRequest request =
        new AttemptRequest(
            part,
            part.attempts.size(),
            send.server(),
            part.query.request.body(),
            send.deadline(),
            clock.now());
    part.attempts.add(request);
    part.query.lastSentAt = request.createdAt;
    try {
      request.handle = shards.send(request);
    } catch (RuntimeException | VirtualMachineError fault) {
      request.completed = true;
      throw fault;
    }
  }

  private void cancel(AttemptRequest request) {
    if (!request.completed) {
      request.handle.cancel();
    }
  }

  /** The scan has its final answer, or needs none: nothing of it may be written any more. */
  private void finish(PendingQuery scan) {
    scan.callback = null;
    scans.remove(scan.request.id());
    held -= 1 + scan.requests.size();
    for (PendingShardRequest part : scan.requests.values()) {
      for (AttemptRequest request : List.copyOf(part.attempts)) {
        if (!request.completed) {
          request.handle.dropUnsent();
        }
      }
      forget(part);
    }
  }

  private void forget(PendingShardRequest part) {
    if (part.query.callback == null
        && part.attempts.stream().allMatch(request -> request.completed)) {
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
