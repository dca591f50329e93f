package tidebank.model;

/** What an instance wants done, in this order. */
public sealed interface Action {
  /** Send a part; the dispatch is dropped at {@code stopAt}. */
  record SendAttempt(String part, String server, long stopAt) implements Action {}

  /** Stop waiting for a dispatch. */
  record CancelAttempt(String part, int dispatch) implements Action {}

  /** Answer a scan from the parts that are in. */
  record Respond(String scan, boolean whole) implements Action {}

  /** Turn a scan away: trying again is harmless. */
  record Throttle(String scan, long holdOffUs) implements Action {}

  /** Give a scan up: no promise about its effect. */
  record Fail(String scan) implements Action {}

  /** Wake this instance after {@code waitUs} microseconds with {@code token}. */
  record SetTimer(long waitUs, long token) implements Action {}

  /** Ask a shard server for its load report. */
  record CheckHealth(String server) implements Action {}

  /**
   * Use this instance's present connections to a shard server no more; each closes once nothing is
   * out on it.
   */
  record RetireConnections(String server) implements Action {}

  /** Start or stop watching discovery. */
  record WatchEndpoints(boolean on) implements Action {}

  /** A line for the log. */
  record LogNote(String text) implements Action {}
}
