package tidebank.policy;

import java.util.*;
import tidebank.model.*;
import tidebank.policy.Query.Verdict;
import tidebank.policy.ShardRequest.Stage;

/**
 * All decisions of one gatherer. A front makes one RoutingPolicy an instance and calls {@link #on}
 * with the clock and all that happened to the instance since the last call; the answer is what to
 * do now, in order. The interface is the package {@code tidebank.model}: Settings, Event and Action
 * in and out, the rest the state kept here. Events change the state, {@link #review} settles what
 * is wanted (dispatches, verdicts, wake-ups), {@link #settle} alone emits the difference.
 */
public final class RoutingPolicy {
  private static final double CAP_START = 8;
  private static final double OVERFLOW_START = 4;
  private static final double OVERFLOW_LEAST = 1;
  private static final double SLOW = 2;
  private static final double CALL_MORE = 0.5;
  private static final double IDLE = 0.1;
  private static final double HALF = 0.5;
  private static final long TROUBLE_US = 1_000_000;
  private static final long EVIDENCE_US = 4 * TROUBLE_US;
  // Shares of a target time: how long a dispatch may take at the least and at the most before it is
  // overdue.
  private static final double PATIENCE_LEAST = 0.33;
  private static final double PATIENCE_MOST = 0.6;

  /** What a second step needs of the target time. */
  private static final double STEP_RESERVE = 0.35;

  private static final double OUT_LONG = 1.4;
  private static final double PATIENCE_TYPICAL = 5;
  private static final double TYPICAL_START = 0.1;
  private static final double CONGESTION_START = 0.75;
  private static final double CONGESTION_FAST = 1.0 / 12;
  private static final double LOW = 0.2;
  private static final double LEARN = 1.0 / 32;
  private static final double LEARN_FAST = 1.0 / 16;
  // The sequential test: the share of bad ends of a sound and of a sick server, and the error it
  // may make.
  private static final double BAD_SOUND = 0.05;
  private static final double BAD_SICK = 0.5;
  private static final double TEST_ERROR = 0.01;
  private static final double DOUBT_BAD = Math.log(BAD_SICK / BAD_SOUND);
  private static final double DOUBT_GOOD = Math.log((1 - BAD_SICK) / (1 - BAD_SOUND));
  private static final double DOUBT_BOUND = Math.log((1 - TEST_ERROR) / TEST_ERROR);
  private static final int TRIAL_DOUBLINGS = 3;
  private static final double OVERLOADED_SHARE = 1.0 / 3;
  private static final int FURTHER_MOST = 2;
  private static final int FATAL = 2;
  private static final int CANARY_TARGETS = 16;
  private static final int MARGIN_TICKS = 3;

  /**
   * The most of its target time that an answer leaves early: a cold gatherer's first large scan
   * takes it.
   */
  private static final double EARLY_MOST = 0.2;

  private static final double SUM_SLACK = 0.00005;

  /** How many deviations of chance a cold server's calls stay under what it bears. */
  private static final double CHANCE = 4;

  private final Settings settings;
  private final SeededRandom chance;
  private final EndpointTable fleet;
  private final WatchTimings listCalls;
  private final QueryWorkQueue workQueue = new QueryWorkQueue();
  private final Map<Integer, ConcurrencyLimit> shards = new HashMap<>();
  private final Map<String, Query> scans = new HashMap<>();
  private final Map<Long, Query> byNumber = new HashMap<>();
  private final Map<String, ShardRequest> parts = new HashMap<>();
  private final List<Query> decided = new ArrayList<>();
  private final List<Attempt> unsettled = new ArrayList<>();

  /** When scans were first asked for, by table type and key. */
  private final Map<String, Long> asked = new LinkedHashMap<>();

  private final SlidingWindow taken = new SlidingWindow();
  private final SlidingWindow breaks = new SlidingWindow();
  private final SlidingWindow further = new SlidingWindow();
  private final List<Action> actions = new ArrayList<>();
  private final long shortestTarget;

  /**
   * What a scan or a wake-up waited for our own processor of late: an answer waits so on its way
   * out.
   */
  private double lag;

  private long lagAt;

  private final long margin;

  /** How many of our parts a home may hold before a part goes elsewhere. */
  private double overflow = OVERFLOW_START;

  private double typical;

  /** The same, but forgetting with time as well. */
  private double recent;

  private long recentAt;

  /**
   * Evidence of silence on connections without and with recent use: it grows with each, up to 1.
   */
  private double idleLoss;

  private double busyLoss;

  /** What a quick answer takes, one that hardly waited. */
  private double service;

  /** The share of our latest dispatches that were overdue or refused, whatever the servers. */
  private double congestion = OVERLOADED_SHARE * CONGESTION_START;

  private long calls;

  /** When the instance itself ends. */
  private long endAt = Long.MAX_VALUE;

