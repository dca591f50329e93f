package tidebank.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/**
 * Begins the slow start of restarted servers. Discovery reports a restart, or the policy infers one
 * from a response after the server was unreachable.
 *
 * <p>A listed start time is Unix time of a clock that may have been stepped since this router
 * started, so it is not compared with the router's own clock: only that it differs from the one
 * that was listed before shows a restart. The slow start then counts from the time of the list. In
 * the first list there is nothing to compare with, and the router has read the same clock at its
 * own start, so the listed time is taken as it is.
 */
final class ServerRestarts {
  private static final double UNREACHABLE_OBJECTIVE_SHARE = 0.5;

  /** Twice the planned number of servers, as those that are gone are remembered as well. */
  private static final int MAX_SERVERS = 10_000;

  private static final int INITIAL_SERVERS = 16;
  private static final float LOAD_FACTOR = 0.75f;

  /**
   * The start of a server.
   *
   * @param listedStart the start time that was listed last, other than 0 if there was one
   * @param slowStartAt when its slow start began by this router's clock; 0 if it had none
   */
  private record KnownStart(long listedStart, long slowStartAt) {}

  private final long batchOverheadUs;

  /**
   * How long a server must have been unreachable before its next response counts as a restart, in
   * microseconds. A single failed connection attempt says nothing about a restart.
   */
  private final double unreachableUs;

  private final double minResponseTimeUs;
  private final LatencyTracker latency;
  private final SeededRandom random;

  /** The last known start of each server, also of servers that are no longer listed. */
  private final Map<String, KnownStart> knownStarts =
      new LinkedHashMap<>(INITIAL_SERVERS, LOAD_FACTOR, true) {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, KnownStart> leastRecentlyListed) {
          return size() > MAX_SERVERS;
        }
      };

  private boolean hasReceivedList;

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

  /**
   * Records the start time that a list has for a server, or 0 if it started long ago. Returns
   * whether it shows a start that this router has not known.
   */
  boolean recordListed(ShardServer server, long listedStart, long now) {
    KnownStart known = knownStarts.get(server.id());
    boolean isNew = known == null || (listedStart > 0 && known.listedStart() != listedStart);
    if (isNew) {
      known = new KnownStart(listedStart, slowStartAt(listedStart, now));
      knownStarts.put(server.id(), known);
    }
    if (known.slowStartAt() > server.slowStart().startedAt()) {
      recordStart(server, known.slowStartAt(), now);
    }
    return isNew && listedStart > 0;
  }

  private long slowStartAt(long listedStart, long now) {
    if (listedStart == 0) {
      return 0;
    }
    return hasReceivedList ? now : Math.min(listedStart, now);
  }

  /** Records that a list was applied. Later ones are compared with it unless it was empty. */
  void listApplied(boolean isEmpty) {
    hasReceivedList |= !isEmpty;
  }

  /** Records that a server started at {@code startedAt}, and begins its slow start. */
  private void recordStart(ShardServer server, long startedAt, long now) {
    double batchUs = Math.max(latency.baselineResponseUs(), minResponseTimeUs) + batchOverheadUs;
    server.slowStart().begin(startedAt, server.capacity(), batchUs, random, now);
  }
}
