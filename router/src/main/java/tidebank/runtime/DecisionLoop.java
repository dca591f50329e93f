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
 * Collects the events of one event loop pass, passes them to the routing policy in one decision
 * round and has the resulting actions executed in order. Confined to the event loop.
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
  private final EventLoopStallLogger stallLogger;
  private final ClientInputStatistics clientInput = new ClientInputStatistics();
  private final Runnable endPass = this::endPass;
  private List<Event> events = new ArrayList<>();

  /** Whether {@link #endPass} is queued to run after the reads of the current pass. */
  private boolean passActive;

  private RoutingPolicy policy;
  private long seed;
  private DecisionLog log = DecisionLog.NONE;
  private Runnable idleTask;

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
    this.stallLogger = new EventLoopStallLogger(counters);
  }

  /** Records the running policy and all further decision rounds to this log. */
  void setDecisionLog(DecisionLog newLog) {
    log = newLog;
    log.policyStarted(settings, seed);
  }

  /** Queues an event for the decision round at the end of the current pass. */
  void enqueue(Event event) {
    events.add(event);
    beginPass();
  }

  /** Runs a task once no query is pending and no decision round is due. */
  void runWhenIdle(Runnable task) {
    idleTask = task;
    runIfIdle();
  }

  /** Returns the earliest time at which bytes read in the current pass may have arrived. */
  long earliestArrivalTime() {
    beginPass();
    return readDelay.earliestArrivalTime();
  }

  /** Returns the number of the current event loop pass, from 1. */
  long passNumber() {
    beginPass();
    return readDelay.passNumber();
  }

  /** Records that a read from a client's connection returned this many bytes. */
  void clientInputRead(int byteCount) {
    beginPass();
    clientInput.recordRead(byteCount);
  }

  /** Records that an HTTP message of a client, or a piece of one, was parsed. */
  void clientMessageParsed() {
    beginPass();
    clientInput.recordMessage();
  }

  private void beginPass() {
    if (!passActive) {
      passActive = true;
      readDelay.beginPassIfNeeded(clock.now());
      loop.execute(endPass);
    }
  }

  private void endPass() {
    passActive = false;
    int eventCount = events.size();
    if (eventCount > 0) {
      runRound();
    }
    long durationUs = readDelay.endPass(clock.now());
    if (!queries.isEmpty() || clientInput.hasReads()) {
      stallLogger.recordPass(durationUs, eventCount, clientInput);
    }
    clientInput.reset();
    runIfIdle();
  }

  private void runRound() {
    List<Event> round = events;
    events = new ArrayList<>();
    counters.increment("turns");
    long now = clock.now();
    try {
      List<Action> decided = policy.runRound(now, round);
      log.roundDecided(now, round, decided);
      for (Action action : decided) {
        actions.execute(action);
      }
      actions.flush();
    } catch (RuntimeException | VirtualMachineError fault) {
      LOG.error(
          "decision round failed, failing all pending queries: events={}", round.size(), fault);
      counters.increment("turns.failed");
      log.roundFailed(now, round, fault);
      restartPolicy();
    }
  }

  /**
   * Replaces the policy, as the failed round may have left its state inconsistent, by a new one
   * with the endpoints known now. Queries received since the round began stay queued.
   */
  private void restartPolicy() {
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
    if (idleTask != null && queries.isEmpty() && !passActive) {
      Runnable task = idleTask;
      idleTask = null;
      task.run();
    }
  }
}
