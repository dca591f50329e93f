package tidebank.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * An index of the open queries and their shard requests. It also keeps requests of closed queries
 * while attempts of them are in flight.
 */
final class QueryTable {
  private final Map<String, Query> byId = new HashMap<>();
  private final Map<Long, Query> byNumber = new HashMap<>();
  private final Map<String, ShardRequest> requests = new HashMap<>();

  /** Returns the open query with this id, or null. */
  Query openQuery(String id) {
    Query query = byId.get(id);
    return query != null && query.isOpen() ? query : null;
  }

  /** Returns the open query with this sequence number, or null. */
  Query openQuery(long number) {
    Query query = byNumber.get(number);
    return query != null && query.isOpen() ? query : null;
  }

  Collection<Query> queries() {
    return byId.values();
  }

  /**
   * Returns an attempt of a shard request, or null if it is not in flight.
   *
   * @param attemptNumber the attempt's position among the attempts of its request, from 0
   */
  Attempt attemptInFlight(String requestId, int attemptNumber) {
    ShardRequest request = requests.get(requestId);
    if (request == null || attemptNumber >= request.attempts().size()) {
      return null;
    }
    Attempt attempt = request.attempts().get(attemptNumber);
    return attempt.isInFlight() ? attempt : null;
  }

  void add(Query query) {
    byId.put(query.id(), query);
    byNumber.put(query.number(), query);
  }

  /** Adds a request to its query. */
  void add(ShardRequest request) {
    request.query().requests().add(request);
    requests.put(request.id(), request);
  }

  /** Removes a closed query; its requests stay while they have attempts in flight. */
  void remove(Query query) {
    byId.remove(query.id());
    byNumber.remove(query.number());
    query.requests().forEach(this::removeIfDone);
  }

  /** Removes a request if its query is closed and none of its attempts is in flight. */
  void removeIfDone(ShardRequest request) {
    if (!request.query().isOpen() && !request.hasAttemptInFlight()) {
      requests.remove(request.id());
    }
  }
}
