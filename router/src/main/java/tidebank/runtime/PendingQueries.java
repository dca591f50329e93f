package tidebank.runtime;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * The table of queries without a final response, and of shard requests that belong to such a query
 * or still have an attempt in flight. Confined to the event loop.
 */
final class PendingQueries {
  private final Map<String, PendingQuery> queries = new HashMap<>();
  private final Map<String, PendingShardRequest> shardRequests = new HashMap<>();
  private final ExecutedRequests executed = new ExecutedRequests();
  private final Settings settings;

  /** The number of open queries plus that of their shard requests. */
  private int pendingCount;

  private long lastNumber;

  PendingQueries(Settings settings) {
    this.settings = settings;
  }

  /** Returns whether the limit on pending queries and shard requests allows this query. */
  boolean hasCapacity(QueryRequest request) {
    return pendingCount <= settings.limits().maxPending() - countWithShardRequests(request);
  }

  private static int countWithShardRequests(QueryRequest request) {
    return 1 + request.targets().size();
  }

  /** Returns whether a query with this id is open or still has an attempt in flight. */
  boolean contains(QueryRequest request) {
    if (queries.containsKey(request.id())) {
      return true;
    }
    for (QueryRequest.ShardTarget target : request.targets()) {
      if (shardRequests.containsKey(PendingShardRequest.id(request, target))) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a shard request of this query was executed before and must not be again. */
  boolean mayHaveExecuted(QueryRequest request) {
    return request.targets().stream()
        .anyMatch(target -> executed.contains(PendingShardRequest.id(request, target)));
  }

  /** Adds a query and its shard requests. */
  PendingQuery add(QueryRequest request, ResponseCallback callback, long now) {
    PendingQuery query = new PendingQuery(request, ++lastNumber, callback, now);
    pendingCount += countWithShardRequests(request);
    queries.put(query.id(), query);
    for (PendingShardRequest shardRequest : query.shardRequests()) {
      shardRequests.put(shardRequest.id(), shardRequest);
    }
    return query;
  }

  /** Returns the open query with this id, or null. */
  PendingQuery find(String id) {
    return queries.get(id);
  }

  /** Returns the shard request with this id, or null. */
  PendingShardRequest findShardRequest(String id) {
    return shardRequests.get(id);
  }

  boolean isEmpty() {
    return queries.isEmpty();
  }

  /** Returns a copy of the list of open queries. */
  List<PendingQuery> snapshot() {
    return List.copyOf(queries.values());
  }

  /**
   * Closes a query and drops its attempts that have not reached their shard servers. Returns the
   * callback for its final response.
   */
  ResponseCallback close(PendingQuery query) {
    ResponseCallback callback = query.close();
    queries.remove(query.id());
    pendingCount -= countWithShardRequests(query.request());
    for (PendingShardRequest shardRequest : query.shardRequests()) {
      shardRequest.dropUndelivered();
      removeIfDone(shardRequest);
    }
    return callback;
  }

  /** Removes a shard request if its query is closed and all its attempts have completed. */
  void removeIfDone(PendingShardRequest shardRequest) {
    if (shardRequest.isDone() && shardRequests.remove(shardRequest.id()) != null) {
      recordExecution(shardRequest);
    }
  }

  private void recordExecution(PendingShardRequest shardRequest) {
    String className = shardRequest.query().request().queryClass();
    QueryClass queryClass = settings.queryClasses().get(className);
    boolean isIdempotent = queryClass != null && queryClass.idempotency() == Idempotency.IDEMPOTENT;
    if (!isIdempotent && shardRequest.mayHaveExecuted()) {
      executed.add(shardRequest.id());
    }
  }
}
