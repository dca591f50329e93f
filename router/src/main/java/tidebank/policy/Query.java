package tidebank.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import tidebank.model.QueryClass;

/**
 * The state of one query from its arrival to its final answer. Times are microseconds of the
 * policy's clock.
 */
final class Query {
  /** The state of the query's current stage: open, or closed with a result. */
  enum Status {
    OPEN,
    COMPLETE,
    PARTIAL,
    THROTTLED,
    FAILED,
    /** Closed without an answer, because its client disconnected. */
    CLIENT_GONE
  }

  private static final Comparator<ShardRequest> BY_RANK =
      Comparator.comparingDouble((ShardRequest request) -> -request.weight())
          .thenComparingInt(ShardRequest::shard);

  private final String id;
  private final long number;
  private final QueryClass queryClass;
  private final List<ShardRequest> requests = new ArrayList<>();
  private long deadline;
  private long objectiveAt;
  private int stage;
  private boolean requestsSelected;
  private boolean firstStageComplete;
  private long nextReviewAt = Long.MAX_VALUE;
  private int connectionLosses;
  private ShardServer lastLostServer;
  private int remainingRequests = Integer.MAX_VALUE;
  private Status status = Status.OPEN;

  Query(String id, long number, QueryClass queryClass, long deadline, long objectiveAt) {
    this.id = id;
    this.number = number;
    this.queryClass = queryClass;
    this.deadline = deadline;
    this.objectiveAt = objectiveAt;
  }

  String id() {
    return id;
  }

  /** Returns the query's sequence number at this router; later queries have higher numbers. */
  long number() {
    return number;
  }

  QueryClass queryClass() {
    return queryClass;
  }

  /**
   * Returns the shard requests of all stages. Those of the first stage are sorted by rank once the
   * query is reviewed.
   */
  List<ShardRequest> requests() {
    return requests;
  }

  /** Returns the time by which the query needs its final answer. */
  long deadline() {
    return deadline;
  }

  /** Returns the time until which an answer has its full value. */
  long objectiveAt() {
    return objectiveAt;
  }

  /** Limits the deadline, and with it the latency objective, to the given time. */
  void limitDeadline(long limit) {
    deadline = Math.min(deadline, limit);
    objectiveAt = Math.min(objectiveAt, deadline);
  }

  /** Sorts the shard requests by descending weight; equal weights are sorted by shard. */
  void rankRequests() {
    requests.sort(BY_RANK);
  }

  /** Returns whether the requests to send have been selected. */
  boolean hasSelectedRequests() {
    return requestsSelected;
  }

  /** Records that the requests to send have been selected. */
  void markRequestsSelected() {
    requestsSelected = true;
  }

  /** Returns the index of the current stage, from 0. */
  int stage() {
    return stage;
  }

  boolean isFirstStage() {
    return stage == 0;
  }

  /** Returns whether a second stage follows once the current stage is answered. */
  boolean hasSecondStage() {
    return isFirstStage() && queryClass.secondStageRequests() > 0;
  }

  /** Returns whether the query is in its second stage and the first was answered completely. */
  boolean isFirstStageComplete() {
    return firstStageComplete;
  }

  /** Reopens an answered query for its second stage. */
  void beginSecondStage() {
    firstStageComplete = status == Status.COMPLETE;
    stage++;
    status = Status.OPEN;
  }

  Status status() {
    return status;
  }

  boolean isOpen() {
    return status == Status.OPEN;
  }

  boolean isAnswered() {
    return status == Status.COMPLETE || status == Status.PARTIAL;
  }

  void setStatus(Status newStatus) {
    status = newStatus;
  }

  /** Returns the number of lost connections, as {@link #recordConnectionLoss} counts them. */
  int connectionLosses() {
    return connectionLosses;
  }

  /**
   * Records that a connection was lost with a request of this query in flight. Consecutive losses
   * at the same server count once.
   */
  void recordConnectionLoss(ShardServer server) {
    connectionLosses += server == lastLostServer ? 0 : 1;
    lastLostServer = server;
  }

  /**
   * Returns how many requests of the current stage were unresolved at the last review, or {@link
   * Integer#MAX_VALUE} before the first review.
   */
  int remainingRequests() {
    return remainingRequests;
  }

  void setRemainingRequests(int count) {
    remainingRequests = count;
  }

  /** Returns the time of the next scheduled review, or {@link Long#MAX_VALUE} if there is none. */
  long nextReviewAt() {
    return nextReviewAt;
  }

  void setNextReviewAt(long time) {
    nextReviewAt = time;
  }
}
