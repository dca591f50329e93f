package tidebank.model;

/**
 * What a routing policy wants done, in order. Times are microseconds of the policy's clock,
 * identifiers are those of the events that brought them.
 */
public sealed interface Action {
  /** Sends a shard request to a server; the transport drops the attempt at {@code deadline}. */
  record SendAttempt(String shardRequest, String server, long deadline) implements Action {}

  /** Cancels an attempt, by its place among the attempts of its request, from 0. */
  record CancelAttempt(String shardRequest, int attempt) implements Action {}

  /**
   * Answers a query from the responses of its shard requests. A query class with a second stage
   * then gets the requests of that stage.
   */
  record Respond(String query, boolean complete) implements Action {}

  /** Rejects a query; the client may retry it without harm after {@code retryAfterUs}. */
  record Throttle(String query, long retryAfterUs) implements Action {}

  /** Fails a query; it may have been executed. */
  record Fail(String query) implements Action {}

  /** Asks for a {@link Event.TimerFired} with {@code token} after {@code delayUs}. */
  record SetTimer(long delayUs, long token) implements Action {}

  /** Asks a shard server for its load report. */
  record CheckHealth(String server) implements Action {}

  /**
   * Sends nothing more on the present connections to a shard server; each is closed once nothing is
   * in flight on it.
   */
  record RetireConnections(String server) implements Action {}

  /** Starts or stops watching discovery for changes of the endpoint list. */
  record WatchEndpoints(boolean enabled) implements Action {}

  /** Writes a line to the log. */
  record LogNote(String message) implements Action {}
}
