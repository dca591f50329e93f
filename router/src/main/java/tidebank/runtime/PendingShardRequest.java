package tidebank.runtime;

import java.util.ArrayList;
import java.util.List;

/** The request of one query to one shard, with all attempts at it. */
final class PendingShardRequest {
  private final PendingQuery query;
  private final QueryRequest.ShardRange range;
  private final String id;
  private final List<AttemptRequest> attempts = new ArrayList<>();

  /** The shard's answer, or null while there is none. */
  private byte[] value;

  PendingShardRequest(PendingQuery query, QueryRequest.ShardRange range) {
    this.query = query;
    this.range = range;
    this.id = id(query.request(), range);
  }

  /** Returns the id on the wire: the query's id, a dot, the shard. */
  static String id(QueryRequest request, QueryRequest.ShardRange range) {
    return request.id() + '.' + range.shard();
  }

  PendingQuery query() {
    return query;
  }

  QueryRequest.ShardRange range() {
    return range;
  }

  String id() {
    return id;
  }

  /** Returns all attempts so far, each at its number. */
  List<AttemptRequest> attempts() {
    return attempts;
  }

  byte[] value() {
    return value;
  }

  /** Keeps the first value that arrives while the query is open. */
  void receive(byte[] received) {
    if (received != null && value == null && query.isOpen()) {
      value = received;
    }
  }

  /** Returns whether no further attempt can change the response of the query. */
  boolean isClosed() {
    return !query.isOpen() || value != null;
  }

  /** Returns whether the query is closed and every attempt has completed. */
  boolean isDone() {
    if (query.isOpen()) {
      return false;
    }
    for (AttemptRequest attempt : attempts) {
      if (!attempt.isCompleted()) {
        return false;
      }
    }
    return true;
  }

  /** Drops the attempts of which nothing has been written. */
  void dropUnsent() {
    // Dropping completes an attempt, which may end in this list being read again.
    for (AttemptRequest attempt : List.copyOf(attempts)) {
      attempt.dropUnsent();
    }
  }

  /** Cancels the attempts that have not completed. */
  void cancelAll() {
    for (AttemptRequest attempt : List.copyOf(attempts)) {
      attempt.cancel();
    }
  }
}
