package tidebank.policy;

import tidebank.model.Outcome;

/** One attempt of a shard request at one server: its first one, a retry or a hedged attempt. */
final class Attempt {
  /** The states up to CANCELLED are in flight; the last two have ended. */
  private enum State {
    /** Decided in this round, not yet among its actions. */
    SCHEDULED,
    SENT,
    /** Sent, and no longer of use. */
    UNWANTED,
    /** Sent, and called back. */
    CANCELLED,
    /** Dropped in the round in which it was scheduled. */
    DISCARDED,
    COMPLETED
  }

  private final ShardRequest request;
  private final int number;
  private final ShardServer server;
  private final long sentAt;
  private final long batch;
  private State state = State.SCHEDULED;
  private Outcome outcome;
  private long timeoutAt;
  private long deadline;
  private boolean timedOut;
  private boolean onIdleConnection;
  private boolean onNewConnection;

  Attempt(ShardRequest request, int number, ShardServer server, long sentAt, long batch) {
    this.request = request;
    this.number = number;
    this.server = server;
    this.sentAt = sentAt;
    this.batch = batch;
  }

  ShardRequest request() {
    return request;
  }

  Query query() {
    return request.query();
  }

  /** Returns its place among the attempts of its request, from 0. */
  int number() {
    return number;
  }

  ShardServer server() {
    return server;
  }

  long sentAt() {
    return sentAt;
  }

  /** Returns the number of the batch in which it travels with other requests to its server. */
  long batch() {
    return batch;
  }

  /** Returns how it ended, or null while it is in flight. */
  Outcome outcome() {
    return outcome;
  }

  /** Returns from when on it counts as timed out, while it stays in flight. */
  long timeoutAt() {
    return timeoutAt;
  }

  void timeOutAt(long at) {
    timeoutAt = at;
  }

  /** Returns when the transport drops it. */
  long deadline() {
    return deadline;
  }

  void setDeadline(long at) {
    deadline = at;
  }

  boolean isTimedOut() {
    return timedOut;
  }

  void markTimedOut() {
    timedOut = true;
  }

  /** Returns whether it was sent on a connection without recent use. */
  boolean onIdleConnection() {
    return onIdleConnection;
  }

  /** Returns whether the present connections to its server are retired before it is sent. */
  boolean onNewConnection() {
    return onNewConnection;
  }

  void useIdleConnection(boolean idle) {
    onIdleConnection = idle;
  }

  /** Sends it on a new connection instead. */
  void useNewConnection() {
    onNewConnection = true;
    onIdleConnection = false;
  }

  boolean isInFlight() {
    return outcome == null;
  }

  /** Returns whether it is not proved never to have executed. */
  boolean mayHaveExecuted() {
    return isInFlight() || !outcome.neverExecuted();
  }

  boolean isScheduled() {
    return state == State.SCHEDULED;
  }

  /** Returns whether it was dropped before it was sent. */
  boolean isDiscarded() {
    return state == State.DISCARDED;
  }

  /** Returns whether it is in flight, of no use and not yet called back. */
  boolean isUnwanted() {
    return state == State.UNWANTED;
  }

  void markSent() {
    state = State.SENT;
  }

  void markCancelled() {
    state = State.CANCELLED;
  }

  /** Gives it up: what was not sent yet is discarded. */
  void giveUp() {
    if (state == State.SCHEDULED) {
      end(State.DISCARDED, Outcome.NOT_SENT);
    } else if (state == State.SENT) {
      state = State.UNWANTED;
    }
  }

  /** Records its one outcome. */
  void complete(Outcome how) {
    end(State.COMPLETED, how);
  }

  private void end(State last, Outcome how) {
    state = last;
    outcome = how;
    server.inFlight().remove(this);
  }
}
