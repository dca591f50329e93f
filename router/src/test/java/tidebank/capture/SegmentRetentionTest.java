package tidebank.capture;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import tidebank.capture.SegmentRetention.Bounds;
import tidebank.capture.SegmentRetention.Segment;

/**
 * How a capture is kept: bounds of what waits and of what stays, and patience with a disk that
 * fails.
 */
class SegmentRetentionTest {
  private final SegmentRetention keeping =
      new SegmentRetention(new Bounds(1000, 500, 10_000, 60_000, 50_000));

  @Test
  void aFewLargeTurnsFillTheRingAsManySmallOnesDo() {
    assertThat(SegmentRetention.mayWait(0, 1_000_000, 16)).isTrue();
    assertThat(SegmentRetention.mayWait(500, 12, 16)).isTrue();
    assertThat(SegmentRetention.mayWait(500, 13, 16)).isFalse();
  }

  @Test
  void blocksAndSegmentsEndBySizeOrAge() {
    assertThat(keeping.blockIsDue(999, 0, 499)).isFalse();
    assertThat(keeping.blockIsDue(1000, 0, 0)).isTrue();
    assertThat(keeping.blockIsDue(1, 0, 500)).isTrue();
    assertThat(keeping.blockIsDue(0, 0, 500)).isFalse();
    assertThat(keeping.segmentIsDue(9_999, 0, 59_999)).isFalse();
    assertThat(keeping.segmentIsDue(10_000, 0, 0)).isTrue();
    assertThat(keeping.segmentIsDue(0, 0, 60_000)).isTrue();
  }

  @Test
  void theOldestGoUntilANewSegmentOfFullSizeFits() {
    List<Segment> old =
        List.of(new Segment(1, 9_000), new Segment(2, 20_000), new Segment(3, 20_000));
    assertThat(keeping.tooMany(old)).containsExactly(old.get(0));
    assertThat(keeping.tooMany(old.subList(1, 3))).isEmpty();
  }

  @Test
  void aDiskThatFailsIsTriedEverMoreSeldomAndAtOnceAgainAfterItWrote() {
    assertThat(keeping.failed(0)).isEqualTo(1_000_000);
    assertThat(keeping.mayWrite(999_999)).isFalse();
    assertThat(keeping.mayWrite(1_000_000)).isTrue();
    long before = 0;
    for (int i = 0; i < 10; i++) {
      before = keeping.failed(0);
    }
    assertThat(before).isEqualTo(60_000_000);
    keeping.wrote();
    assertThat(keeping.failed(5)).isEqualTo(1_000_005);
  }
}