  private long now;
  private long armedAt = Long.MAX_VALUE;
  private long timers;
  private boolean following;
  private boolean followAnswered;
  private long askAt;

  /** When the call to discovery that is out was made. */
  private long calledAt;

  public RoutingPolicy(Settings settings, long seed) {
    this.settings = settings;
    this.margin = MARGIN_TICKS * settings.tickUs();
    this.chance = new SeededRandom(seed);
    this.fleet = new EndpointTable(settings.layout());
    this.shortestTarget = settings.shortestObjectiveUs().orElse(TROUBLE_US);
    this.typical = shortestTarget * TYPICAL_START;
    this.service = typical;
    this.recent = typical;
    this.listCalls = new WatchTimings(settings);
  }

  /** Takes what happened and returns what to do. */
  public List<Action> on(long clock, List<Event> events) {
    now = clock;
    actions.clear();
    events.forEach(this::take);
    review();
    settle();
    return List.copyOf(actions);
  }

  // ---- events

  private void take(Event event) {
    if (event instanceof Event.EndpointListReceived list) {
      takeList(list);
    } else if (event instanceof Event.QueryReceived taken) {
      takeScan(taken);
    } else if (event instanceof Event.ShardRequestReceived taken) {
      Query scan = byNumber.get(taken.queryNumber());
      this.taken.add(now, settings.rules().retryBudgetWindowUs());
      if (scan != null && scan.verdict == Verdict.OPEN) {
        ShardRequest part =
            new ShardRequest(
                taken.id(), scan, taken.shard(), taken.weight(), taken.key(), scan.stage);
        part.stage = Stage.PENDING;
        scan.requests.add(part);
        parts.put(part.id, part);
        workQueue.changed(scan);
      }
    } else if (event instanceof Event.AttemptCompleted ended) {
      takeEnd(ended);
    } else if (event instanceof Event.ClientDisconnected lapsed) {
      Query scan = scans.get(lapsed.query());
      if (scan != null && scan.verdict == Verdict.OPEN) {
        close(scan, Verdict.CLIENT_GONE);
      }
    } else if (event instanceof Event.TimerFired due && due.token() == timers) {
      learnLag(now - armedAt);
      armedAt = Long.MAX_VALUE;
    } else if (event instanceof Event.ShutdownRequested ending) {
      endAt = ending.deadline();
      scans.values().forEach(scan -> workQueue.changed(scan.limitDeadline(endAt)));
    }
  }

  private void takeList(Event.EndpointListReceived list) {
    boolean lost = list.update() == Event.ListUpdate.WATCH_LOST;
    if (lost || list.update() == Event.ListUpdate.DISCOVERY_MOVED) {
      following = false;
      if (!lost) {
        listCalls.reset();
      }
      askAt = lost ? now + listCalls.backoffUs(now - calledAt, chance.nextDouble()) : now;
      return;
    }
    if (list.update() != Event.ListUpdate.CACHED) {
      followAnswered = true;
      calledAt = now;
      listCalls.reset();
    }
    fleet.apply(list);
    for (Event.Endpoint line : list.endpoints()) {
      ShardServer srv = fleet.get(line.server());
      if (srv != null && line.startedAt() > srv.startedAt) {
        started(srv, line.startedAt());
        srv.reinstatementAt = Math.min(srv.reinstatementAt, now);
      }
    }
  }

  private void takeScan(Event.QueryReceived event) {
    learnLag(now - event.receivedAt());
    long left = event.deadline() - now;
    QueryClass type =
        settings
            .queryClasses()
            .getOrDefault(
                event.queryClass(),
                new QueryClass(
                    event.queryClass(), Idempotency.NON_IDEMPOTENT, 0, left, left, 0, 1, 1, 0));
    Query scan = new Query(event.id(), event.number(), type, event.deadline());
    scan.objectiveAt = firstAsked(event, type) + type.latencyObjectiveUs();
    scans.put(scan.id, scan);
    byNumber.put(scan.number, scan);
    workQueue.changed(scan.limitDeadline(endAt));
    taken.add(now, settings.rules().retryBudgetWindowUs());
  }

  /**
   * The longest wait counts, and is forgotten with time: few scans come to one of many gatherers.
   */
  private void learnLag(long late) {
    lag = Math.max(late, lag * Math.exp((lagAt - now) / (double) EVIDENCE_US));
    lagAt = now;
  }

  /**
   * How long before its time an answer is given, so that its last byte is out by then. Bounded, as
   * a lone stall of our own process is no reason to give up the scans that come after it.
   */
  private long early(Query scan) {
    return margin + Math.round(Math.min(lag, scan.queryClass.latencyObjectiveUs() * EARLY_MOST));
  }

  /** A client's new try counts from its first, where that came here too and its key tells so. */
  private long firstAsked(Event.QueryReceived event, QueryClass type) {
    asked.values().removeIf(at -> at <= now - type.timeoutUs());
    String what = type.name() + ' ' + event.key();
    if (!event.clientRetry() || event.key().isEmpty()) {
      asked.remove(what);
    }
    return asked.computeIfAbsent(what, absent -> event.receivedAt());
  }

