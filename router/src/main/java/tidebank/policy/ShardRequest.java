package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.Outcome;

/** The state of one request of a query to one shard. */
final class ShardRequest {
  private enum State {
    /** Its first attempt is not scheduled yet. */
    PENDING,
    SENT,
    /** Not sent, to shed load. */
    SKIPPED,
    ANSWERED,
    /** No further attempt is made. */
    FAILED
  }

  private final String id;
  private final Query query;
  private final int shard;
  private final double weight;
  private final String key;
  private final int queryStage;
  private final List<Attempt> attempts = new ArrayList<>();
  private State state = State.PENDING;

  /** Creates a request of the query's current stage. */
  ShardRequest(String id, Query query, int shard, double weight, String key) {
    this.id = id;
    this.query = query;
    this.shard = shard;
    this.weight = weight;
    this.key = key;
    this.queryStage = query.stage();
  }

  String id() {
    return id;
  }

  Query query() {
    return query;
  }

  int shard() {
    return shard;
  }

  /** Returns its share of the total weight of its query stage, from 0 to 1. */
  double weight() {
    return weight;
  }

  /** Returns its idempotency key, or an empty string if it has none. */
  String key() {
    return key;
  }

  /** Returns the index of the query stage that it belongs to, from 0. */
  int queryStage() {
    return queryStage;
  }

  /** Returns its attempts in the order in which they were scheduled. */
  List<Attempt> attempts() {
    return attempts;
  }

  boolean isPending() {
    return state == State.PENDING;
  }

  boolean isSent() {
    return state == State.SENT;
  }

  boolean isAnswered() {
    return state == State.ANSWERED;
  }

  /** Returns whether it may still be answered. */
  boolean isUnresolved() {
    return state == State.PENDING || state == State.SENT;
  }

  void markSent() {
    state = State.SENT;
  }

  /** Marks the request as not to be sent. */
  void skip() {
    state = State.SKIPPED;
  }

  void markAnswered() {
    state = State.ANSWERED;
  }

  /** Marks the request as failed unless it is already answered. */
  void fail() {
    if (state != State.ANSWERED) {
      state = State.FAILED;
    }
  }

  boolean hasAttemptInFlight() {
    for (Attempt attempt : attempts) {
      if (attempt.isInFlight()) {
        return true;
      }
    }
    return false;
  }

  boolean hasAttemptInFlightAt(ShardServer server) {
    for (Attempt attempt : attempts) {
      if (attempt.isInFlight() && attempt.server() == server) {
        return true;
      }
    }
    return false;
  }

  boolean wasTriedAt(ShardServer server) {
    for (Attempt attempt : attempts) {
      if (attempt.server() == server) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether every attempt has ended without reaching a server. */
  boolean neverReachedServer() {
    for (Attempt attempt : attempts) {
      if (attempt.outcome() != Outcome.UNREACHABLE && attempt.outcome() != Outcome.NOT_SENT) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether the request may have been executed, as far as the outcomes tell. */
  boolean mayHaveExecuted() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveExecuted()) {
        return true;
      }
    }
    return false;
  }
}
