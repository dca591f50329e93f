package tidebank.policy;

import java.util.List;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;
import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/**
 * The routing decisions of one query router. Each call of {@link #runRound} runs one decision
 * round: it takes the current time and the events since the last round, and returns the actions to
 * execute, in order. The same settings, seed and events always give the same actions.
 *
 * <p>The shard requests of a query are ranked by weight. The top T requests are sent unless their
 * shard is over its concurrency limit. A request of a lower rank is sent only if the load of its
 * shard is below a threshold, which falls with the rank from the concurrency limit to nearly idle
 * ({@link LoadThresholds}).
 *
 * <p>A round has three steps. Events update the state of the detectors and limits. {@link #decide}
 * then reviews each query that changed or is due, and decides which attempts it needs and whether
 * it is answered. {@link ActionEmitter} emits the difference to the earlier decisions as actions.
 */
public final class RoutingPolicy {
  /** Stands in for the shortest latency objective if no query class has one. */
  private static final long DEFAULT_OBJECTIVE_US = 1_000_000;

  private final QueryTable queries = new QueryTable();
  private final QueryWorkQueue workQueue = new QueryWorkQueue();
  private final WakeUpTimer timer = new WakeUpTimer();
  private final DeadlineBudget deadlines;
  private final LatencyTracker latency;
  private final EndpointTable endpoints;
  private final EndpointWatch endpointWatch;
  private final ServerRestarts restarts;
  private final QueryIntake intake;
  private final CanaryGuard canaries;
  private final AttemptFeedback feedback;
  private final AttemptScheduler scheduler;
  private final AttemptPlanner attempts;
  private final LoadThresholds loadThresholds;
  private final QueryCompletion completion;
  private final ActionEmitter emitter;

  /** The time of the current decision round, in microseconds. */
  private long now;

  /** Creates the policy of one router. The seed determines all its random choices. */
  public RoutingPolicy(Settings settings, long seed) {
    long objectiveUs = settings.shortestObjectiveUs().orElse(DEFAULT_OBJECTIVE_US);
    SeededRandom random = new SeededRandom(seed);
    CongestionDetector congestion = new CongestionDetector();
    IdleConnectionDetector idleConnections = new IdleConnectionDetector();
    ConcurrencyLimits limits = new ConcurrencyLimits();
    deadlines = new DeadlineBudget(settings.tickUs());
    latency = new LatencyTracker(objectiveUs);
    endpoints = new EndpointTable(settings, objectiveUs);
    endpointWatch = new EndpointWatch(settings, random);
    restarts = new ServerRestarts(settings, objectiveUs, latency, random);
    RetryBudget retryBudget = new RetryBudget(settings);
    intake = new QueryIntake(settings, queries, workQueue, deadlines, retryBudget);
    canaries = new CanaryGuard(objectiveUs, congestion, latency, deadlines, workQueue);
    ReplicaSelector replicas = new ReplicaSelector(endpoints);
    feedback =
        new AttemptFeedback(
            endpoints, latency, congestion, limits, idleConnections, replicas, canaries, restarts);
    RetryPolicy retries = new RetryPolicy(settings, congestion, retryBudget);
    HedgingPolicy hedging = new HedgingPolicy(settings, latency, idleConnections, workQueue);
    scheduler =
        new AttemptScheduler(
            settings, objectiveUs, latency, idleConnections, retries, workQueue, random);
    attempts =
        new AttemptPlanner(
            endpoints, latency, congestion, retries, hedging, replicas, scheduler, workQueue);
    loadThresholds = new LoadThresholds(settings, endpoints, limits, congestion, attempts);
    completion = new QueryCompletion(deadlines, scheduler, workQueue);
    emitter = new ActionEmitter(settings, objectiveUs, endpointWatch, scheduler, workQueue, timer);
  }

  /**
   * Runs one decision round.
   *
   * @param clock the current time in microseconds, which must never decrease
   * @param events the events since the last round, in order
   * @return the actions to execute, in order
   */
  public List<Action> runRound(long clock, List<Event> events) {
    now = clock;
    emitter.beginRound();
    for (Event event : events) {
      apply(event);
    }
    for (Query query : workQueue.takeDue(now)) {
      if (query.isOpen()) {
        decide(query);
      }
    }
    completion.closedQueries().forEach(this::answer);
    completion.closedQueries().clear();
    return emitter.finishRound(now);
  }

