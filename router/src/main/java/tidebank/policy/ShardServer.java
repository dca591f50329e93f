package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.Settings;

/**
 * The state that a router keeps of one shard server, while the server is listed or has attempts of
 * this router in flight.
 */
final class ShardServer {
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long CONGESTION_SAMPLE_INTERVAL_US = 1_000_000;

  private final String id;
  private final SlowStart slowStart;
  private final OutlierDetector outlierDetector;
  private final List<Attempt> inFlight = new ArrayList<>();
  private int position;
  private double capacity;
  private boolean inService;

  /** Unbounded until the first attempt has ended. */
  private double spilloverThreshold = Double.POSITIVE_INFINITY;

  private long batchAt = -1;
  private long batch;
  private int batchSize;
  private long unreachableSince = Long.MAX_VALUE;
  private long connectionLostAt = NEVER;
  private long lastResponseAt;
  private long lastTimedOutSentAt = -1;
  private long congestionSampledAt = NEVER;
  private long congestedAt = NEVER;

  ShardServer(String id, Settings settings, long shortestObjectiveUs) {
    this.id = id;
    this.slowStart = new SlowStart(id, settings);
    this.outlierDetector = new OutlierDetector(shortestObjectiveUs);
  }

  String id() {
    return id;
  }

  SlowStart slowStart() {
    return slowStart;
  }

  OutlierDetector outlierDetector() {
    return outlierDetector;
  }

  boolean isEjected() {
    return outlierDetector.isEjected();
  }

  /** Returns this router's attempts in flight at the server. */
  List<Attempt> inFlight() {
    return inFlight;
  }

  /** Returns its position on the ring, which determines the shards that it holds. */
  int position() {
    return position;
  }

  void setPosition(int ringPosition) {
    position = ringPosition;
  }

  /** Returns its capacity in the endpoint list, relative to other servers. */
  double capacity() {
    return capacity;
  }

  void setCapacity(double listedCapacity) {
    capacity = listedCapacity;
  }

  boolean isInService() {
    return inService;
  }

  void setInService(boolean listedInService) {
    inService = listedInService;
  }

  /**
   * Returns the load, in requests in flight, above which requests with this primary replica may go
   * to other replicas.
   */
  double spilloverThreshold() {
    return spilloverThreshold;
  }

  void setSpilloverThreshold(double requests) {
    spilloverThreshold = requests;
  }

  // ---- batches

  /** Returns whether a request that is sent now needs a new batch. */
  boolean needsBatch(int maxBatchSize, long now) {
    return batchAt != now || batchSize >= maxBatchSize;
  }

  void openBatch(long number, long now) {
    batchAt = now;
    batch = number;
    batchSize = 0;
  }

  /** Adds a request to the open batch and returns the number of the batch. */
  long joinBatch() {
    batchSize++;
    return batch;
  }

  // ---- responses, timeouts and connection faults

  /** Returns the time of the last response, or 0 if there was none. */
  long lastResponseAt() {
    return lastResponseAt;
  }

  void recordResponse(long now) {
    lastResponseAt = now;
    unreachableSince = Long.MAX_VALUE;
  }

  /**
   * Returns whether it became unreachable at or before the given time, without a response since.
   */
  boolean wasUnreachableBy(double time) {
    return time >= unreachableSince;
  }

  void recordUnreachable(long now) {
    unreachableSince = Math.min(unreachableSince, now);
  }

  void recordConnectionLost(long now) {
    connectionLostAt = now;
  }

  /** Forgets the last lost connection, after a connection fault of another kind. */
  void clearConnectionLost() {
    connectionLostAt = NEVER;
  }

  /**
   * Returns whether its last connection fault was a connection lost with attempts in flight, less
   * than the given time ago.
   */
  boolean lostConnectionWithin(long us, long now) {
    return now - connectionLostAt < us;
  }

  /** Records that an attempt which was sent at the given time has timed out. */
  void recordTimeout(long sentAt) {
    lastTimedOutSentAt = Math.max(lastTimedOutSentAt, sentAt);
  }

  /** Returns whether it has not responded since the last timed-out attempt was sent. */
  boolean isUnresponsive() {
    return lastTimedOutSentAt >= lastResponseAt;
  }

  /** Forgets the timed-out attempts, once the connection for the next attempt has been chosen. */
  void clearTimeouts() {
    lastTimedOutSentAt = -1;
  }

  // ---- congestion

  /**
   * Returns whether this observation counts as a congestion sample, and records it if so. One
   * sample per second counts. A congested one counts sooner, unless there was another congested one
   * within the last second.
   */
  boolean takeCongestionSample(boolean congested, long now) {
    boolean due =
        (congested && now - congestedAt >= CONGESTION_SAMPLE_INTERVAL_US)
            || now - congestionSampledAt >= CONGESTION_SAMPLE_INTERVAL_US;
    if (due) {
      congestionSampledAt = now;
      congestedAt = congested ? now : congestedAt;
    }
    return due;
  }
}
