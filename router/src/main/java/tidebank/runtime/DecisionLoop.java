package tidebank.runtime;

import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.capture.DecisionLog;
import tidebank.metrics.Counters;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Settings;
import tidebank.policy.RoutingPolicy;

/**
 * Collects the events of one pass of the event loop, hands them to the decisions in one round, and
 * has the resulting actions executed in order. Confined to the event loop.
 */
final class DecisionLoop {
  private static final Logger LOG = LoggerFactory.getLogger(DecisionLoop.class);

  private final Settings settings;
  private final Clock clock;
  private final EventLoop loop;
  private final Counters counters;
  private final PendingQueries queries;
  private final KnownEndpoints endpoints;
  private final ActionExecutor actions;
  private final ReadDelayEstimator readDelay;
  private final EventLoopStallLogger stalls;
  private final Runnable endPass = this::endPass;
  private List<Event> events = new ArrayList<>();

  /** Whether {@link #endPass} waits to run behind what the event loop reads now. */
  private boolean passActive;

  private RoutingPolicy policy;
  private long seed;
  private DecisionLog log = DecisionLog.NONE;
  private Runnable whenIdle;

  DecisionLoop(
      Settings settings,
      long seed,
      Clock clock,
      EventLoop loop,
      Counters counters,
      PendingQueries queries,
      KnownEndpoints endpoints,
      ActionExecutor actions) {
    this.settings = settings;
    this.seed = seed;
    this.clock = clock;
    this.loop = loop;
    this.counters = counters;
    this.queries = queries;
    this.endpoints = endpoints;
    this.actions = actions;
    this.policy = new RoutingPolicy(settings, seed);
    this.readDelay = new ReadDelayEstimator(settings.tickUs());
    this.stalls = new EventLoopStallLogger(counters);
  }

  /** Records every round from now on. */
  void recordTo(DecisionLog wanted) {
    log = wanted;
    log.policyStarted(settings, seed);
  }

  /** Queues an event for the round at the end of the present pass. */
  void enqueue(Event event) {
    events.add(event);
    beginPass();
  }

  /** Runs something once no query is pending and no round is due. */
  void whenIdle(Runnable then) {
    whenIdle = then;
    runIfIdle();
  }

  /** Returns the earliest moment at which bytes that are read now may have arrived. */
  long arrivedSince() {
    beginPass();
    return readDelay.arrivedSince();
  }

  /** Returns the number of the present pass of the event loop, from 1. */
  long passNumber() {
    beginPass();
    return readDelay.number();
  }

  private void beginPass() {
    if (!passActive) {
      passActive = true;
      readDelay.active(clock.now());
      loop.execute(endPass);
    }
  }

  private void endPass() {
    passActive = false;
    if (!events.isEmpty()) {
      runRound();
    }
    long tookUs = readDelay.ended(clock.now());
    if (!queries.isEmpty()) {
      stalls.pass(tookUs);
    }
    runIfIdle();
  }

  private void runRound() {
    List<Event> round = events;
    events = new ArrayList<>();
    counters.add("turns");
    long now = clock.now();
    try {
      List<Action> wanted = policy.on(now, round);
      log.roundDecided(now, round, wanted);
      for (Action action : wanted) {
        actions.execute(action);
      }
      actions.flush();
    } catch (RuntimeException | VirtualMachineError fault) {
      LOG.error("decision round failed, all pending queries fail: events={}", round.size(), fault);
      counters.add("turns.failed");
      log.roundFailed(now, round, fault);
      startOver();
    }
  }

  /**
   * Replaces the decisions' state, which may be half changed, by that after a restart with the
   * endpoints known now. Queries received meanwhile stay queued.
   */
  private void startOver() {
    actions.failAll();
    events.removeIf(
        event ->
            !(event instanceof Event.QueryReceived || event instanceof Event.ShardRequestReceived));
    policy = new RoutingPolicy(settings, ++seed);
    log.policyStarted(settings, seed);
    events.add(0, endpoints.asCachedList());
    enqueue(new Event.TimerFired(0));
  }

  private void runIfIdle() {
    if (whenIdle != null && queries.isEmpty() && !passActive) {
      Runnable then = whenIdle;
      whenIdle = null;
      then.run();
    }
  }
}
