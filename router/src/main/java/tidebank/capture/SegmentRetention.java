package tidebank.capture;

import java.util.ArrayList;
import java.util.List;

/**
 * Decides how a capture is kept: when a block is written, when a segment ends, which old ones go,
 * and when to try again after the disk failed. Pure: sizes and times come in, whole microseconds
 * and bytes.
 */
final class SegmentRetention {
  /** A kept segment. */
  record Segment(long number, long bytes) {}

  /**
   * The bounds.
   *
   * @param blockBytes a block is written when its entries take so many bytes
   * @param blockUs or when its first entry is so old
   * @param segmentBytes a segment ends past this size
   * @param segmentUs or past this age
   * @param budgetBytes all segments together stay below this, the open one counted with its full
   *     size
   */
  record Bounds(int blockBytes, long blockUs, long segmentBytes, long segmentUs, long budgetBytes) {
    /**
     * A block of 128 KB or half a second, a segment of ten minutes: what a kill may cost, and what
     * one file holds.
     */
    static Bounds of(long segmentBytes, long budgetBytes) {
      return new Bounds(128 << 10, 500_000, segmentBytes, 600_000_000, budgetBytes);
    }
  }

  /** First wait after a failure; doubled each time up to the most. */
  private static final long RETRY_FIRST_US = 1_000_000;

  private static final long RETRY_MOST_US = 60_000_000;

  /**
   * Events and actions that may wait for each turn that may: a stalled disk must not fill the heap
   * with large turns.
   */
  private static final int A_TURN = 32;

  private final Bounds bounds;
  private long retryAt = Long.MIN_VALUE;
  private long wait = RETRY_FIRST_US;

  SegmentRetention(Bounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Whether a turn of so many events and actions may wait beside so many, in a ring of so many
   * turns.
   */
  static boolean mayWait(long waiting, int more, int ringTurns) {
    return waiting == 0 || waiting + more <= (long) A_TURN * ringTurns;
  }

  boolean blockIsDue(int bytes, long firstAt, long now) {
    return bytes >= bounds.blockBytes() || bytes > 0 && now - firstAt >= bounds.blockUs();
  }

  boolean segmentIsDue(long bytes, long openedAt, long now) {
    return bytes >= bounds.segmentBytes() || now - openedAt >= bounds.segmentUs();
  }

  /** The oldest segments that must go so that a new one of full size fits the budget. */
  List<Segment> tooMany(List<Segment> oldestFirst) {
    long sum = bounds.segmentBytes();
    for (Segment segment : oldestFirst) {
      sum += segment.bytes();
    }
    List<Segment> go = new ArrayList<>();
    for (Segment segment : oldestFirst) {
      if (sum <= bounds.budgetBytes()) {
        break;
      }
      go.add(segment);
      sum -= segment.bytes();
    }
    return go;
  }

  boolean mayWrite(long now) {
    return now >= retryAt;
  }

  /** The disk failed; until the moment returned nothing is tried. */
  long failed(long now) {
    retryAt = now + wait;
    wait = Math.min(RETRY_MOST_US, 2 * wait);
    return retryAt;
  }

  void wrote() {
    wait = RETRY_FIRST_US;
    retryAt = Long.MIN_VALUE;
  }
}
