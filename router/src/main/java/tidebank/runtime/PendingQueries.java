package tidebank.runtime;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The table of queries without a final response and of shard requests with an attempt in flight.
 * Confined to the event loop.
 */
final class PendingQueries {
  private final Map<String, PendingQuery> queries = new HashMap<>();
  private final Map<String, PendingShardRequest> requests = new HashMap<>();
  private final int maxPending;

  /** How many queries and shard requests of open queries there are. */
  private int pending;

  private long lastNumber;

  PendingQueries(int maxPending) {
    this.maxPending = maxPending;
  }

  /** Returns whether the settings allow one more query with so many shard requests. */
  boolean hasCapacity(QueryRequest request) {
    return pending <= maxPending - weight(request);
  }

  private static int weight(QueryRequest request) {
    return 1 + request.ranges().size();
  }

  /** Returns whether a query of this id is open, or an attempt of one is still in flight. */
  boolean contains(QueryRequest request) {
    if (queries.containsKey(request.id())) {
      return true;
    }
    for (QueryRequest.ShardRange range : request.ranges()) {
      if (requests.containsKey(PendingShardRequest.id(request, range))) {
        return true;
      }
    }
    return false;
  }

  /** Adds a query and its shard requests. */
  PendingQuery add(QueryRequest request, ResponseCallback callback, long now) {
    PendingQuery query = new PendingQuery(request, ++lastNumber, callback, now);
    pending += weight(request);
    queries.put(query.id(), query);
    for (PendingShardRequest shardRequest : query.requests()) {
      requests.put(shardRequest.id(), shardRequest);
    }
    return query;
  }

  /** Returns the open query of this id, or null. */
  PendingQuery find(String id) {
    return queries.get(id);
  }

  /** Returns the shard request of this id, or null. */
  PendingShardRequest findRequest(String id) {
    return requests.get(id);
  }

  boolean isEmpty() {
    return queries.isEmpty();
  }

  /** Returns the open queries as they are now. */
  List<PendingQuery> snapshot() {
    return List.copyOf(queries.values());
  }

  /**
   * Closes a query and drops what of it has not been written. Returns the callback for its final
   * response.
   */
  ResponseCallback close(PendingQuery query) {
    ResponseCallback callback = query.close();
    queries.remove(query.id());
    pending -= weight(query.request());
    for (PendingShardRequest shardRequest : query.requests()) {
      shardRequest.dropUnsent();
      removeIfDone(shardRequest);
    }
    return callback;
  }

  /** Removes a shard request once nothing can come for it any more. */
  void removeIfDone(PendingShardRequest shardRequest) {
    if (shardRequest.isDone()) {
      requests.remove(shardRequest.id());
    }
  }
}
