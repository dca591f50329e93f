package tidebank.model;

/** What an instance wants done, in this order. */
public sealed interface Action {
  /** Send a part; the dispatch is dropped at {@code stopAt}. */
  record Send(String part, String server, long stopAt) implements Action {}

  /** Stop waiting for a dispatch. */
  record Cancel(String part, int dispatch) implements Action {}

  /** Answer a scan from the parts that are in. */
  record Answer(String scan, boolean whole) implements Action {}

  /** Turn a scan away: trying again is harmless. */
  record Throttle(String scan, long holdOffUs) implements Action {}

  /** Give a scan up: no promise about its effect. */
  record Abandon(String scan) implements Action {}

  /** Wake this instance after {@code waitUs} microseconds with {@code token}. */
  record SetTimer(long waitUs, long token) implements Action {}

  /** Ask a shard server for its load report. */
  record Probe(String server) implements Action {}

  /**
   * Use this instance's present connections to a shard server no more; each closes once nothing is
   * out on it.
   */
  record Close(String server) implements Action {}

  /** Start or stop watching discovery. */
  record Follow(boolean on) implements Action {}

  /** A line for the log. */
  record Note(String text) implements Action {}
}
