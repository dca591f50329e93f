package tidebank.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests the estimate of when bytes arrived for idle, long and unfinished event loop passes. */
class ReadDelayEstimatorTest {
  private static final long REST_US = 5_000;

  private final ReadDelayEstimator passes = new ReadDelayEstimator(REST_US);

  private long readAt(long now) {
    passes.beginPassIfNeeded(now);
    return passes.earliestArrivalTime();
  }

  @Test
  void bytesThatWakeAnIdleLoopHaveJustArrived() {
    assertThat(readAt(1_000_000)).isEqualTo(1_000_000);
    passes.endPass(1_001_000);
    assertThat(readAt(1_001_000 + REST_US + 1)).isEqualTo(1_001_000 + REST_US + 1);
  }

  /** Bytes that arrive during a long pass are only read by the next one, and seem to be new. */
  @Test
  void bytesReadAfterALongPassMayHaveArrivedAtItsStart() {
    readAt(1_000_000);
    passes.endPass(1_200_000);
    assertThat(readAt(1_201_000)).isEqualTo(1_000_000);
    passes.endPass(1_210_000);
    // Bytes that had arrived before the pass at 1_201_000 would have been read by that pass.
    assertThat(readAt(1_211_000)).isEqualTo(1_201_000);
  }

  @Test
  void allReadsOfOnePassHaveTheSameArrivalTime() {
    readAt(1_000_000);
    passes.endPass(1_100_000);
    long first = readAt(1_101_000);
    assertThat(readAt(1_150_000)).isEqualTo(first).isEqualTo(1_000_000);
    assertThat(passes.passNumber()).isEqualTo(2);
  }
}