  private void takeEnd(Event.AttemptCompleted ended) {
    ShardRequest part = parts.get(ended.shardRequest());
    if (part == null
        || ended.attempt() >= part.attempts.size()
        || !part.attempts.get(ended.attempt()).inFlight) {
      return;
    }
    Attempt dispatch = part.attempts.get(ended.attempt());
    dispatch.complete(ended.outcome());
    workQueue.changed(part.query);
    judge(dispatch, ended.durationUs());
    boolean open = part.query.verdict == Verdict.OPEN;
    if (ended.outcome() == Outcome.CONNECTION_LOST) {
      part.query.lostConnections += dispatch.server == part.query.lastLostServer ? 0 : 1;
      part.query.lastLostServer = dispatch.server;
    }
    if (open && ended.outcome() == Outcome.COMPLETED) {
      part.stage = Stage.ANSWERED;
      drop(part);
    } else if (open && ended.requestClosed() && part.stage != Stage.ANSWERED) {
      part.stage = Stage.FAILED;
    }
    forget(part);
  }

  private void forget(ShardRequest part) {
    if (part.query.verdict != Verdict.OPEN && part.inFlight() == 0) {
      parts.remove(part.id);
    }
  }

  // ---- what the gatherer makes of ends: caps, the sequential test, the typical time

  private void judge(Attempt dispatch, long tookUs) {
    ShardServer srv = dispatch.server;
    ConcurrencyLimit shard = shard(dispatch.request.shard);
    // The overflow figure of a home starts at the page's and follows how its answers come.
    boolean quick = dispatch.outcome == Outcome.COMPLETED && tookUs <= SLOW * typical;
    overflow = overflowAfter(overflow, quick, 0);
    srv.spilloverThreshold =
        overflowAfter(Math.min(OVERFLOW_START, srv.spilloverThreshold), quick, OVERFLOW_LEAST);
    switch (dispatch.outcome) {
      case COMPLETED -> {
        srv.lastResponseAt = now;
        // Up again, as it seems, where nothing sent to it came through for longer than a lone
        // refusal lasts.
        if (dispatch.sentAt - shortestTarget * HALF >= srv.unreachableSince) {
          started(srv, now);
        }
        srv.unreachableSince = Long.MAX_VALUE;
        typical += (tookUs - typical) * LEARN;
        recent +=
            (tookUs - recent)
                * Math.max(LEARN, 1 - Math.exp((recentAt - now) / (double) EVIDENCE_US));
        recentAt = now;
        if (!dispatch.timedOut) {
          service += (tookUs < service ? -1 : LOW / (1 - LOW)) * service * LEARN;
          tell(
              srv,
              waiting() && tookUs >= dispatch.request.query.queryClass.latencyObjectiveUs() * HALF);
          shard.limitPerReplica += 1.0 / Math.max(1, fleet.replicas(dispatch.request.shard).size());
          srv.failureEvidence =
              srv.ejected ? DOUBT_BOUND * HALF : Math.max(0, srv.failureEvidence + DOUBT_GOOD);
          srv.ejected = false;
          srv.reinstatementDelay = 0;
        }
      }
      case OVERLOADED -> {
        halve(shard);
        tell(srv, true);
      }
      case TIMED_OUT -> {
        overdue(dispatch);
        halve(shard);
      }
      case ERROR -> doubt(srv, DOUBT_BAD);
      // A lone connection ends for many a reason: all that was out on it is one fault, no sign of a
      // restart.
      case PROTOCOL_ERROR, CONNECTION_LOST, UNREACHABLE -> {
        learnSilence(dispatch);
        doubt(srv, srv.firstFault(now) && !reaped(dispatch) ? DOUBT_BAD : 0);
        if (dispatch.outcome == Outcome.UNREACHABLE) {
          idleLoss *= HALF;
          srv.unreachableSince = Math.min(srv.unreachableSince, now);
          // Sick so, with parts out when it broke: something brought it down.
          if (srv.ejected && now - srv.connectionLostAt < EVIDENCE_US) {
            breaks.add(now, CANARY_TARGETS * shortestTarget);
          }
        }
        srv.connectionLostAt =
            dispatch.outcome == Outcome.CONNECTION_LOST ? now : Long.MIN_VALUE / 2;
      }
      default -> {}
    }
  }

  private static double overflowAfter(double overflow, boolean quick, double least) {
    return quick
        ? Math.min(OVERFLOW_START, overflow + LEARN_FAST)
        : Math.max(least, overflow * HALF);
  }