  /** Reviews an open query: selects its requests, advances them, and answers it if possible. */
  private void decide(Query query) {
    for (ShardRequest request : query.requests()) {
      request.attempts().forEach(this::checkTimeout);
    }
    if (!query.hasSelectedRequests()) {
      query.rankRequests();
      if (!canaries.isAwaitingCanary(query, now)) {
        select(query);
      }
    }
    if (query.isOpen()) {
      advanceRequests(query);
      completion.review(query, now);
    }
  }

  /** Selects the requests of a query to send, or gives the query up if it can't be answered. */
  private void select(Query query) {
    query.markRequestsSelected();
    if (query.requests().isEmpty() || isTooLateToAnswer(query)) {
      completion.giveUp(query);
    } else {
      loadThresholds.select(query, now);
    }
  }

  /** Returns whether even a quick response would arrive too late to be used. */
  private boolean isTooLateToAnswer(Query query) {
    double neededUs = deadlines.answerMarginUs(query.queryClass()) + latency.baselineResponseUs();
    return query.deadline() - now <= neededUs;
  }

  /** Advances all requests of a query, or only its canary if the others are held back. */
  private void advanceRequests(Query query) {
    List<ShardRequest> requests = query.requests();
    int count = query.hasSelectedRequests() ? requests.size() : 1;
    for (int rank = 0; rank < count; rank++) {
      attempts.advance(requests.get(rank), now);
    }
  }

  /** Records an attempt's timeout if it has passed, and schedules a review for it otherwise. */
  private void checkTimeout(Attempt attempt) {
    if (attempt.isInFlight() && now >= attempt.timeoutAt()) {
      feedback.recordTimeout(attempt, now);
    } else if (attempt.isInFlight()) {
      workQueue.scheduleReview(attempt.timeoutAt(), attempt.query());
    }
  }

  /** Answers a closed query. Its second stage begins if it has one; otherwise it is removed. */
  private void answer(Query query) {
    emitter.emitAnswer(query);
    if (query.isAnswered() && query.hasSecondStage()) {
      query.beginSecondStage();
      long marginUs = deadlines.answerMarginUs(query.queryClass());
      workQueue.scheduleReview(query.deadline() - marginUs, query);
    } else {
      queries.remove(query);
    }
  }

  // ---- events

  private void apply(Event event) {
    if (event instanceof Event.EndpointListReceived list) {
      applyList(list);
    } else if (event instanceof Event.QueryReceived received) {
      intake.addQuery(received, now);
    } else if (event instanceof Event.ShardRequestReceived received) {
      intake.addRequest(received, now);
    } else if (event instanceof Event.AttemptCompleted completed) {
      completeAttempt(completed);
    } else if (event instanceof Event.ClientDisconnected disconnected) {
      Query query = queries.openQuery(disconnected.query());
      if (query != null) {
        completion.close(query, Query.Status.CLIENT_GONE);
      }
    } else if (event instanceof Event.TimerFired fired) {
      if (timer.isCurrent(fired.token())) {
        deadlines.recordEventLoopDelay(now - timer.firesAt(), now);
        timer.clear();
      }
    } else if (event instanceof Event.ShutdownRequested shutdown) {
      intake.shutDownBy(shutdown.deadline());
    }
  }

  /** Applies an endpoint list update, and begins the slow start of restarted servers. */
  private void applyList(Event.EndpointListReceived list) {
    endpointWatch.recordUpdate(list.update(), now);
    if (list.update() == ListUpdate.WATCH_LOST || list.update() == ListUpdate.DISCOVERY_MOVED) {
      return;
    }
    endpoints.apply(list);
    for (Endpoint endpoint : list.endpoints()) {
      ShardServer server = endpoints.get(endpoint.server());
      if (server != null && restarts.recordListed(server, endpoint.startedAt(), now)) {
        server.outlierDetector().allowReinstatement(now);
      }
    }
    restarts.listApplied(list.endpoints().isEmpty());
  }

  /**
   * Applies the outcome of an attempt that is in flight; outcomes of other attempts are ignored.
   */
  private void completeAttempt(Event.AttemptCompleted event) {
    Attempt attempt = queries.attemptInFlight(event.shardRequest(), event.attempt());
    if (attempt == null) {
      return;
    }
    ShardRequest request = attempt.request();
    Query query = request.query();
    attempt.complete(event.outcome());
    workQueue.markChanged(query);
    feedback.recordOutcome(attempt, event.durationUs(), now);
    if (event.outcome() == Outcome.CONNECTION_LOST) {
      query.recordConnectionLoss(attempt.server());
    }
    if (query.isOpen() && event.outcome() == Outcome.COMPLETED) {
      request.markAnswered();
      scheduler.abandon(request);
    } else if (query.isOpen() && event.requestClosed()) {
      request.fail();
    }
    queries.removeIfDone(request);
  }
}
