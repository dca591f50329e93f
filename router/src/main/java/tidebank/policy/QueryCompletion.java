package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;

/**
 * Decides when each query gets its answer, and which one: complete, partial, throttled or failed. A
 * query that can no longer be answered is throttled or failed immediately.
 */
final class QueryCompletion {
  /** The share of the latency objective that is reserved for the second stage. */
  private static final double SECOND_STAGE_SHARE = 0.35;

  /** The rounding error that is tolerated in sums of weights. */
  private static final double WEIGHT_TOLERANCE = 0.00005;

  /** The number of lost connections at which a query is assumed to crash its servers. */
  private static final int CRASHING_CONNECTION_LOSSES = 2;

  private final DeadlineBudget deadlines;
  private final AttemptScheduler attempts;
  private final QueryWorkQueue workQueue;
  private final List<Query> closedQueries = new ArrayList<>();
  private final Progress progress = new Progress();

  QueryCompletion(DeadlineBudget deadlines, AttemptScheduler attempts, QueryWorkQueue workQueue) {
    this.deadlines = deadlines;
    this.attempts = attempts;
    this.workQueue = workQueue;
  }

  /**
   * Counts and weights of the requests of a query's current stage. One instance is reused for all
   * queries.
   */
  private static final class Progress {
    private int requests;
    private int answered;
    private int unresolved;
    private double answeredWeight;
    private double unresolvedWeight;

    void measure(Query query) {
      requests = 0;
      answered = 0;
      unresolved = 0;
      answeredWeight = 0;
      unresolvedWeight = 0;
      for (ShardRequest request : query.requests()) {
        if (request.queryStage() == query.stage()) {
          add(request);
        }
      }
    }

    private void add(ShardRequest request) {
      requests++;
      if (request.isAnswered()) {
        answered++;
        answeredWeight += request.weight();
      } else if (request.isUnresolved()) {
        unresolved++;
        unresolvedWeight += request.weight();
      }
    }

    boolean isEmpty() {
      return requests == 0;
    }

    boolean isAllAnswered() {
      return answered == requests;
    }
  }

  /** Answers a query, throttles or fails it, or schedules its next review. */
  void review(Query query, long now) {
    progress.measure(query);
    query.setRemainingRequests(progress.unresolved);
    long lastAnswerAt = query.deadline() - deadlines.answerMarginUs(query.queryClass());
    long partialAnswerAt = partialAnswerAt(query);
    if (progress.isEmpty() && now < lastAnswerAt) {
      workQueue.scheduleReview(lastAnswerAt, query);
    } else if (!progress.isEmpty() && isComplete(query)) {
      close(query, Query.Status.COMPLETE);
    } else if (progress.answeredWeight >= minimumWeight(query) - WEIGHT_TOLERANCE
        && (progress.unresolvedWeight <= 0
            || progress.isAllAnswered()
            || now >= partialAnswerAt
            || now >= lastAnswerAt)) {
      close(query, Query.Status.PARTIAL);
    } else if (shouldGiveUp(query, now) || now >= lastAnswerAt) {
      giveUp(query);
    } else if (now < partialAnswerAt) {
      workQueue.scheduleReview(partialAnswerAt, query);
    } else {
      long objectiveAt = query.objectiveAt();
      workQueue.scheduleReview(now < objectiveAt ? objectiveAt : lastAnswerAt, query);
    }
  }

  /** Returns the time from which a partial answer no longer waits for unresolved requests. */
  private long partialAnswerAt(Query query) {
    QueryClass queryClass = query.queryClass();
    long reserveUs =
        query.hasSecondStage()
            ? Math.round(queryClass.latencyObjectiveUs() * SECOND_STAGE_SHARE)
            : deadlines.answerMarginUs(queryClass);
    return query.objectiveAt() - reserveUs;
  }

  /**
   * Returns whether the answered requests make the answer complete. A second stage needs all its
   * responses and a complete first stage.
   */
  private boolean isComplete(Query query) {
    return query.isFirstStage()
        ? progress.answeredWeight >= query.queryClass().completeWeight() - WEIGHT_TOLERANCE
        : progress.isAllAnswered() && query.isFirstStageComplete();
  }

  /** Returns the minimum weight of a partial answer to the current stage. */
  private static double minimumWeight(Query query) {
    QueryClass queryClass = query.queryClass();
    if (queryClass.minimumWeight() < queryClass.completeWeight()) {
      return queryClass.minimumWeight();
    }
    return query.isFirstStage() ? queryClass.completeWeight() : 1;
  }

  /**
   * Returns whether the query can't reach its minimum weight, has lost its value with its latency
   * objective, or is assumed to crash its servers.
   */
  private boolean shouldGiveUp(Query query, long now) {
    boolean crashesServers =
        query.connectionLosses() >= CRASHING_CONNECTION_LOSSES
            && query.isFirstStage()
            && progress.answeredWeight <= 0;
    double reachableWeight = progress.answeredWeight + progress.unresolvedWeight;
    boolean hasNoValue = query.queryClass().lateWeight() <= 0 && now >= query.objectiveAt();
    return crashesServers
        || reachableWeight < minimumWeight(query) - WEIGHT_TOLERANCE
        || hasNoValue;
  }

  /** Throttles a query if its client may safely retry it, otherwise fails it. */
  void giveUp(Query query) {
    close(query, isSafeToRetry(query) ? Query.Status.THROTTLED : Query.Status.FAILED);
  }

  /** Returns whether a retry by the client can't execute a non-idempotent request twice. */
  private static boolean isSafeToRetry(Query query) {
    if (query.queryClass().idempotency() == Idempotency.IDEMPOTENT) {
      return true;
    }
    for (ShardRequest request : query.requests()) {
      if (request.mayHaveExecuted()) {
        return false;
      }
    }
    return true;
  }

  /** Closes the current stage of a query with the given status, and abandons attempts in flight. */
  void close(Query query, Query.Status status) {
    query.setStatus(status);
    closedQueries.add(query);
    for (ShardRequest request : query.requests()) {
      attempts.abandon(request);
    }
  }

  /**
   * Returns the queries that were closed in this decision round, in order. The caller clears the
   * list.
   */
  List<Query> closedQueries() {
    return closedQueries;
  }
}
