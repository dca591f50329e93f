package tidebank.runtime;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import tidebank.capture.DecisionLog;
import tidebank.metrics.Counters;
import tidebank.model.Event;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;
import tidebank.model.Settings;
import tidebank.runtime.BackendPort.ResolvedEndpoint;

/**
 * Connects the clients, the shard servers and discovery with the routing policy: turns what happens
 * into events for the policy and has its actions executed. Confined to the event loop.
 *
 * <p>The state is in {@link PendingQueries} and {@link KnownEndpoints}; {@link DecisionLoop} runs
 * the decision rounds and {@link ActionExecutor} executes the actions.
 */
public final class PolicyExecutor {
  private final Clock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final PendingQueries queries;
  private final KnownEndpoints endpoints = new KnownEndpoints();
  private final ActionExecutor actions;
  private final DecisionLoop decisions;
  private BackendPort backend;

  /** Creates an executor with a policy of this seed; {@link #connect} completes it. */
  public PolicyExecutor(
      Settings settings,
      long seed,
      Clock clock,
      TimerQueue timers,
      EventLoop loop,
      Counters counters) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.queries = new PendingQueries(settings);
    this.actions = new ActionExecutor(queries, clock, timers, counters, this::enqueue);
    this.decisions =
        new DecisionLoop(settings, seed, clock, loop, counters, queries, endpoints, actions);
  }

  /** Records all further decision rounds to this log; called before the first one. */
  public void setDecisionLog(DecisionLog log) {
    decisions.setDecisionLog(log);
  }

  /** Sets the clients that actions are sent through; called once, before the first event. */
  public void connect(BackendPort backend, DiscoveryPort discovery) {
    this.backend = backend;
    actions.connect(backend, discovery);
  }

  /**
   * Accepts a query and passes its final response to {@code callback}. Returns false, without
   * accepting it, if the limit on pending queries and shard requests would be exceeded.
   */
  public boolean submitQuery(QueryRequest request, ResponseCallback callback) {
    if (!queries.hasCapacity(request)) {
      return false;
    }
    // The text becomes part of a counter's name and must not change.
    counters.checkInvariant(!isPending(request), "an id is held once");
    PendingQuery query = queries.add(request, callback, clock.now());
    enqueue(
        new Event.QueryReceived(
            request.id(),
            query.number(),
            request.queryClass(),
            request.tenant(),
            request.receivedAt(),
            request.deadline(),
            request.clientRetry(),
            request.key()));
    for (PendingShardRequest shardRequest : query.shardRequests()) {
      QueryRequest.ShardTarget target = shardRequest.target();
      enqueue(
          new Event.ShardRequestReceived(
              shardRequest.id(),
              query.number(),
              target.shard(),
              target.weight(),
              target.routingKey()));
    }
    return true;
  }

  /** Returns whether a query with this id may have been executed and must not be executed again. */
  public boolean mayHaveExecuted(QueryRequest request) {
    return queries.mayHaveExecuted(request);
  }

  /** Returns whether a query with this id is open or still has an attempt in flight. */
  public boolean isPending(QueryRequest request) {
    return queries.contains(request);
  }

  /** Describes the progress of a query for the log, as {@code key=value} pairs. */
  public String describeProgress(String id) {
    PendingQuery query = queries.find(id);
    return query == null ? "pending_shards=0" : query.describeProgress(clock.now());
  }

  /** Closes a query without a response, as its client has disconnected. */
  public void clientDisconnected(String id) {
    PendingQuery query = queries.find(id);
    if (query != null) {
      counters.increment("scans.lapsed");
      queries.close(query);
      enqueue(new Event.ClientDisconnected(id));
    }
  }

  /**
   * Closes a query without calling its callback, unless an attempt of it was created. Returns
   * whether this call closed the query.
   */
  public boolean withdrawQuery(String id) {
    PendingQuery query = queries.find(id);
    if (query == null || query.hasAttempts()) {
      return false;
    }
    counters.increment("scans.throttled");
    counters.increment("scans.withdrawn");
    queries.close(query);
    enqueue(new Event.ClientDisconnected(id));
    return true;
  }

  /**
   * Closes the query if its client has disconnected, which also drops attempts that are not written
   * yet. Called before the first byte of an attempt is written: the poll before the decision may be
   * long past if the JVM was still loading code or the process was stopped in between.
   */
  public void checkClientBeforeWrite(AttemptRequest attempt) {
    if (attempt.shardRequest().query().closeIfClientDisconnected(clock.now())) {
      counters.increment("scans.lapsed-before-writing");
    }
  }

  /**
   * Handles the outcome of an attempt; called exactly once for each attempt.
   *
   * @param value the value that the server returned, or null unless the attempt was successful
   * @param loadReport the server's load report by metric name, or empty
   */
  public void attemptCompleted(
      AttemptRequest attempt, Outcome outcome, byte[] value, Map<String, Double> loadReport) {
    // The text becomes part of a counter's name and must not change.
    if (!counters.checkInvariant(!attempt.isCompleted(), "a dispatch ends once")) {
      return;
    }
    attempt.markCompleted(outcome);
    PendingShardRequest shardRequest = attempt.shardRequest();
    shardRequest.offerValue(value);
    counters.increment(CounterNames.attempts(outcome));
    enqueue(
        new Event.AttemptCompleted(
            shardRequest.id(),
            attempt.index(),
            outcome,
            clock.now() - attempt.createdAt(),
            shardRequest.isClosed(),
            loadReport));
    queries.removeIfDone(shardRequest);
  }

  /** Handles the outcome of a health check. */
  public void healthCheckCompleted(
      String server, Outcome outcome, long durationUs, Map<String, Double> loadReport) {
    counters.increment(CounterNames.healthChecks(outcome));
    enqueue(new Event.HealthCheckCompleted(server, outcome, durationUs, loadReport));
  }

  /** Handles an endpoint list, a change of it, or the end of its watch. */
  public void endpointListReceived(ListUpdate update, List<ResolvedEndpoint> listed) {
    if (update != ListUpdate.WATCH_LOST && update != ListUpdate.DISCOVERY_MOVED) {
      endpoints.apply(update, listed);
      backend.updateEndpoints(listed, update != ListUpdate.DELTA);
    }
    counters.increment(CounterNames.listUpdates(update));
    enqueue(new Event.EndpointListReceived(update, KnownEndpoints.withoutAddresses(listed)));
  }

  /** Announces that all queries, including later ones, need their responses before a deadline. */
  void shutdownRequested(long deadline) {
    enqueue(new Event.ShutdownRequested(deadline));
  }

  /** Runs a task once no query is pending and no decision round is due. */
  void runWhenIdle(Runnable task) {
    decisions.runWhenIdle(task);
  }

  /** Returns whether discovery has sent any list since the start, even an empty one. */
  boolean hasReceivedList() {
    return endpoints.hasReceivedList();
  }

  /** Returns whether any shard server is known. */
  boolean hasKnownEndpoints() {
    return !endpoints.isEmpty();
  }

  /**
   * Returns the earliest time at which bytes read now may have arrived, in microseconds. This is
   * the estimate of {@link ReadDelayEstimator}, or the time at which an overdue timer was due if
   * that is earlier, as the whole process may have been stalled since then.
   */
  public long earliestArrivalTime() {
    return Math.min(decisions.earliestArrivalTime(), clock.now() - timers.overdueUs());
  }

  /** Records that a read from a client's connection returned this many bytes. */
  public void clientInputRead(int byteCount) {
    decisions.clientInputRead(byteCount);
  }

  /** Records that an HTTP message of a client, or a piece of one, was parsed. */
  public void clientMessageParsed() {
    decisions.clientMessageParsed();
  }

  /** Returns the number of the current event loop pass, from 1. */
  public long passNumber() {
    return decisions.passNumber();
  }

  private void enqueue(Event event) {
    decisions.enqueue(event);
  }
}
