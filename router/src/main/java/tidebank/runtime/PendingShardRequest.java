package tidebank.runtime;

import java.util.ArrayList;
import java.util.List;

/** A query's request to one shard, with all its attempts. */
final class PendingShardRequest {
  private final PendingQuery query;
  private final QueryRequest.ShardTarget target;
  private final String id;
  private final List<AttemptRequest> attempts = new ArrayList<>();

  /** The value that a shard server returned, or null while there is none. */
  private byte[] value;

  PendingShardRequest(PendingQuery query, QueryRequest.ShardTarget target) {
    this.query = query;
    this.target = target;
    this.id = id(query.request(), target);
  }

  /** Returns the id on the wire: the query's id, a dot and the shard's number. */
  static String id(QueryRequest request, QueryRequest.ShardTarget target) {
    return request.id() + '.' + target.shard();
  }

  PendingQuery query() {
    return query;
  }

  QueryRequest.ShardTarget target() {
    return target;
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
  void offerValue(byte[] newValue) {
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

  /** Returns whether a server may have executed an attempt that has completed. */
  boolean mayHaveExecuted() {
    return attempts.stream().anyMatch(AttemptRequest::mayHaveExecuted);
  }

  /** Drops the attempts that have not reached their shard servers. */
  void dropUndelivered() {
    // Iterates over a copy, as dropping an attempt completes it, which may use the list again.
    for (AttemptRequest attempt : List.copyOf(attempts)) {
      attempt.dropUndelivered();
    }
  }

  /** Cancels the attempts that have not completed. */
  void cancelAll() {
    for (AttemptRequest attempt : List.copyOf(attempts)) {
      attempt.cancel();
    }
  }
}
