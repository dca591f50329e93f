package tidebank.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import tidebank.model.QueryClass;

/** A query from when it is received until its final answer. Times are microseconds. */
final class Query {
  /** What was decided for the query. */
  enum Verdict {
    OPEN,
    COMPLETE,
    PARTIAL,
    THROTTLED,
    FAILED,
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
  private boolean selected;
  private boolean firstStageComplete;
  private long reviewAt = Long.MAX_VALUE;
  private int connectionLosses;
  private ShardServer lastLostServer;
  private int remainingRequests = Integer.MAX_VALUE;
  private Verdict verdict = Verdict.OPEN;

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

  /** Returns its number at this router; numbers rise. */
  long number() {
    return number;
  }

  QueryClass queryClass() {
    return queryClass;
  }

  /** Returns its requests of all stages, ranked once it is selected. */
  List<ShardRequest> requests() {
    return requests;
  }

  /** Returns when its client stops waiting. */
  long deadline() {
    return deadline;
  }

  /** Returns until when an answer has its full value. */
  long objectiveAt() {
    return objectiveAt;
  }

  /** Shortens its time, and its latency objective with it. */
  void limitDeadline(long at) {
    deadline = Math.min(deadline, at);
    objectiveAt = Math.min(objectiveAt, deadline);
  }

  /** Sorts its requests by falling weight. */
  void rankRequests() {
    requests.sort(BY_RANK);
  }

  boolean isSelected() {
    return selected;
  }

  /** From now on, which of its requests go is decided. */
  void markSelected() {
    selected = true;
  }

  /** Returns the stage that it is in, from 0. */
  int stage() {
    return stage;
  }

  boolean isFirstStage() {
    return stage == 0;
  }

  /** Returns whether the answer to this stage brings further requests. */
  boolean hasSecondStage() {
    return isFirstStage() && queryClass.secondStageRequests() > 0;
  }

  boolean isFirstStageComplete() {
    return firstStageComplete;
  }

  /** Reopens an answered query for its second stage. */
  void beginSecondStage() {
    firstStageComplete = verdict == Verdict.COMPLETE;
    stage++;
    verdict = Verdict.OPEN;
  }

  Verdict verdict() {
    return verdict;
  }

  boolean isOpen() {
    return verdict == Verdict.OPEN;
  }

  boolean isAnswered() {
    return verdict == Verdict.COMPLETE || verdict == Verdict.PARTIAL;
  }

  void decide(Verdict decision) {
    verdict = decision;
  }

  /** Returns how many servers lost connections on which its requests were in flight. */
  int connectionLosses() {
    return connectionLosses;
  }

  /** Records a lost connection; several in a row to one server count once. */
  void recordConnectionLoss(ShardServer server) {
    connectionLosses += server == lastLostServer ? 0 : 1;
    lastLostServer = server;
  }

  /** Returns how many requests of this stage are unresolved, as of its last review. */
  int remainingRequests() {
    return remainingRequests;
  }

  void setRemainingRequests(int count) {
    remainingRequests = count;
  }

  /** Returns when it is to be reviewed at the latest. */
  long reviewAt() {
    return reviewAt;
  }

  void setReviewAt(long at) {
    reviewAt = at;
  }
}
