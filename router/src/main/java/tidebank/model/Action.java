package tidebank.model;

/** What an instance wants done, in this order. */
public sealed interface Action {
  /** Send a part; the dispatch is dropped at {@code deadline}. */
  record SendAttempt(String shardRequest, String server, long deadline) implements Action {}

  /** Stop waiting for a dispatch. */
  record CancelAttempt(String shardRequest, int attempt) implements Action {}

  /** Answer a scan from the parts that are in. */
  record Respond(String query, boolean complete) implements Action {}

  /** Turn a scan away: trying again is harmless. */
  record Throttle(String query, long retryAfterUs) implements Action {}

  /** Give a scan up: no promise about its effect. */
  record Fail(String query) implements Action {}

  /** Wake this instance after {@code delayUs} microseconds with {@code token}. */
  record SetTimer(long delayUs, long token) implements Action {}

  /** Ask a shard server for its load report. */
  record CheckHealth(String server) implements Action {}

  /**
   * Use this instance's present connections to a shard server no more; each closes once nothing is
   * out on it.
   */
  record RetireConnections(String server) implements Action {}

  /** Start or stop watching discovery. */
  record WatchEndpoints(boolean enabled) implements Action {}

  /** A line for the log. */
  record LogNote(String message) implements Action {}
}