  private void overdue(Attempt dispatch) {
    if (!dispatch.timedOut) {
      dispatch.timedOut = true;
      dispatch.server.lastTimedOutSentAt =
          Math.max(dispatch.server.lastTimedOutSentAt, dispatch.sentAt);
      learnSilence(dispatch);
      if (!reaped(dispatch)) {
        tell(dispatch.server, waiting());
        doubt(dispatch.server, DOUBT_BAD);
        if (overload()) {
          halve(shard(dispatch.request.shard));
        }
      }
    }
  }

  /** While answers wait, a part out for long tells of the queue; a failed connection never does. */
  private void learnSilence(Attempt dispatch) {
    if (!waiting() && dispatch.outcome != Outcome.PROTOCOL_ERROR
        || dispatch.outcome == Outcome.UNREACHABLE) {
      idleLoss += dispatch.onIdleConnection ? (1 - idleLoss) * LEARN_FAST : 0;
      busyLoss += dispatch.onIdleConnection ? 0 : (1 - busyLoss) * LEARN_FAST;
    }
  }

  /**
   * Whether a dispatch may be out on a connection dropped unseen: one without recent use, while
   * silence on such outweighs silence on others. They are closed before use then; silence tells
   * nothing of the server.
   */
  private boolean reaped(Attempt dispatch) {
    return dispatch.onIdleConnection && idleLoss >= SLOW * BAD_SOUND && idleLoss >= SLOW * busyLoss;
  }

  private void halve(ConcurrencyLimit shard) {
    shard.limitPerReplica *= HALF;
    shard.decreasedAt = now;
  }

  private void doubt(ShardServer srv, double evidence) {
    srv.failureEvidence = Math.min(DOUBT_BOUND, srv.failureEvidence + evidence);
    if (srv.failureEvidence >= DOUBT_BOUND && evidence > 0) {
      srv.ejected = true;
      long most = shortestTarget << TRIAL_DOUBLINGS;
      srv.reinstatementDelay =
          Math.min(Math.max(2 * srv.reinstatementDelay, shortestTarget / 2), most);
      srv.reinstatementAt = now + srv.reinstatementDelay;
    }
  }

  /** A server tells once a second of congestion, or of none, so that one is not the fleet. */
  private void tell(ShardServer srv, boolean congested) {
    if (congested && now - srv.congestedAt >= TROUBLE_US || now - srv.sampledAt >= TROUBLE_US) {
      srv.sampledAt = now;
      srv.congestedAt = congested ? now : srv.congestedAt;
      congestion +=
          ((congested ? 1 : 0) - congestion)
              / Math.max(1 / CONGESTION_FAST, Math.min(1 / LEARN, fleet.size()));
    }
  }

  private boolean overload() {
    return congestion >= OVERLOADED_SHARE;
  }

  /**
   * Whether the answers that come have waited: a queue makes all answers slow, silence only some
   * missing.
   */
  private boolean waiting() {
    return recent >= Math.min(SLOW * service, shortestTarget * PATIENCE_LEAST);
  }

  // ---- what is wanted

  private void review() {
    for (Query scan : workQueue.take(now)) {
      if (scan.verdict != Verdict.OPEN) {
        continue;
      }
      scan.requests.forEach(part -> part.attempts.forEach(this::watch));
      if (!scan.selected) {
        scan.requests.sort(
            Comparator.comparingDouble((ShardRequest p) -> -p.weight)
                .thenComparingInt(p -> p.shard));
      }
      if (!scan.selected && !awaitingCanary(scan)) {
        select(scan);
      }
      if (scan.verdict == Verdict.OPEN) {
        (scan.selected ? scan.requests : scan.requests.subList(0, 1)).forEach(this::pursue);
        conclude(scan);
      }
    }
  }

  private void watch(Attempt dispatch) {
    if (dispatch.inFlight && now >= dispatch.timeoutAt) {
      overdue(dispatch);
    } else if (dispatch.inFlight) {
      workQueue.at(dispatch.timeoutAt, dispatch.request.query);
    }
  }

