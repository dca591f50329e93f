package tidebank.runtime;

import java.util.ArrayList;
import java.util.List;

/** A query's request to one shard, with all its attempts. */
final class PendingShardRequest {
  private final PendingQuery query;
  private final QueryRequest.ShardRange range;
  private final String id;
  private final List<AttemptRequest> attempts = new ArrayList<>();

  /** The value that a shard server returned, or null while there is none. */
  private byte[] value;

  PendingShardRequest(PendingQuery query, QueryRequest.ShardRange range) {
    this.query = query;
    this.range = range;
    this.id = id(query.request(), range);
  }

  /** Returns the id on the wire: the query's id, a dot and the shard's number. */
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

  /** Returns all attempts so far, ordered by index. */
  List<AttemptRequest> attempts() {
    return attempts;
  }

  byte[] value() {
    return value;
  }

  /** Stores the first non-null value that is offered while the query is open. */
  void receive(byte[] newValue) {
    if (newValue != null && value == null && query.isOpen()) {
      value = newValue;
    }
  }

  /** Returns whether further attempts cannot change the query's response. */
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

  /** Drops the attempts that have not been written completely. */
  void dropUnsent() {
    // Iterates over a copy, as dropping an attempt completes it, which may use the list again.
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
