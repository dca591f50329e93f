package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/**
 * Creates attempts and gives them up, and keeps the list of those that changed in this round for
 * {@link ActionEmitter}.
 */
final class AttemptScheduler {
  private static final double IDLE_OBJECTIVE_SHARE = 0.5;

  /** The share of attempts that still try an idle connection while such ones are dropped. */
  private static final double IDLE_TRIAL_SHARE = 1.0 / 32;

  private final Settings settings;
  private final LatencyTracker latency;
  private final IdleConnectionDetector idleConnections;
  private final RetryPolicy retries;
  private final QueryWorkQueue workQueue;
  private final SeededRandom random;
  private final double idleUs;
  private final List<Attempt> changed = new ArrayList<>();
  private long batches;

  AttemptScheduler(
      Settings settings,
      long shortestObjectiveUs,
      LatencyTracker latency,
      IdleConnectionDetector idleConnections,
      RetryPolicy retries,
      QueryWorkQueue workQueue,
      SeededRandom random) {
    this.settings = settings;
    this.idleUs = shortestObjectiveUs * IDLE_OBJECTIVE_SHARE;
    this.latency = latency;
    this.idleConnections = idleConnections;
    this.retries = retries;
    this.workQueue = workQueue;
    this.random = random;
  }

  /** Returns the attempts that were scheduled or given up, in that order; cleared by the caller. */
  List<Attempt> changed() {
    return changed;
  }

  /** Schedules the next attempt of a request at a server. */
  void schedule(ShardRequest request, ShardServer server, long now) {
    if (server.needsBatch(settings.layout().maxBatchSize(), now)) {
      server.openBatch(++batches, now);
    }
    Query query = request.query();
    int number = request.attempts().size();
    Attempt attempt = new Attempt(request, number, server, now, server.joinBatch());
    attempt.timeOutAt(now + latency.attemptTimeoutUs(query.queryClass()));
    chooseConnection(attempt, now);
    request.attempts().add(attempt);
    attempt.setDeadline(deadline(attempt, now));
    if (number > 0) {
      retries.recordRetry(now);
    }
    server.slowStart().recordSend(now);
    server.inFlight().add(attempt);
    changed.add(attempt);
    workQueue.reviewAt(attempt.timeoutAt(), query);
  }

  /**
   * An attempt goes on a new connection where nothing was heard since one that timed out was sent,
   * as the connection may have fallen silent rather than the server, and where idle connections are
   * probably dropped.
   */
  private void chooseConnection(Attempt attempt, long now) {
    ShardServer server = attempt.server();
    long lastResponseAt = server.lastResponseAt();
    attempt.useIdleConnection(lastResponseAt > 0 && now - lastResponseAt >= idleUs);
    if (server.isSilent()
        || (idleConnections.isProbablyDropped(attempt) && !triesIdleConnection(attempt))) {
      attempt.useNewConnection();
    }
    server.clearSilence();
  }

  private boolean triesIdleConnection(Attempt attempt) {
    return attempt.query().queryClass().idempotency() == Idempotency.IDEMPOTENT
        && random.nextDouble() < IDLE_TRIAL_SHARE;
  }

  /** Where it could not be cancelled, an attempt has to end by itself before the next may go. */
  private long deadline(Attempt attempt, long now) {
    Query query = attempt.query();
    QueryClass queryClass = query.queryClass();
    boolean mustEndFirst =
        !settings.limits().hedging()
            && !settings.limits().cancellation()
            && retries.isRetryable(attempt.request(), now);
    if (mustEndFirst && attempt.timeoutAt() < query.objectiveAt()) {
      return attempt.timeoutAt();
    }
    boolean usefulLate = queryClass.lateWeight() > 0 || now >= query.objectiveAt();
    return usefulLate ? query.deadline() : query.objectiveAt();
  }

  /** Gives up an attempt, where it is in flight. */
  void giveUp(Attempt attempt) {
    attempt.giveUp();
    if (attempt.isUnwanted()) {
      changed.add(attempt);
    }
  }

  /** Gives up a request and all its attempts, as nothing of it is needed any longer. */
  void giveUp(ShardRequest request) {
    request.fail();
    request.attempts().forEach(this::giveUp);
    request.attempts().removeIf(Attempt::isDiscarded);
  }
}
