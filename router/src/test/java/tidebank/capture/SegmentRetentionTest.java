package tidebank.capture;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import tidebank.capture.SegmentRetention.Limits;
import tidebank.capture.SegmentRetention.Segment;

/**
 * Tests the limits of the queue, of blocks and of segments, and the backoff after failed writes.
 */
class SegmentRetentionTest {
  private final SegmentRetention retention =
      new SegmentRetention(new Limits(1000, 500, 10_000, 60_000, 50_000));

  /** Guards against a queue bounded by rounds only, in which large rounds could fill the heap. */
  @Test
  void queueLimitCountsEventsAndActionsOfRounds() {
    assertThat(SegmentRetention.hasRoomFor(0, 1_000_000, 16)).isTrue();
    assertThat(SegmentRetention.hasRoomFor(500, 12, 16)).isTrue();
    assertThat(SegmentRetention.hasRoomFor(500, 13, 16)).isFalse();
  }

  /** Guards against blocks that stay in memory, or segments that grow, beyond their limits. */
  @Test
  void blocksAndSegmentsEndAtMaximumSizeOrAge() {
    assertThat(retention.shouldFlushBlock(999, 0, 499)).isFalse();
    assertThat(retention.shouldFlushBlock(1000, 0, 0)).isTrue();
    assertThat(retention.shouldFlushBlock(1, 0, 500)).isTrue();
    assertThat(retention.shouldFlushBlock(0, 0, 500)).isFalse();
    assertThat(retention.shouldRollSegment(9_999, 0, 59_999)).isFalse();
    assertThat(retention.shouldRollSegment(10_000, 0, 0)).isTrue();
    assertThat(retention.shouldRollSegment(0, 0, 60_000)).isTrue();
  }

  /** Guards against a total size over the limit once the new segment is full. */
  @Test
  void oldestSegmentsAreDeletedUntilFullSegmentFits() {
    List<Segment> segments =
        List.of(new Segment(1, 9_000), new Segment(2, 20_000), new Segment(3, 20_000));
    assertThat(retention.segmentsToDelete(segments)).containsExactly(segments.get(0));
    assertThat(retention.segmentsToDelete(segments.subList(1, 3))).isEmpty();
  }

  /** Guards against retries in every block on a failed disk, and long pauses after it recovered. */
  @Test
  void backoffDoublesOnFailureAndResetsOnSuccess() {
    assertThat(retention.recordFailure(0)).isEqualTo(1_000_000);
    assertThat(retention.canWrite(999_999)).isFalse();
    assertThat(retention.canWrite(1_000_000)).isTrue();
    long retryAtUs = 0;
    for (int i = 0; i < 10; i++) {
      retryAtUs = retention.recordFailure(0);
    }
    assertThat(retryAtUs).isEqualTo(60_000_000);
    retention.recordSuccess();
    assertThat(retention.recordFailure(5)).isEqualTo(1_000_005);
  }
}
