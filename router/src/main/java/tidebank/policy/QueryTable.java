package tidebank.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** The open queries and their shard requests, and requests that still have attempts in flight. */
final class QueryTable {
  private final Map<String, Query> byId = new HashMap<>();
  private final Map<Long, Query> byNumber = new HashMap<>();
  private final Map<String, ShardRequest> requests = new HashMap<>();

  /** Returns the open query of this id, or null. */
  Query openQuery(String id) {
    Query query = byId.get(id);
    return query != null && query.isOpen() ? query : null;
  }

  /** Returns the open query of this number, or null. */
  Query openQuery(long number) {
    Query query = byNumber.get(number);
    return query != null && query.isOpen() ? query : null;
  }

  Collection<Query> queries() {
    return byId.values();
  }

  /** Returns the attempt of this number if it is in flight, else null. */
  Attempt attemptInFlight(String requestId, int number) {
    ShardRequest request = requests.get(requestId);
    if (request == null || number >= request.attempts().size()) {
      return null;
    }
    Attempt attempt = request.attempts().get(number);
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

  /** Forgets an answered query; its requests stay while attempts are in flight. */
  void remove(Query query) {
    byId.remove(query.id());
    byNumber.remove(query.number());
    query.requests().forEach(this::forgetIfDone);
  }

  /**
   * Forgets a request of a query that is no longer open, once none of its attempts is in flight.
   */
  void forgetIfDone(ShardRequest request) {
    if (!request.query().isOpen() && !request.hasAttemptInFlight()) {
      requests.remove(request.id());
    }
  }
}