  /** The design: the ranked parts that pass their threshold go, the others stay unsent. */
  private void select(Query scan) {
    scan.selected = true;
    List<ShardRequest> ranked = scan.requests;
    // Not even a quick answer would be back in time: nothing is sent for it.
    if (ranked.isEmpty() || scan.deadline - now <= early(scan) + service) {
      giveUp(scan);
      return;
    }
    boolean calm = !sparse() || congestion < OVERLOADED_SHARE * HALF;
    if (scan.queryClass.minimumWeight() >= scan.queryClass.completeWeight()
        || calm
            && ranked.stream()
                .map(p -> shard(p.shard))
                .noneMatch(
                    shard ->
                        shard.limitPerReplica < CAP_START
                            || now - shard.decreasedAt < TROUBLE_US)) {
      return;
    }
    int most = ranked.size();
    // T falls from all parts to none as congestion grows; it starts at half of them.
    int top =
        (int) Math.ceil(most * Math.min(1, Math.max(0, 2 - 2 * congestion / OVERLOADED_SHARE)));
    double weight = 0;
    for (int rank = 0; rank < most; rank++) {
      ShardRequest part = ranked.get(rank);
      // Exception: what the floor needs counts as top, as an answer from less may not be given.
      top = weight < scan.queryClass.minimumWeight() ? Math.max(top, rank + 1) : top;
      weight += part.weight;
      List<ShardServer> holders = fleet.replicas(part.shard);
      double cap = shard(part.shard).limitPerReplica * holders.size();
      double fall = rank < top ? 0 : (rank - top + 1.0) / (most - top);
      double threshold = cap * (1 - fall * (1 - IDLE));
      double load = holders.stream().mapToInt(srv -> srv.inFlight.size()).sum();
      if (sparse() && rank >= top) {
        load = Math.max(load, cap * Math.min(1, congestion / OVERLOADED_SHARE));
      }
      if (part.stage == Stage.PENDING && (rank < top ? load > cap : load >= threshold)) {
        part.stage = Stage.SKIPPED;
      } else if (part.stage == Stage.PENDING) {
        first(part);
      }
    }
  }

  /**
   * Exception: among so many gatherers that our share of a replica's cap, as two would have it, is
   * under one part, our own parts tell nothing of its load. Past T it is taken as loaded as our
   * latest dispatches were congested, and a refused part goes on, as it was none of our parts that
   * filled the server.
   */
  private boolean sparse() {
    return settings.routers() > 2 * CAP_START;
  }

  /**
   * Exception: while connections broke of late with parts out, a scan's heaviest part goes first
   * and alone, the others once it is in, or out for twice the typical time. A scan that brings its
   * servers down reaches one of them so, not all. Costs sound scans the canary's time; not while
   * overload is seen.
   */
  private boolean awaitingCanary(Query scan) {
    int broken = breaks.count(now, CANARY_TARGETS * shortestTarget);
    ShardRequest canary = scan.requests.size() < 2 ? null : scan.requests.get(0);
    if (broken < FATAL
        || overload()
        || canary == null
        || scan.stage > 0
        || scan.deadline - now <= margin
        || canary.stage == Stage.ANSWERED) {
      return false;
    }
    long sentAt = canary.attempts.isEmpty() ? now : canary.attempts.get(0).sentAt;
    long until = sentAt + Math.round(Math.min(patience(scan), SLOW * typical));
    workQueue.at(until, scan);
    return scan.lostConnections > 0 || now < until;
  }

  private ConcurrencyLimit shard(int number) {
    return shards.computeIfAbsent(number, absent -> new ConcurrencyLimit(CAP_START));
  }

  /** First and further dispatches of a part that is still wanted. */
  private void pursue(ShardRequest part) {
    if (part.stage == Stage.PENDING) {
      first(part);
    } else if (part.stage == Stage.SENT
        && part.attempts.stream().allMatch(d -> !d.inFlight || d.timedOut || straggles(d))) {
      if (!furtherEver(part)) {
        part.stage = part.inFlight() == 0 ? Stage.FAILED : part.stage;
      } else if ((!overload() || part.neverReachedServer() || sparse() && !part.mayHaveExecuted())
          && budgetLeft()) {
        ShardServer srv = place(part);
        // A copy is worth its work only off a sick server, for one of the last parts, or out for
        // very long.
        long longAgo = now - Math.round(patience(part.query) * OUT_LONG);
        boolean sick =
            part.attempts.stream()
                .allMatch(
                    d ->
                        !d.inFlight
                            || d.server.ejected
                            || d.sentAt <= longAgo
                            || straggles(d)
                            || reaped(d));
        if (srv != null && (part.inFlight() == 0 || settings.limits().hedging() && sick)) {
          send(part, srv);
        } else if (srv != null && !srv.ejected) {
          // One dispatch out at a time: it is called back from a sick server, and sent on once
          // ended.
          part.attempts.stream().filter(d -> d.server.ejected).forEach(this::unwant);
        }
      }
      workQueue.at(now + patience(part.query) / 4, part.query);
    }
  }

  /** One of the last parts that a scan waits for, out for the least patience. */
  private boolean straggles(Attempt dispatch) {
    Query scan = dispatch.request.query;
    long at = dispatch.sentAt + Math.round(scan.queryClass.latencyObjectiveUs() * PATIENCE_LEAST);
    workQueue.at(now < at ? at : Long.MAX_VALUE, scan);
    return now >= at
        && settings.limits().hedging()
        && scan.remaining <= Math.max(1, scan.requests.size() * IDLE);
  }

  private void first(ShardRequest part) {
    boolean late =
        now >= part.query.objectiveAt && (overload() || part.query.queryClass.lateWeight() <= 0);
    if (fleet.replicas(part.shard).isEmpty() || late) {
      part.stage = Stage.FAILED;
      return;
    }
    ShardServer srv = place(part);
    if (srv == null) {
      workQueue.at(now + patience(part.query) / 4, part.query);
    } else {
      send(part, srv);
      part.stage = Stage.SENT;
    }
  }

