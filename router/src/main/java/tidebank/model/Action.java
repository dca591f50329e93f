package tidebank.model;

/**
 * An output of a routing policy: one instruction, to be executed in the order of the list that a
 * decision round returns. Times are microseconds of the policy's clock; identifiers are those of
 * the events that introduced them.
 */
public sealed interface Action {
  /**
   * Sends an attempt of a shard request to a server; the transport drops it at {@code deadline}.
   */
  record SendAttempt(String shardRequest, String server, long deadline) implements Action {}

  /** Cancels an attempt, given by its index, from 0, among the attempts of its request. */
  record CancelAttempt(String shardRequest, int attempt) implements Action {}

  /**
   * Answers a query with the responses to its shard requests. If its query class has a second
   * stage, the requests of that stage are received afterwards.
   */
  record Respond(String query, boolean complete) implements Action {}

  /**
   * Rejects a query, which the client may safely retry. {@code retryAfterUs} is how long it is told
   * to wait before that, or 0 if it is not told.
   */
  record Throttle(String query, long retryAfterUs) implements Action {}

  /** Fails a query; it may have been executed. */
  record Fail(String query) implements Action {}

  /** Requests a {@link Event.TimerFired} with {@code token} after {@code delayUs}. */
  record SetTimer(long delayUs, long token) implements Action {}

  /** Requests the load report of a shard server. */
  record CheckHealth(String server) implements Action {}

  /**
   * Retires the open connections to a shard server: no further attempt is sent on them, and each is
   * closed once no attempt is in flight on it.
   */
  record RetireConnections(String server) implements Action {}

  /** Starts or stops watching discovery for changes of the endpoint list. */
  record WatchEndpoints(boolean enabled) implements Action {}

  /** Writes a line to the log. */
  record LogNote(String message) implements Action {}
}
