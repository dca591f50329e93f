package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.Settings;

/** What a router knows of one shard server, as long as it is listed or something is in flight. */
final class ShardServer {
  private static final long NEVER = Long.MIN_VALUE / 2;
  private static final long SAMPLE_INTERVAL_US = 1_000_000;

  private final String id;
  private final SlowStart slowStart;
  private final OutlierDetector outlierDetector;
  private final List<Attempt> inFlight = new ArrayList<>();
  private int position;
  private double capacity;
  private boolean inService;

  /** No bound before its first response. */
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

  /** Returns this router's attempts in flight there. */
  List<Attempt> inFlight() {
    return inFlight;
  }

  int position() {
    return position;
  }

  void setPosition(int place) {
    position = place;
  }

  /** Returns its capacity as listed. */
  double capacity() {
    return capacity;
  }

  void setCapacity(double listed) {
    capacity = listed;
  }

  boolean isInService() {
    return inService;
  }

  void setInService(boolean listed) {
    inService = listed;
  }

  /** Returns how many requests it may hold as primary replica before others take over. */
  double spilloverThreshold() {
    return spilloverThreshold;
  }

  void setSpilloverThreshold(double requests) {
    spilloverThreshold = requests;
  }

  // ---- batches

  /** Returns whether a request sent now needs a new batch. */
  boolean needsBatch(int maxBatchSize, long now) {
    return batchAt != now || batchSize >= maxBatchSize;
  }

  void openBatch(long number, long now) {
    batchAt = now;
    batch = number;
    batchSize = 0;
  }

  /** Adds a request to the open batch and returns its number. */
  long joinBatch() {
    batchSize++;
    return batch;
  }

  // ---- responses and silence

  /** Returns when it last responded, or 0. */
  long lastResponseAt() {
    return lastResponseAt;
  }

  void recordResponse(long now) {
    lastResponseAt = now;
    unreachableSince = Long.MAX_VALUE;
  }

  /** Returns whether it could not be reached at that time or before, with no response since. */
  boolean wasUnreachableBy(double time) {
    return time >= unreachableSince;
  }

  void recordUnreachable(long now) {
    unreachableSince = Math.min(unreachableSince, now);
  }

  void recordConnectionLost(long now) {
    connectionLostAt = now;
  }

  /** Records a connection fault without requests in flight on it. */
  void clearConnectionLost() {
    connectionLostAt = NEVER;
  }

  /** Returns whether its last connection fault was one with requests in flight, and recent. */
  boolean lostConnectionWithin(long us, long now) {
    return now - connectionLostAt < us;
  }

  /** Records an attempt that timed out. */
  void recordTimeout(long sentAt) {
    lastTimedOutSentAt = Math.max(lastTimedOutSentAt, sentAt);
  }

  /** Returns whether it has not responded since the latest timed-out attempt was sent. */
  boolean isSilent() {
    return lastTimedOutSentAt >= lastResponseAt;
  }

  /** Forgets the timed-out attempts, as its connections are replaced. */
  void clearSilence() {
    lastTimedOutSentAt = -1;
  }

  // ---- congestion

  /** Returns whether a congestion sample is due, and takes note of it if so. */
  boolean takeCongestionSample(boolean congested, long now) {
    boolean due =
        (congested && now - congestedAt >= SAMPLE_INTERVAL_US)
            || now - congestionSampledAt >= SAMPLE_INTERVAL_US;
    if (due) {
      congestionSampledAt = now;
      congestedAt = congested ? now : congestedAt;
    }
    return due;
  }
}
