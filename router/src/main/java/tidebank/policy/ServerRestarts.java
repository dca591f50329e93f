package tidebank.policy;

import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/**
 * Begins the slow start of restarted servers. Discovery reports a restart, or the policy infers one
 * from a response after the server was unreachable.
 */
final class ServerRestarts {
  private static final double UNREACHABLE_OBJECTIVE_SHARE = 0.5;

  private final long batchOverheadUs;

  /**
   * How long a server must have been unreachable before its next response counts as a restart, in
   * microseconds. A single failed connection attempt says nothing about a restart.
   */
  private final double unreachableUs;

  private final double minResponseTimeUs;
  private final LatencyTracker latency;
  private final SeededRandom random;

  ServerRestarts(
      Settings settings, long shortestObjectiveUs, LatencyTracker latency, SeededRandom random) {
    this.batchOverheadUs = settings.layout().batchOverheadUs();
    this.unreachableUs = shortestObjectiveUs * UNREACHABLE_OBJECTIVE_SHARE;
    this.minResponseTimeUs = shortestObjectiveUs * LatencyTracker.INITIAL_RESPONSE_SHARE;
    this.latency = latency;
    this.random = random;
  }

  /**
   * Records a response to an attempt. If the server had been unreachable for long when the attempt
   * was sent, it counts as restarted now.
   */
  void recordResponse(ShardServer server, long sentAt, long now) {
    boolean restarted = server.wasUnreachableBy(sentAt - unreachableUs);
    server.recordResponse(now);
    if (restarted) {
      recordStart(server, now, now);
    }
  }

  /** Records that a server started at {@code startedAt}, and begins its slow start. */
  void recordStart(ShardServer server, long startedAt, long now) {
    double batchUs = Math.max(latency.baselineResponseUs(), minResponseTimeUs) + batchOverheadUs;
    server.slowStart().begin(startedAt, server.capacity(), batchUs, random, now);
  }
}
