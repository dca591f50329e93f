package tidebank.model;

import java.util.List;
import java.util.Map;

/**
 * An input of a routing policy: something that has happened. Times are microseconds of the policy's
 * clock; names of durations end in {@code Us}.
 */
public sealed interface Event {
  /** How a received endpoint list relates to the known one. */
  enum ListUpdate {
    /** Contains only the endpoints that changed. */
    DELTA,
    /** Contains all endpoints. */
    SNAPSHOT,
    /** Contains all endpoints as known before a restart; discovery has not been asked. */
    CACHED,
    /** Contains no endpoints: a call to discovery failed, or the watch ended. */
    WATCH_LOST,
    /** Contains no endpoints: discovery has a new address, and the watch at the old one ended. */
    DISCOVERY_MOVED
  }

  /** The state of a shard server as listed by discovery. */
  enum EndpointStatus {
    /** Accepts attempts. */
    IN_SERVICE,
    /** Is about to stop and gets no new attempts. */
    DRAINING,
    /** Has stopped or was removed. */
    GONE
  }

  /**
   * One shard server of the endpoint list.
   *
   * @param server server id
   * @param position position on the ring, which determines the shards that the server holds
   * @param status state of the server
   * @param startedAt when the server last started, or 0 if that was long ago
   * @param capacity capacity relative to other servers
   */
  record Endpoint(
      String server, int position, EndpointStatus status, long startedAt, double capacity) {}

  /** An endpoint list, changes of it, or a failure to get it. */
  record EndpointListReceived(ListUpdate update, List<Endpoint> endpoints) implements Event {}

  /**
   * A query, which needs exactly one final answer before its deadline.
   *
   * @param id query id, which is not reused
   * @param number number of the query at this router, in ascending order
   * @param queryClass name of its query class
   * @param tenant tenant that sent it, or an empty string
   * @param receivedAt when its first bytes arrived
   * @param deadline when its client stops waiting
   * @param clientRetry whether the client marked it as a retry
   * @param key key that a query and its client retries share, or an empty string
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
   * A shard request of a query.
   *
   * @param id shard request id, which is not reused
   * @param queryNumber number of its query
   * @param shard shard that it is for
   * @param weight its share of the total weight of its query's stage, from 0 to 1
   * @param key idempotency key, or an empty string
   */
  record ShardRequestReceived(String id, long queryNumber, int shard, double weight, String key)
      implements Event {}

  /**
   * The end of an attempt, which occurs once for each attempt.
   *
   * @param shardRequest id of its shard request
   * @param attempt its index, from 0, among the attempts of that request
   * @param outcome how it ended
   * @param durationUs time since it was sent
   * @param requestClosed whether further attempts of the request would have no effect
   * @param loadReport load report of the server, by metric
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

  /**
   * The router shuts down: all queries, including later ones, need their final answer before {@code
   * deadline}.
   */
  record ShutdownRequested(long deadline) implements Event {}

  /** The timer that was set with this token has fired. */
  record TimerFired(long token) implements Event {}

  /** The end of a health check. */
  record HealthCheckCompleted(
      String server, Outcome outcome, long durationUs, Map<String, Double> loadReport)
      implements Event {}
}
