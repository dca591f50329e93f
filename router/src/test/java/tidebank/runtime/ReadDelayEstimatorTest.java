package tidebank.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Since when bytes may have waited, by what the event loop was doing before it read them. */
class ReadDelayEstimatorTest {
  private static final long REST_US = 5_000;

  private final ReadDelayEstimator passes = new ReadDelayEstimator(REST_US);

  private long readAt(long now) {
    passes.active(now);
    return passes.arrivedSince();
  }

  @Test
  void whatWakesALoopThatRestedHasJustArrived() {
    assertThat(readAt(1_000_000)).isEqualTo(1_000_000);
    passes.ended(1_001_000);
    assertThat(readAt(1_001_000 + REST_US + 1)).isEqualTo(1_001_000 + REST_US + 1);
  }

  @Test
  void whatIsReadBehindALongPassMayHaveArrivedSinceThatBegan() {
    readAt(1_000_000);
    passes.ended(1_200_000);
    assertThat(readAt(1_201_000)).isEqualTo(1_000_000);
    passes.ended(1_210_000);
    // Had it been there before that pass polled, that pass would have read it.
    assertThat(readAt(1_211_000)).isEqualTo(1_201_000);
  }

  @Test
  void allThatOnePassReadsHasWaitedEquallyLongAtTheMost() {
    readAt(1_000_000);
    passes.ended(1_100_000);
    long first = readAt(1_101_000);
    assertThat(readAt(1_150_000)).isEqualTo(first).isEqualTo(1_000_000);
    assertThat(passes.number()).isEqualTo(2);
  }
}
