package tidebank.runtime;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import tidebank.runtime.ResponseCallback.Value;

/**
 * A query from its receipt to its final response, with its shard requests. Holds the data that the
 * policy does not need: the body, the values received so far and the callback for the response.
 */
final class PendingQuery {
  /**
   * How long a check of the client's connection stays valid. PROTOCOL forbids sending attempts more
   * than 0.1 s after the client closed its connection; this is a tenth of that.
   */
  private static final long CLIENT_CHECK_VALID_US = 10_000;

  private final QueryRequest request;
  private final long number;
  private final Map<String, PendingShardRequest> shardRequests = new LinkedHashMap<>();

  /** Null once the query has its final response or its client has disconnected. */
  private ResponseCallback callback;

  private long clientCheckedAt;
  private long lastAttemptAt;

  PendingQuery(QueryRequest request, long number, ResponseCallback callback, long now) {
    this.request = request;
    this.number = number;
    this.callback = callback;
    this.clientCheckedAt = now;
    for (QueryRequest.ShardTarget target : request.targets()) {
      PendingShardRequest shardRequest = new PendingShardRequest(this, target);
      shardRequests.put(shardRequest.id(), shardRequest);
    }
  }

  String id() {
    return request.id();
  }

  QueryRequest request() {
    return request;
  }

  /** Returns the number that identifies the query to the policy. */
  long number() {
    return number;
  }

  /** Returns the shard requests, in the order in which the client listed the shards. */
  Collection<PendingShardRequest> shardRequests() {
    return shardRequests.values();
  }

  boolean isOpen() {
    return callback != null;
  }

  /** Closes the query and returns the callback for its final response. */
  ResponseCallback close() {
    ResponseCallback closed = callback;
    callback = null;
    return closed;
  }

  /**
   * Closes the query if its client has disconnected, unless the connection was checked less than
   * {@link #CLIENT_CHECK_VALID_US} ago. Returns whether this call closed the query.
   */
  boolean closeIfClientDisconnected(long now) {
    if (callback == null || now - clientCheckedAt < CLIENT_CHECK_VALID_US) {
      return false;
    }
    clientCheckedAt = now;
    callback.pollClientConnection();
    return callback == null;
  }

  /** Returns whether an attempt of any shard request was created. */
  boolean hasAttempts() {
    return shardRequests.values().stream().anyMatch(one -> !one.attempts().isEmpty());
  }

  /** Records that an attempt was created. */
  void recordAttempt(long now) {
    lastAttemptAt = now;
  }

  /** Describes the progress of the query for the log, as {@code key=value} pairs. */
  String describeProgress(long now) {
    int pendingShards = 0;
    int attempts = 0;
    for (PendingShardRequest shardRequest : shardRequests.values()) {
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
    List<Value> values = new ArrayList<>(shardRequests.size());
    for (PendingShardRequest shardRequest : shardRequests.values()) {
      if (shardRequest.value() != null) {
        values.add(new Value(shardRequest.target().shard(), shardRequest.value()));
      }
    }
    return values;
  }
}