  /** Whether the part may get a further dispatch at all, now or later. */
  private boolean furtherEver(ShardRequest part) {
    int most = Math.min(settings.limits().maxAttempts(), 1 + FURTHER_MOST);
    if (part.attempts.size() >= most || now >= part.query.objectiveAt) {
      return false;
    }
    if (part.query.queryClass.idempotency() != Idempotency.WITH_KEY || !part.mayHaveExecuted()) {
      return part.query.queryClass.idempotency() == Idempotency.IDEMPOTENT
          || !part.mayHaveExecuted();
    }
    long windowEnd = now + settings.tickUs() - part.query.queryClass.idempotencyWindowUs();
    return part.attempts.stream()
        .filter(d -> d.inFlight || !d.outcome.neverExecuted)
        .allMatch(d -> d.sentAt > windowEnd);
  }

  /** Rule 6, a tick longer than its span to stay on the safe side. */
  private boolean budgetLeft() {
    Settings.Rules rules = settings.rules();
    return rules.retryBudgetWindowUs() <= 0
        || further.count(now, rules.retryBudgetWindowUs() + settings.tickUs()) + 1
            <= rules.retryBudgetFloor()
                + rules.retryBudgetRatio() * taken.count(now, rules.retryBudgetWindowUs());
  }

  /** The replica for the next dispatch of a part, or null where none can take it now. */
  private ShardServer place(ShardRequest part) {
    String salt = (part.key.isEmpty() ? part.query.id : part.key) + '/' + part.shard + '/';
    List<ShardServer> open =
        fleet.replicas(part.shard).stream()
            .filter(
                srv ->
                    part.attempts.stream().noneMatch(d -> d.inFlight && d.server == srv)
                        && coldRoom(srv))
            .sorted(
                Comparator.comparingDouble(
                    (ShardServer srv) -> -SeededRandom.plainHash(salt + srv.id)))
            .toList();
    if (open.isEmpty()) {
      return null;
    }
    ShardServer home = open.get(0);
    boolean trial =
        home.ejected
            && now >= home.reinstatementAt
            && home.inFlight.isEmpty()
            && part.attempts.isEmpty();
    if (trial && part.query.queryClass.idempotency() != Idempotency.NON_IDEMPOTENT) {
      return home;
    }
    List<ShardServer> fresh =
        open.stream()
            .filter(srv -> part.attempts.stream().noneMatch(d -> d.server == srv))
            .toList();
    List<ShardServer> sound =
        (fresh.isEmpty() ? open : fresh).stream().filter(srv -> !srv.ejected).toList();
    List<ShardServer> pick = !sound.isEmpty() ? sound : fresh.isEmpty() ? open : fresh;
    if (pick.get(0) == home && held(home) <= Math.min(overflow, home.spilloverThreshold)) {
      return home;
    }
    return pick.stream().min(Comparator.comparingDouble(this::held)).orElseThrow();
  }

  /**
   * Our own parts at a server, by call where parts share calls. Exceptions: a further part of a
   * call counts half, as it queues behind the first; an overdue part counts as a full home, as it
   * tells of a server that stands still.
   */
  private double held(ShardServer srv) {
    double held = 0;
    long last = -1;
    for (Attempt dispatch : srv.inFlight) {
      held += dispatch.batch != last ? 1 : CALL_MORE;
      held += dispatch.timedOut ? OVERFLOW_START : 0;
      last = dispatch.batch;
    }
    return held;
  }

  /**
   * Rule 4. A warm server is taken to carry what one core can, or as many as its told size; a cold
   * one the cold share of that, rising evenly. Ours is one part of as many as there are gatherers,
   * over any window. Where that is under one call, the fleet's calls go round by rank, each turn
   * lasting until the next: chance alone lets a fleet exceed its budget, and so does a restarted
   * gatherer, which forgot whether it sent. So only turns that begin after we were told count.
   */
  private boolean coldRoom(ShardServer srv) {
    Settings.Rules rules = settings.rules();
    long age = now - srv.startedAt;
    if (srv.startedAt == 0 || age >= rules.slowStartUs()) {
      return true;
    }
    // The window that ends now began when less was allowed.
    double then = Math.max(0, age - rules.overloadWindowUs()) / (double) rules.slowStartUs();
    double fair =
        (rules.slowStartInitialShare() + (1 - rules.slowStartInitialShare()) * then)
            * srv.slowStartRate
            / settings.routers();
    return srv.slowStartSends.count(now, rules.overloadWindowUs()) + 1 <= Math.max(1, fair)
        && (fair >= 1 || coldTurn(srv) > srv.slowStartSlot);
  }

