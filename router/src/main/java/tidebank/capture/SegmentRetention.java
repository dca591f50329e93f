package tidebank.capture;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides when a block is flushed, when a new segment starts, which old segments are deleted and
 * when to retry after a failed write. Does no I/O and reads no clock: sizes are passed in bytes,
 * times in microseconds.
 */
final class SegmentRetention {
  private static final int DEFAULT_BLOCK_BYTES = 128 << 10;
  private static final long DEFAULT_BLOCK_AGE_US = 500_000;
  private static final long DEFAULT_SEGMENT_AGE_US = 600_000_000;
  private static final long INITIAL_BACKOFF_US = 1_000_000;
  private static final long MAX_BACKOFF_US = 60_000_000;

  /**
   * Events and actions that may be queued per round of queue capacity. Limits the heap that large
   * rounds take while the disk stalls.
   */
  private static final int ITEMS_PER_ROUND = 32;

  /**
   * A segment on disk.
   *
   * @param number the sequence number in its file name
   * @param bytes the size of the file
   */
  record Segment(long number, long bytes) {}

  /**
   * Sizes and ages of blocks and segments.
   *
   * @param blockBytes uncompressed size at which a block is flushed
   * @param blockAgeUs age of its first record at which a block is flushed
   * @param segmentBytes size at which a new segment starts
   * @param segmentAgeUs age at which a new segment starts
   * @param maxTotalBytes total size of all segments above which the oldest are deleted, the open
   *     segment counted with {@code segmentBytes}
   */
  record Limits(
      int blockBytes, long blockAgeUs, long segmentBytes, long segmentAgeUs, long maxTotalBytes) {
    /**
     * Returns limits with the default block size, block age and segment age. Block size and age
     * bound the data that a crash can lose.
     */
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
   * @param queuedItems number of events and actions in the queue
   * @param newItems number of events and actions of the round
   * @param queueCapacity maximum number of rounds in the queue
   */
  static boolean hasRoomFor(long queuedItems, int newItems, int queueCapacity) {
    return queuedItems == 0 || queuedItems + newItems <= (long) ITEMS_PER_ROUND * queueCapacity;
  }

  /**
   * Returns whether a block has reached its maximum size or age.
   *
   * @param bytes uncompressed size of the block
   * @param startedAtUs time of its first record
   * @param nowUs the current time
   */
  boolean shouldFlushBlock(int bytes, long startedAtUs, long nowUs) {
    return bytes >= limits.blockBytes()
        || (bytes > 0 && nowUs - startedAtUs >= limits.blockAgeUs());
  }

  /**
   * Returns whether a segment has reached its maximum size or age.
   *
   * @param bytes size of the file
   * @param openedAtUs time when it was opened
   * @param nowUs the current time
   */
  boolean shouldRollSegment(long bytes, long openedAtUs, long nowUs) {
    return bytes >= limits.segmentBytes() || nowUs - openedAtUs >= limits.segmentAgeUs();
  }

  /** Returns the oldest segments to delete so that a new segment of full size fits. */
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

  /** Returns whether no backoff is in effect. */
  boolean canWrite(long nowUs) {
    return nowUs >= retryAtUs;
  }

  /** Starts a backoff, twice as long as the previous one up to a maximum; returns its end. */
  long recordFailure(long nowUs) {
    retryAtUs = nowUs + backoffUs;
    backoffUs = Math.min(MAX_BACKOFF_US, 2 * backoffUs);
    return retryAtUs;
  }

  /** Ends the backoff and resets its length. */
  void recordSuccess() {
    backoffUs = INITIAL_BACKOFF_US;
    retryAtUs = Long.MIN_VALUE;
  }
}
