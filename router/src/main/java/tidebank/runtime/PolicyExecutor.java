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
import tidebank.runtime.BackendPort.Member;

/**
 * Connects the clients' side, the shard servers' side and discovery with the decisions: takes in
 * what happened, and has what the decisions want executed. Confined to the event loop.
 *
 * <p>The state is in {@link PendingQueries} and {@link KnownEndpoints}; {@link DecisionLoop} runs
 * the decisions and {@link ActionExecutor} executes their actions.
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

  /** Creates an executor with decisions of this seed; {@link #connect} completes it. */
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
    this.queries = new PendingQueries(settings.limits().maxPending());
    this.actions = new ActionExecutor(queries, clock, timers, counters, this::enqueue);
    this.decisions =
        new DecisionLoop(settings, seed, clock, loop, counters, queries, endpoints, actions);
  }

  /** Records every decision round from now on; called before the first one. */
  public void recordTo(DecisionLog log) {
    decisions.recordTo(log);
  }

  /** Sets the sides that execute actions; called once, before the first event. */
  public void connect(BackendPort backend, DiscoveryPort discovery) {
    this.backend = backend;
    actions.connect(backend, discovery);
  }

  /**
   * Takes a query, whose final response goes to {@code callback}. Returns false, and takes nothing,
   * if as many queries and shard requests are pending as the settings allow.
   */
  public boolean queryReceived(QueryRequest request, ResponseCallback callback) {
    if (!queries.hasCapacity(request)) {
      return false;
    }
    // The text names a counter and is therefore kept.
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
    for (PendingShardRequest shardRequest : query.requests()) {
      QueryRequest.ShardRange range = shardRequest.range();
      enqueue(
          new Event.ShardRequestReceived(
              shardRequest.id(), query.number(), range.shard(), range.weight(), range.key()));
    }
    return true;
  }

  /** Returns whether a query of this id is pending, or an attempt of one is still in flight. */
  public boolean isPending(QueryRequest request) {
    return queries.contains(request);
  }

  /** Describes what has come of a pending query for the log, as {@code key=value} pairs. */
  public String describe(String id) {
    PendingQuery query = queries.find(id);
    return query == null ? "pending_shards=0" : query.describe(clock.now());
  }

  /** Ends a query whose client has disconnected; it gets no response. */
  public void clientDisconnected(String id) {
    PendingQuery query = queries.find(id);
    if (query != null) {
      counters.add("scans.lapsed");
      queries.close(query);
      enqueue(new Event.ClientDisconnected(id));
    }
  }

  /**
   * Called before the first byte of an attempt is written. The poll that the decision rests on may
   * be long past, as code may be cold and the process may have been stopped: if the client has
   * disconnected meanwhile, its query ends here, with all that is not written.
   */
  public void aboutToWrite(AttemptRequest attempt) {
    if (attempt.shardRequest().query().clientGone(clock.now())) {
      counters.add("scans.lapsed-before-writing");
    }
  }

  /**
   * Takes the outcome of an attempt, once.
   *
   * @param value the shard's answer, or null unless the attempt completed successfully
   * @param loadReport what the server reported of its load, by name; empty if nothing
   */
  public void attemptCompleted(
      AttemptRequest attempt, Outcome outcome, byte[] value, Map<String, Double> loadReport) {
    // The text names a counter and is therefore kept.
    if (!counters.checkInvariant(!attempt.isCompleted(), "a dispatch ends once")) {
      return;
    }
    attempt.complete();
    PendingShardRequest shardRequest = attempt.shardRequest();
    shardRequest.receive(value);
    counters.add(CounterNames.attempts(outcome));
    enqueue(
        new Event.AttemptCompleted(
            shardRequest.id(),
            attempt.number(),
            outcome,
            clock.now() - attempt.createdAt(),
            shardRequest.isClosed(),
            loadReport));
    queries.removeIfDone(shardRequest);
  }

  /** Takes the outcome of a health check. */
  public void healthCheckCompleted(
      String server, Outcome outcome, long durationUs, Map<String, Double> loadReport) {
    counters.add(CounterNames.healthChecks(outcome));
    enqueue(new Event.HealthCheckCompleted(server, outcome, durationUs, loadReport));
  }

  /** Takes an endpoint list, a change of it, or that the watch of it was lost. */
  public void endpointListReceived(ListUpdate update, List<Member> members) {
    if (update != ListUpdate.WATCH_LOST && update != ListUpdate.DISCOVERY_MOVED) {
      endpoints.apply(update, members);
      backend.updateEndpoints(members, update != ListUpdate.DELTA);
    }
    counters.add(CounterNames.listUpdates(update));
    enqueue(new Event.EndpointListReceived(update, KnownEndpoints.endpoints(members)));
  }

  /** Announces that every query, also one still to come, needs its response before this moment. */
  void shutdownRequested(long deadline) {
    enqueue(new Event.ShutdownRequested(deadline));
  }

  /** Runs something once no query is pending and no decision round is due. */
  void whenIdle(Runnable then) {
    decisions.whenIdle(then);
  }

  /** Returns whether discovery has sent any list since the start, also an empty one. */
  boolean listReceived() {
    return endpoints.wasReceived();
  }

  /** Returns whether any shard server is known. */
  boolean knowsServers() {
    return !endpoints.isEmpty();
  }

  /**
   * Returns the earliest moment at which bytes that are read now may have arrived: by {@link
   * ReadDelayEstimator}, and by how long the earliest timer is overdue, as the whole process stood
   * still for so long.
   */
  public long arrivedSince() {
    return Math.min(decisions.arrivedSince(), clock.now() - timers.overdueUs());
  }

  /** Returns the number of the event loop's present pass over its sockets. */
  public long passNumber() {
    return decisions.passNumber();
  }

  private void enqueue(Event event) {
    decisions.enqueue(event);
  }
}
