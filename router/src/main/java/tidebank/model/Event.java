package tidebank.model;

import java.util.List;
import java.util.Map;

/**
 * What a routing policy is notified of. Times are microseconds of the policy's clock, durations end
 * in {@code Us}.
 */
public sealed interface Event {
  /** How an endpoint list relates to the one before. */
  enum ListUpdate {
    /** Holds the endpoints that changed. */
    DELTA,
    /** Holds all endpoints. */
    SNAPSHOT,
    /** Holds all endpoints as last known before a restart; discovery was not asked. */
    CACHED,
    /** Holds nothing: a call to discovery failed, or the watch ended. */
    WATCH_LOST,
    /** Holds nothing: discovery has another address now, and the watch of the old one ended. */
    DISCOVERY_MOVED
  }

  /** The state of a shard server according to discovery. */
  enum EndpointStatus {
    IN_SERVICE,
    DRAINING,
    GONE
  }

  /**
   * One shard server of the endpoint list.
   *
   * @param server its id
   * @param position its place on the ring, which determines the shards that it holds
   * @param status its state
   * @param startedAt when it last started, or 0 where that is long past
   * @param capacity its size relative to other servers
   */
  record Endpoint(
      String server, int position, EndpointStatus status, long startedAt, double capacity) {}

  /** The endpoint list, or what changed in it. */
  record EndpointListReceived(ListUpdate update, List<Endpoint> endpoints) implements Event {}

  /**
   * A query, which needs one final answer before its deadline.
   *
   * @param id its id, which is not used again
   * @param number its number at this router; numbers rise
   * @param queryClass the name of its query class
   * @param tenant whose it is, or an empty text
   * @param receivedAt when its first bytes came
   * @param deadline when its client stops waiting
   * @param clientRetry whether the client marked it as a retry
   * @param key what a client's retries have in common, or an empty text
   */
  record QueryReceived(
      String id,
      long number,
      String queryClass,
      String tenant,
      long receivedAt,
      long deadline,
      boolean clientRetry,
      String key)
      implements Event {}

  /**
   * A shard request of the query with this number.
   *
   * @param id its id, which is not used again
   * @param queryNumber the number of its query
   * @param shard the shard that it goes to
   * @param weight its share of its query's stage, from 0 to 1
   * @param key its idempotency key, or an empty text
   */
  record ShardRequestReceived(String id, long queryNumber, int shard, double weight, String key)
      implements Event {}

  /**
   * The one end of an attempt.
   *
   * @param shardRequest the id of its request
   * @param attempt its place among the attempts of that request, from 0
   * @param outcome how it ended
   * @param durationUs the time since it was sent
   * @param requestClosed whether no further attempt of the request can matter
   * @param loadReport what the server reported of its load, by name
   */
  record AttemptCompleted(
      String shardRequest,
      int attempt,
      Outcome outcome,
      long durationUs,
      boolean requestClosed,
      Map<String, Double> loadReport)
      implements Event {}

  /** The client of a query has disconnected. */
  record ClientDisconnected(String query) implements Event {}

  /** The router shuts down: all queries, also later ones, need their final answer before then. */
  record ShutdownRequested(long deadline) implements Event {}

  /** The timer with this token has fired. */
  record TimerFired(long token) implements Event {}

  /** The end of a health check. */
  record HealthCheckCompleted(
      String server, Outcome outcome, long durationUs, Map<String, Double> loadReport)
      implements Event {}
}