  /**
   * The number of our turn, by the calls that the fleet has been allowed since the start. When
   * calls come is chance: the mean is kept so low that four deviations still lie under the budget
   * and two of its own.
   */
  private long coldTurn(ShardServer srv) {
    Settings.Rules rules = settings.rules();
    double age = Math.max(0, now - srv.startedAt);
    double grown =
        rules.slowStartInitialShare() * age
            + (1 - rules.slowStartInitialShare()) * age * age / 2 / rules.slowStartUs();
    double least = Math.max(SUM_SLACK, rules.slowStartInitialShare() * srv.slowStartRate);
    double low =
        Math.sqrt(Math.pow(Math.sqrt(least) + 1, 2) + 1 + CHANCE * CHANCE / 4) - CHANCE / 2;
    double calls =
        grown / rules.overloadWindowUs() * srv.slowStartRate * low * low / Math.max(1, least);
    return (long) Math.floor(calls / settings.routers() - srv.slowStartPhase);
  }

  private void started(ShardServer srv, long at) {
    Settings.Rules rules = settings.rules();
    double unit =
        Math.max(service, shortestTarget * TYPICAL_START) + settings.layout().batchOverheadUs();
    srv.startedAt = at;
    srv.slowStartRate =
        rules.overloadMultiple() * Math.max(1, srv.capacity) * rules.overloadWindowUs() / unit;
    double first =
        SeededRandom.mixedHash(srv.id) + settings.routerIndex() / (double) settings.routers();
    srv.slowStartPhase =
        settings.routerIndex() < 0 ? chance.nextDouble() : first - Math.floor(first);
    srv.slowStartSlot = coldTurn(srv);
  }

  private void send(ShardRequest part, ShardServer srv) {
    if (srv.batchAt != now || srv.batchSize >= settings.layout().maxBatchSize()) {
      srv.batchAt = now;
      srv.batch = ++calls;
      srv.batchSize = 0;
    }
    srv.batchSize++;
    Query scan = part.query;
    Attempt dispatch = new Attempt(part, part.attempts.size(), srv, now, srv.batch);
    dispatch.timeoutAt = now + patience(scan);
    dispatch.onIdleConnection =
        srv.lastResponseAt > 0 && now - srv.lastResponseAt >= shortestTarget * HALF;
    // Nothing heard since an overdue part was sent: its connection may have fallen silent, not its
    // server.
    dispatch.onNewConnection =
        srv.lastTimedOutSentAt >= srv.lastResponseAt
            || reaped(dispatch)
                && (scan.queryClass.idempotency() != Idempotency.IDEMPOTENT
                    || chance.nextDouble() >= LEARN);
    dispatch.onIdleConnection &= !dispatch.onNewConnection;
    srv.lastTimedOutSentAt = -1;
    part.attempts.add(dispatch);
    // Where it could not be called back, a dispatch has to end by itself before the next may go.
    boolean one =
        !settings.limits().hedging() && !settings.limits().cancellation() && furtherEver(part);
    dispatch.deadline =
        one && dispatch.timeoutAt < scan.objectiveAt
            ? dispatch.timeoutAt
            : scan.queryClass.lateWeight() > 0 || now >= scan.objectiveAt
                ? scan.deadline
                : scan.objectiveAt;
    if (dispatch.number > 0) {
      further.add(now, settings.rules().retryBudgetWindowUs() + settings.tickUs());
    }
    srv.slowStartSends.add(now, settings.rules().overloadWindowUs());
    srv.slowStartSlot = srv.startedAt == 0 ? 0 : coldTurn(srv);
    srv.inFlight.add(dispatch);
    unsettled.add(dispatch);
    workQueue.at(dispatch.timeoutAt, scan);
  }

  private long patience(Query scan) {
    double least = scan.queryClass.latencyObjectiveUs() * PATIENCE_LEAST;
    double most = scan.queryClass.latencyObjectiveUs() * PATIENCE_MOST;
    return Math.round(Math.min(most, Math.max(least, typical * PATIENCE_TYPICAL)));
  }

