package tidebank.runtime;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The table of queries without a final response, and of shard requests that belong to such a query
 * or still have an attempt in flight. Confined to the event loop.
 */
final class PendingQueries {
  private final Map<String, PendingQuery> queries = new HashMap<>();
  private final Map<String, PendingShardRequest> requests = new HashMap<>();
  private final int maxPending;

  /** The number of open queries plus that of their shard requests. */
  private int pending;

  private long lastNumber;

  PendingQueries(int maxPending) {
    this.maxPending = maxPending;
  }

  /** Returns whether the limit on pending queries and shard requests allows this query. */
  boolean hasCapacity(QueryRequest request) {
    return pending <= maxPending - weight(request);
  }

  private static int weight(QueryRequest request) {
    return 1 + request.ranges().size();
  }

  /** Returns whether a query with this id is open or still has an attempt in flight. */
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

  /** Returns the open query with this id, or null. */
  PendingQuery find(String id) {
    return queries.get(id);
  }

  /** Returns the shard request with this id, or null. */
  PendingShardRequest findRequest(String id) {
    return requests.get(id);
  }

  boolean isEmpty() {
    return queries.isEmpty();
  }

  /** Returns a copy of the list of open queries. */
  List<PendingQuery> snapshot() {
    return List.copyOf(queries.values());
  }

  /**
   * Closes a query and drops its attempts that have not been written completely. Returns the
   * callback for its final response.
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

  /** Removes a shard request if its query is closed and all its attempts have completed. */
  void removeIfDone(PendingShardRequest shardRequest) {
    if (shardRequest.isDone()) {
      requests.remove(shardRequest.id());
    }
  }
}
