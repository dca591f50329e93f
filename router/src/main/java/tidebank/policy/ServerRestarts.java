package tidebank.policy;

import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/** Begins the slow start of servers that have restarted, as notified or as observed. */
final class ServerRestarts {
  private static final double UNREACHABLE_OBJECTIVE_SHARE = 0.5;

  private final long batchOverheadUs;

  /** A server that could not be reached for longer has restarted; a lone refusal is no sign. */
  private final double unreachableUs;

  private final double minResponseUs;
  private final LatencyTracker latency;
  private final SeededRandom random;

  ServerRestarts(
      Settings settings, long shortestObjectiveUs, LatencyTracker latency, SeededRandom random) {
    this.batchOverheadUs = settings.layout().batchOverheadUs();
    this.unreachableUs = shortestObjectiveUs * UNREACHABLE_OBJECTIVE_SHARE;
    this.minResponseUs = shortestObjectiveUs * LatencyTracker.INITIAL_RESPONSE_SHARE;
    this.latency = latency;
    this.random = random;
  }

  /** Records a response to an attempt; the first one after a long silence means a restart. */
  void recordResponse(ShardServer server, long sentAt, long now) {
    boolean restarted = server.wasUnreachableBy(sentAt - unreachableUs);
    server.recordResponse(now);
    if (restarted) {
      recordStart(server, now, now);
    }
  }

  /** Records that a server started at the given time. */
  void recordStart(ShardServer server, long startedAt, long now) {
    double batchUs = Math.max(latency.baselineResponseUs(), minResponseUs) + batchOverheadUs;
    server.slowStart().begin(startedAt, server.capacity(), batchUs, random, now);
  }
}
