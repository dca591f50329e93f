package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/**
 * Creates and abandons attempts, and lists those that changed in this round for {@link
 * ActionEmitter}.
 */
final class AttemptScheduler {
  /** Connections are idle after this share of the shortest latency objective without a response. */
  private static final double IDLE_OBJECTIVE_SHARE = 0.5;

  /** The share of attempts that use an idle connection even though it was probably dropped. */
  private static final double IDLE_PROBE_SHARE = 1.0 / 32;

  private final Settings settings;
  private final LatencyTracker latency;
  private final IdleConnectionDetector idleConnections;
  private final RetryPolicy retries;
  private final QueryWorkQueue workQueue;
  private final SeededRandom random;
  private final double idleAfterUs;
  private final List<Attempt> changedAttempts = new ArrayList<>();
  private long lastBatchNumber;

  AttemptScheduler(
      Settings settings,
      long shortestObjectiveUs,
      LatencyTracker latency,
      IdleConnectionDetector idleConnections,
      RetryPolicy retries,
      QueryWorkQueue workQueue,
      SeededRandom random) {
    this.settings = settings;
    this.idleAfterUs = shortestObjectiveUs * IDLE_OBJECTIVE_SHARE;
    this.latency = latency;
    this.idleConnections = idleConnections;
    this.retries = retries;
    this.workQueue = workQueue;
    this.random = random;
  }

  /**
   * Returns the attempts that were scheduled or abandoned, in order; the caller clears the list.
   */
  List<Attempt> changedAttempts() {
    return changedAttempts;
  }

  /** Schedules the next attempt of a request at a server. */
  void schedule(ShardRequest request, ShardServer server, long now) {
    if (server.needsBatch(settings.layout().maxBatchSize(), now)) {
      server.openBatch(++lastBatchNumber, now);
    }
    Query query = request.query();
    int number = request.attempts().size();
    Attempt attempt = new Attempt(request, number, server, now, server.joinBatch());
    attempt.setTimeoutAt(now + latency.attemptTimeoutUs(query.queryClass()));
    chooseConnection(attempt, now);
    request.attempts().add(attempt);
    attempt.setDeadline(deadline(attempt, now));
    if (number > 0) {
      retries.recordRetry(now);
    }
    server.slowStart().recordSend(now);
    server.inFlight().add(attempt);
    changedAttempts.add(attempt);
    workQueue.scheduleReview(attempt.timeoutAt(), query);
  }

  /**
   * Chooses between an open and a new connection. A new one is used if the server has not responded
   * since an attempt was sent that timed out, as the connection rather than the server may have
   * failed, or if the open connections are idle and were probably dropped.
   */
  private void chooseConnection(Attempt attempt, long now) {
    ShardServer server = attempt.server();
    long lastResponseAt = server.lastResponseAt();
    attempt.setUsesIdleConnection(lastResponseAt > 0 && now - lastResponseAt >= idleAfterUs);
    if (server.isUnresponsive()
        || (idleConnections.isProbablyDropped(attempt) && !probesIdleConnection(attempt))) {
      attempt.requireNewConnection();
    }
    server.clearTimeouts();
  }

  private boolean probesIdleConnection(Attempt attempt) {
    return attempt.query().queryClass().idempotency() == Idempotency.IDEMPOTENT
        && random.nextDouble() < IDLE_PROBE_SHARE;
  }

  /**
   * Returns when the transport drops the attempt. Without hedging and cancellation, a retry can
   * only follow once the attempt has ended, so an attempt that may be retried ends at its timeout.
   */
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

  /** Abandons an attempt if it has not ended. */
  void abandon(Attempt attempt) {
    attempt.abandon();
    if (attempt.isAbandoned()) {
      changedAttempts.add(attempt);
    }
  }

  /** Fails a request unless it is answered, and abandons all its attempts. */
  void abandon(ShardRequest request) {
    request.fail();
    request.attempts().forEach(this::abandon);
    request.attempts().removeIf(Attempt::isDiscarded);
  }
}
