package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.Outcome;

/**
 * One of the requests of a query, to one shard. It is remembered as long as its query, or until the
 * last of its attempts has ended.
 */
final class ShardRequest {
  private enum Stage {
    /** To be sent. */
    PENDING,
    SENT,
    /** Left out on purpose. */
    SKIPPED,
    ANSWERED,
    /** Nothing more can be done for it. */
    FAILED
  }

  private final String id;
  private final Query query;
  private final int shard;
  private final double weight;
  private final String key;
  private final int queryStage;
  private final List<Attempt> attempts = new ArrayList<>();
  private Stage stage = Stage.PENDING;

  /** Creates a request of the query's present stage. */
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

  /** Returns its share of its query stage, from 0 to 1. */
  double weight() {
    return weight;
  }

  /** Returns its idempotency key, or an empty text. */
  String key() {
    return key;
  }

  int queryStage() {
    return queryStage;
  }

  /** Returns its attempts in the order in which they were decided. */
  List<Attempt> attempts() {
    return attempts;
  }

  boolean isPending() {
    return stage == Stage.PENDING;
  }

  boolean isSent() {
    return stage == Stage.SENT;
  }

  boolean isAnswered() {
    return stage == Stage.ANSWERED;
  }

  /** Returns whether an answer may still come. */
  boolean isUnresolved() {
    return stage == Stage.PENDING || stage == Stage.SENT;
  }

  void markSent() {
    stage = Stage.SENT;
  }

  /** Leaves it out of the query. */
  void skip() {
    stage = Stage.SKIPPED;
  }

  void markAnswered() {
    stage = Stage.ANSWERED;
  }

  /** Nothing more is done for it; an answer that it has counts on. */
  void fail() {
    if (stage != Stage.ANSWERED) {
      stage = Stage.FAILED;
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

  /** Returns whether all its attempts ended without reaching a server. */
  boolean neverReachedServer() {
    for (Attempt attempt : attempts) {
      if (attempt.outcome() != Outcome.UNREACHABLE && attempt.outcome() != Outcome.NOT_SENT) {
        return false;
      }
    }
    return true;
  }

  /** Returns whether an attempt is not proved never to have executed. */
  boolean mayHaveExecuted() {
    for (Attempt attempt : attempts) {
      if (attempt.mayHaveExecuted()) {
        return true;
      }
    }
    return false;
  }
}
