package tidebank.capture;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import tidebank.capture.SegmentRetention.Limits;
import tidebank.capture.SegmentRetention.Segment;

/**
 * How a capture is kept: bounds of what waits and of what stays, and patience with a disk that
 * fails.
 */
class SegmentRetentionTest {
  private final SegmentRetention keeping =
      new SegmentRetention(new Limits(1000, 500, 10_000, 60_000, 50_000));

  @Test
  void aFewLargeTurnsFillTheRingAsManySmallOnesDo() {
    assertThat(SegmentRetention.hasRoomFor(0, 1_000_000, 16)).isTrue();
    assertThat(SegmentRetention.hasRoomFor(500, 12, 16)).isTrue();
    assertThat(SegmentRetention.hasRoomFor(500, 13, 16)).isFalse();
  }

  @Test
  void blocksAndSegmentsEndBySizeOrAge() {
    assertThat(keeping.shouldFlushBlock(999, 0, 499)).isFalse();
    assertThat(keeping.shouldFlushBlock(1000, 0, 0)).isTrue();
    assertThat(keeping.shouldFlushBlock(1, 0, 500)).isTrue();
    assertThat(keeping.shouldFlushBlock(0, 0, 500)).isFalse();
    assertThat(keeping.shouldRollSegment(9_999, 0, 59_999)).isFalse();
    assertThat(keeping.shouldRollSegment(10_000, 0, 0)).isTrue();
    assertThat(keeping.shouldRollSegment(0, 0, 60_000)).isTrue();
  }

  @Test
  void theOldestGoUntilANewSegmentOfFullSizeFits() {
    List<Segment> old =
        List.of(new Segment(1, 9_000), new Segment(2, 20_000), new Segment(3, 20_000));
    assertThat(keeping.segmentsToDelete(old)).containsExactly(old.get(0));
    assertThat(keeping.segmentsToDelete(old.subList(1, 3))).isEmpty();
  }

  @Test
  void aDiskThatFailsIsTriedEverMoreSeldomAndAtOnceAgainAfterItWrote() {
    assertThat(keeping.recordFailure(0)).isEqualTo(1_000_000);
    assertThat(keeping.canWrite(999_999)).isFalse();
    assertThat(keeping.canWrite(1_000_000)).isTrue();
    long before = 0;
    for (int i = 0; i < 10; i++) {
      before = keeping.recordFailure(0);
    }
    assertThat(before).isEqualTo(60_000_000);
    keeping.recordSuccess();
    assertThat(keeping.recordFailure(5)).isEqualTo(1_000_005);
  }
}
