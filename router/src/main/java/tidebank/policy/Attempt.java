package tidebank.policy;

import tidebank.model.Outcome;

/** An attempt of a shard request at one server: the first one, a retry or a hedged attempt. */
final class Attempt {
  /** An attempt is in flight in all states but DISCARDED and COMPLETED. */
  private enum State {
    /** Decided in this round; its action has not been emitted yet. */
    SCHEDULED,
    SENT,
    /** Sent, but its response is no longer needed. */
    ABANDONED,
    /** Sent and cancelled; its end has not been reported yet. */
    CANCELLED,
    /** Abandoned in the round in which it was scheduled, and never sent. */
    DISCARDED,
    COMPLETED
  }

  private final ShardRequest request;
  private final int number;
  private final ShardServer server;
  private final long sentAt;
  private final long batchNumber;
  private State state = State.SCHEDULED;
  private Outcome outcome;
  private long timeoutAt;
  private long deadline;
  private boolean timedOut;
  private boolean usesIdleConnection;
  private boolean needsNewConnection;

  Attempt(ShardRequest request, int number, ShardServer server, long sentAt, long batchNumber) {
    this.request = request;
    this.number = number;
    this.server = server;
    this.sentAt = sentAt;
    this.batchNumber = batchNumber;
  }

  ShardRequest request() {
    return request;
  }

  Query query() {
    return request.query();
  }

  /** Returns its index among the attempts of its request, from 0. */
  int number() {
    return number;
  }

  ShardServer server() {
    return server;
  }

  long sentAt() {
    return sentAt;
  }

  /** Returns the number of the batch in which it is sent, alone or with other requests. */
  long batchNumber() {
    return batchNumber;
  }

  /** Returns its outcome, or null while it is in flight. */
  Outcome outcome() {
    return outcome;
  }

  /** Returns when it counts as timed out; it stays in flight until it ends or is dropped. */
  long timeoutAt() {
    return timeoutAt;
  }

  void setTimeoutAt(long time) {
    timeoutAt = time;
  }

  /** Returns when the transport drops it, in microseconds. */
  long deadline() {
    return deadline;
  }

  void setDeadline(long time) {
    deadline = time;
  }

  boolean isTimedOut() {
    return timedOut;
  }

  void markTimedOut() {
    timedOut = true;
  }

  /** Returns whether it is sent on a connection that was not used recently. */
  boolean usesIdleConnection() {
    return usesIdleConnection;
  }

  /** Returns whether the open connections to its server are retired before it is sent. */
  boolean needsNewConnection() {
    return needsNewConnection;
  }

  void setUsesIdleConnection(boolean idle) {
    usesIdleConnection = idle;
  }

  /** Requires a new connection to its server. */
  void requireNewConnection() {
    needsNewConnection = true;
    usesIdleConnection = false;
  }

  boolean isInFlight() {
    return outcome == null;
  }

  /** Returns whether its server may have executed it or may still do so. */
  boolean mayHaveExecuted() {
    return isInFlight() || !outcome.provesNotExecuted();
  }

  boolean isScheduled() {
    return state == State.SCHEDULED;
  }

  /** Returns whether it was abandoned before it was sent. */
  boolean isDiscarded() {
    return state == State.DISCARDED;
  }

  /**
   * Returns whether it was abandoned after it was sent, and has neither been cancelled nor ended.
   */
  boolean isAbandoned() {
    return state == State.ABANDONED;
  }

  void markSent() {
    state = State.SENT;
  }

  void markCancelled() {
    state = State.CANCELLED;
  }

  /** Abandons it, as its response is no longer needed; if it was not sent yet, it is discarded. */
  void abandon() {
    if (state == State.SCHEDULED) {
      end(State.DISCARDED, Outcome.NOT_SENT);
    } else if (state == State.SENT) {
      state = State.ABANDONED;
    }
  }

  /** Records its outcome, once. */
  void complete(Outcome result) {
    end(State.COMPLETED, result);
  }

  private void end(State finalState, Outcome result) {
    state = finalState;
    outcome = result;
    server.inFlight().remove(this);
  }
}
