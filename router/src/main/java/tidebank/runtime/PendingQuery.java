package tidebank.runtime;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.runtime.ResponseCallback.Value;

/**
 * A query from its receipt to its final response, with its shard requests. Holds what the decisions
 * do not need: the body, the values received so far and the callback that gets the response.
 */
final class PendingQuery {
  /**
   * PROTOCOL: nothing is sent more than 0.1 s after a client closed. A check of its connection
   * counts as fresh for a tenth of that.
   */
  private static final long CLIENT_CHECK_VALID_US = 10_000;

  private final QueryRequest request;
  private final long number;
  private final Map<String, PendingShardRequest> requests = new LinkedHashMap<>();

  /** Null once the query is closed: it has its final response, or its client disconnected. */
  private ResponseCallback callback;

  private long clientCheckedAt;
  private long lastAttemptAt;

  PendingQuery(QueryRequest request, long number, ResponseCallback callback, long now) {
    this.request = request;
    this.number = number;
    this.callback = callback;
    this.clientCheckedAt = now;
    for (QueryRequest.ShardRange range : request.ranges()) {
      PendingShardRequest shardRequest = new PendingShardRequest(this, range);
      requests.put(shardRequest.id(), shardRequest);
    }
  }

  String id() {
    return request.id();
  }

  QueryRequest request() {
    return request;
  }

  /** Returns the number under which the decisions know the query. */
  long number() {
    return number;
  }

  /** Returns its shard requests, in the order in which the client listed them. */
  Collection<PendingShardRequest> requests() {
    return requests.values();
  }

  boolean isOpen() {
    return callback != null;
  }

  /** Closes the query and returns the callback that its final response goes to. */
  ResponseCallback close() {
    ResponseCallback last = callback;
    callback = null;
    return last;
  }

  /**
   * Checks whether the client is still connected, unless that was checked a moment ago. Closes the
   * query if it is not. Returns whether this call found the client gone.
   */
  boolean clientGone(long now) {
    if (callback == null || now - clientCheckedAt < CLIENT_CHECK_VALID_US) {
      return false;
    }
    clientCheckedAt = now;
    callback.checkClient();
    return callback == null;
  }

  /** Notes that an attempt was created. */
  void attempted(long now) {
    lastAttemptAt = now;
  }

  /** Describes what has come of it for the log, as {@code key=value} pairs. */
  String describe(long now) {
    int pendingShards = 0;
    int attempts = 0;
    for (PendingShardRequest shardRequest : requests.values()) {
      pendingShards += shardRequest.value() == null ? 1 : 0;
      attempts += shardRequest.attempts().size();
    }
    long sinceLastMs = attempts == 0 ? -1 : (now - lastAttemptAt) / 1000;
    return "pending_shards="
        + pendingShards
        + " attempts="
        + attempts
        + " last_attempt_ms_ago="
        + sinceLastMs;
  }

  /** Returns the values received so far, in the order in which the client listed the shards. */
  List<Value> values() {
    List<Value> values = new ArrayList<>(requests.size());
    for (PendingShardRequest shardRequest : requests.values()) {
      if (shardRequest.value() != null) {
        values.add(new Value(shardRequest.range().shard(), shardRequest.value()));
      }
    }
    return values;
  }
}
