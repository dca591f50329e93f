package tidebank.capture;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides how a capture is kept: when a block is written, when a segment ends, which old segments
 * are deleted, and when to retry after the disk failed. Pure: sizes in bytes and times in
 * microseconds are passed in.
 */
final class SegmentRetention {
  private static final int DEFAULT_BLOCK_BYTES = 128 << 10;
  private static final long DEFAULT_BLOCK_AGE_US = 500_000;
  private static final long DEFAULT_SEGMENT_AGE_US = 600_000_000;
  private static final long INITIAL_BACKOFF_US = 1_000_000;
  private static final long MAX_BACKOFF_US = 60_000_000;

  /**
   * Events and actions that may wait for each round that may: a stalled disk must not fill the heap
   * with large rounds.
   */
  private static final int ITEMS_PER_ROUND = 32;

  /**
   * A segment on disk.
   *
   * @param number its place in the capture
   * @param bytes its size
   */
  record Segment(long number, long bytes) {}

  /**
   * Sizes and ages of blocks and segments.
   *
   * @param blockBytes a block is written when its records take so many bytes
   * @param blockAgeUs or when its first record is so old
   * @param segmentBytes a segment ends past this size
   * @param segmentAgeUs or past this age
   * @param maxTotalBytes all segments together stay below this, the open one counted with its full
   *     size
   */
  record Limits(
      int blockBytes, long blockAgeUs, long segmentBytes, long segmentAgeUs, long maxTotalBytes) {
    /** Limits with the default block size and ages, which bound what a crash may lose. */
    static Limits of(long segmentBytes, long maxTotalBytes) {
      return new Limits(
          DEFAULT_BLOCK_BYTES,
          DEFAULT_BLOCK_AGE_US,
          segmentBytes,
          DEFAULT_SEGMENT_AGE_US,
          maxTotalBytes);
    }
  }

  private final Limits limits;
  private long retryAtUs = Long.MIN_VALUE;
  private long backoffUs = INITIAL_BACKOFF_US;

  SegmentRetention(Limits limits) {
    this.limits = limits;
  }

  /**
   * Returns whether a round may be queued.
   *
   * @param queuedItems events and actions in the queue
   * @param newItems events and actions of the round
   * @param queueCapacity rounds that fit in the queue
   */
  static boolean hasRoomFor(long queuedItems, int newItems, int queueCapacity) {
    return queuedItems == 0 || queuedItems + newItems <= (long) ITEMS_PER_ROUND * queueCapacity;
  }

  boolean shouldFlushBlock(int bytes, long startedAt, long now) {
    return bytes >= limits.blockBytes() || (bytes > 0 && now - startedAt >= limits.blockAgeUs());
  }

  boolean shouldRollSegment(long bytes, long openedAt, long now) {
    return bytes >= limits.segmentBytes() || now - openedAt >= limits.segmentAgeUs();
  }

  /** Returns the oldest segments that must go so that a new one of full size fits. */
  List<Segment> segmentsToDelete(List<Segment> oldestFirst) {
    long totalBytes = limits.segmentBytes();
    for (Segment segment : oldestFirst) {
      totalBytes += segment.bytes();
    }
    List<Segment> expired = new ArrayList<>();
    for (Segment segment : oldestFirst) {
      if (totalBytes <= limits.maxTotalBytes()) {
        break;
      }
      expired.add(segment);
      totalBytes -= segment.bytes();
    }
    return expired;
  }

  boolean canWrite(long now) {
    return now >= retryAtUs;
  }

  /** Doubles the backoff; returns the time before which nothing is to be written. */
  long recordFailure(long now) {
    retryAtUs = now + backoffUs;
    backoffUs = Math.min(MAX_BACKOFF_US, 2 * backoffUs);
    return retryAtUs;
  }

  void recordSuccess() {
    backoffUs = INITIAL_BACKOFF_US;
    retryAtUs = Long.MIN_VALUE;
  }
}