  /** When and how a scan ends. */
  private void conclude(Query scan) {
    QueryClass type = scan.queryClass;
    double in = 0;
    double pending = 0;
    boolean all = true;
    boolean none = true;
    scan.remaining = 0;
    for (ShardRequest part : scan.requests) {
      if (part.queryStage == scan.stage) {
        none = false;
        in += part.stage == Stage.ANSWERED ? part.weight : 0;
        pending += part.stage == Stage.PENDING || part.stage == Stage.SENT ? part.weight : 0;
        all &= part.stage == Stage.ANSWERED;
        scan.remaining += part.stage == Stage.PENDING || part.stage == Stage.SENT ? 1 : 0;
      }
    }
    boolean first = scan.stage == 0;
    double floor =
        type.minimumWeight() < type.completeWeight()
            ? type.minimumWeight()
            : first ? type.completeWeight() : 1;
    boolean whole =
        first ? in >= type.completeWeight() - SUM_SLACK : all && scan.firstStageComplete;
    boolean enough = in >= floor - SUM_SLACK;
    long reserve =
        scan.hasSecondStage() ? Math.round(type.latencyObjectiveUs() * STEP_RESERVE) : early(scan);
    long answerAt = scan.objectiveAt - reserve;
    long endAt = scan.deadline - early(scan);
    // Dispatches that broke and none in: the scan itself may bring its servers down.
    boolean fatal = scan.lostConnections >= FATAL && first && in <= 0;
    if (none && now < endAt) {
      workQueue.at(endAt, scan);
    } else if (whole && !none) {
      close(scan, Verdict.COMPLETE);
    } else if (enough && (pending <= 0 || all || now >= answerAt || now >= endAt)) {
      close(scan, Verdict.PARTIAL);
    } else if (fatal
        || in + pending < floor - SUM_SLACK
        || now >= endAt
        || type.lateWeight() <= 0 && now >= scan.objectiveAt) {
      giveUp(scan);
    } else {
      workQueue.at(
          now < answerAt ? answerAt : now < scan.objectiveAt ? scan.objectiveAt : endAt, scan);
    }
  }

  /** A throttling reply says that trying again is harmless. */
  private void giveUp(Query scan) {
    boolean harmless =
        scan.queryClass.idempotency() == Idempotency.IDEMPOTENT
            || scan.requests.stream().noneMatch(ShardRequest::mayHaveExecuted);
    close(scan, harmless ? Verdict.THROTTLED : Verdict.FAILED);
  }

  private void close(Query scan, Verdict verdict) {
    scan.verdict = verdict;
    decided.add(scan);
    scan.requests.forEach(this::drop);
  }

  /** Nothing of the part is wanted any longer. */
  private void drop(ShardRequest part) {
    part.stage = part.stage == Stage.ANSWERED ? Stage.ANSWERED : Stage.FAILED;
    part.attempts.stream().filter(d -> d.inFlight).forEach(this::unwant);
    part.attempts.removeIf(d -> d.outcome == Outcome.NOT_SENT && !d.sent);
  }

  private void unwant(Attempt dispatch) {
    dispatch.wanted = false;
    unsettled.add(dispatch);
    if (!dispatch.sent && dispatch.inFlight) {
      dispatch.complete(Outcome.NOT_SENT);
    }
  }

  // ---- the one place that turns what is wanted into actions

  private void settle() {
    decided.forEach(this::announce);
    decided.clear();
    long wakeAt = workQueue.next();
    if (settings.limits().watchOnRequest()) {
      boolean silent =
          following && !followAnswered && now >= askAt + settings.rules().pollIntervalUs();
      if (!following && now >= askAt || silent) {
        actions.add(new Action.WatchEndpoints(true));
        following = true;
        followAnswered = false;
        askAt = now;
        calledAt = now;
      }
      wakeAt =
          Math.min(
              wakeAt,
              !following
                  ? askAt
                  : followAnswered ? Long.MAX_VALUE : askAt + settings.rules().pollIntervalUs());
    }
    for (Attempt dispatch : unsettled) {
      if (dispatch.inFlight && dispatch.wanted && !dispatch.sent) {
        dispatch.sent = true;
        if (dispatch.onNewConnection) {
          actions.add(new Action.RetireConnections(dispatch.server.id));
        }
        actions.add(
            new Action.SendAttempt(dispatch.request.id, dispatch.server.id, dispatch.deadline));
      } else if (dispatch.inFlight
          && !dispatch.wanted
          && !dispatch.cancelled
          && settings.limits().cancellation()) {
        dispatch.cancelled = true;
        actions.add(new Action.CancelAttempt(dispatch.request.id, dispatch.number));
      }
    }
    unsettled.clear();
    if (wakeAt < armedAt) {
      armedAt = Math.max(wakeAt, now + settings.tickUs());
      actions.add(new Action.SetTimer(armedAt - now, ++timers));
    }
  }

  private void announce(Query scan) {
    boolean whole = scan.verdict == Verdict.COMPLETE;
    switch (scan.verdict) {
      case COMPLETE, PARTIAL -> actions.add(new Action.Respond(scan.id, whole));
      case THROTTLED ->
          actions.add(
              new Action.Throttle(
                  scan.id,
                  settings.limits().retryAfter()
                      ? Math.min(shortestTarget, settings.limits().maxRetryAfterUs())
                      : 0));
      case FAILED -> actions.add(new Action.Fail(scan.id));
      default -> {}
    }
    if ((whole || scan.verdict == Verdict.PARTIAL) && scan.hasSecondStage()) {
      scan.stage++;
      scan.firstStageComplete = whole;
      scan.verdict = Verdict.OPEN;
      workQueue.at(scan.deadline - early(scan), scan);
    } else {
      scans.remove(scan.id);
      byNumber.remove(scan.number);
      scan.requests.forEach(this::forget);
    }
  }
}
