package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;

/**
 * Decides when a query is answered and how: completely, partially, throttled or failed. A query
 * that can no longer be answered gets its final answer at once.
 */
final class QueryCompletion {
  /** The share of the latency objective that a second stage needs. */
  private static final double SECOND_STAGE_SHARE = 0.35;

  /** Weights of a stage may sum to this much less than 1 by rounding. */
  private static final double WEIGHT_TOLERANCE = 0.00005;

  /** After so many lost connections a query may itself crash its servers. */
  private static final int FATAL_CONNECTION_LOSSES = 2;

  private final DeadlineBudget deadlines;
  private final AttemptScheduler attempts;
  private final QueryWorkQueue workQueue;
  private final List<Query> decided = new ArrayList<>();
  private final Progress progress = new Progress();

  QueryCompletion(DeadlineBudget deadlines, AttemptScheduler attempts, QueryWorkQueue workQueue) {
    this.deadlines = deadlines;
    this.attempts = attempts;
    this.workQueue = workQueue;
  }

  /** What has come of the requests of a query's present stage; one is reused for all queries. */
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

  /** Answers a query, gives it up, or sets when it is reviewed again. */
  void review(Query query, long now) {
    progress.measure(query);
    query.setRemainingRequests(progress.unresolved);
    long lastAnswerAt = query.deadline() - deadlines.answerMarginUs(query.queryClass());
    long partialAnswerAt = partialAnswerAt(query);
    if (progress.isEmpty() && now < lastAnswerAt) {
      workQueue.reviewAt(lastAnswerAt, query);
    } else if (!progress.isEmpty() && isComplete(query)) {
      close(query, Query.Verdict.COMPLETE);
    } else if (progress.answeredWeight >= minimumWeight(query) - WEIGHT_TOLERANCE
        && (progress.unresolvedWeight <= 0
            || progress.isAllAnswered()
            || now >= partialAnswerAt
            || now >= lastAnswerAt)) {
      close(query, Query.Verdict.PARTIAL);
    } else if (isHopeless(query, now) || now >= lastAnswerAt) {
      giveUp(query);
    } else if (now < partialAnswerAt) {
      workQueue.reviewAt(partialAnswerAt, query);
    } else {
      long objectiveAt = query.objectiveAt();
      workQueue.reviewAt(now < objectiveAt ? objectiveAt : lastAnswerAt, query);
    }
  }

  /** Returns from when on a partial answer no longer waits for the rest. */
  private long partialAnswerAt(Query query) {
    QueryClass queryClass = query.queryClass();
    long reserveUs =
        query.hasSecondStage()
            ? Math.round(queryClass.latencyObjectiveUs() * SECOND_STAGE_SHARE)
            : deadlines.answerMarginUs(queryClass);
    return query.objectiveAt() - reserveUs;
  }

  private boolean isComplete(Query query) {
    return query.isFirstStage()
        ? progress.answeredWeight >= query.queryClass().completeWeight() - WEIGHT_TOLERANCE
        : progress.isAllAnswered() && query.isFirstStageComplete();
  }

  /** Returns the least weight that a partial answer of the present stage needs. */
  private static double minimumWeight(Query query) {
    QueryClass queryClass = query.queryClass();
    if (queryClass.minimumWeight() < queryClass.completeWeight()) {
      return queryClass.minimumWeight();
    }
    return query.isFirstStage() ? queryClass.completeWeight() : 1;
  }

  /** Returns whether the query can't be answered, is worth nothing any more, or crashes servers. */
  private boolean isHopeless(Query query, long now) {
    boolean crashesServers =
        query.connectionLosses() >= FATAL_CONNECTION_LOSSES
            && query.isFirstStage()
            && progress.answeredWeight <= 0;
    double possibleWeight = progress.answeredWeight + progress.unresolvedWeight;
    boolean worthless = query.queryClass().lateWeight() <= 0 && now >= query.objectiveAt();
    return crashesServers || possibleWeight < minimumWeight(query) - WEIGHT_TOLERANCE || worthless;
  }

  /** Ends a query without an answer: throttled where a client's retry is harmless, else failed. */
  void giveUp(Query query) {
    close(query, isRetryHarmless(query) ? Query.Verdict.THROTTLED : Query.Verdict.FAILED);
  }

  private static boolean isRetryHarmless(Query query) {
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

  /** Decides a query and gives up what it still has in flight. */
  void close(Query query, Query.Verdict verdict) {
    query.decide(verdict);
    decided.add(query);
    for (ShardRequest request : query.requests()) {
      attempts.abandon(request);
    }
  }

  /** Returns the queries that were decided in this round, in that order; cleared by the caller. */
  List<Query> decided() {
    return decided;
  }
}
