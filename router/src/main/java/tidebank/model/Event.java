package tidebank.model;

import java.util.List;
import java.util.Map;

/** What an instance is told. */
public sealed interface Event {
  /** How a list of shard servers relates to the one known before. */
  enum ListUpdate {
    DELTA,
    SNAPSHOT,
    CACHED,
    WATCH_LOST,
    /**
     * Discovery is elsewhere now: what watched the old place ends, and nothing is known to be
     * missing yet.
     */
    DISCOVERY_MOVED
  }

  /** The state of a shard server according to discovery. */
  enum EndpointStatus {
    IN_SERVICE,
    DRAINING,
    GONE
  }

  /** One line of the list of shard servers; {@code startedAt} is 0 where the start is long past. */
  record Endpoint(
      String server, int position, EndpointStatus status, long startedAt, double capacity) {}

  /** The list of shard servers, or what changed in it. */
  record EndpointListReceived(ListUpdate update, List<Endpoint> endpoints) implements Event {}

  /**
   * A scan, here since {@code receivedAt}, to be given one final answer before {@code deadline}.
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

  /** A part of the scan with this number. */
  record ShardRequestReceived(String id, long queryNumber, int shard, double weight, String key)
      implements Event {}

  /** A dispatch's one end. {@code requestClosed}: no dispatch of this part can matter any more. */
  record AttemptCompleted(
      String shardRequest,
      int attempt,
      Outcome outcome,
      long durationUs,
      boolean requestClosed,
      Map<String, Double> loadReport)
      implements Event {}

  /** A scan whose client has left. */
  record ClientDisconnected(String query) implements Event {}

  /** The instance ends: every scan, also one still to come, needs its final answer before this. */
  record ShutdownRequested(long deadline) implements Event {}

  /** The timer with this token has fired. */
  record TimerFired(long token) implements Event {}

  /** The end of a probe. */
  record HealthCheckCompleted(
      String server, Outcome outcome, long durationUs, Map<String, Double> loadReport)
      implements Event {}
}
