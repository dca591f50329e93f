package tidebank.testbed.capture;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Replays captures that an earlier build stored. */
class StoredCaptureReplayTest {
  private static final Path CAPTURES = Path.of("../router/src/test/resources/fixtures/capture");

  /** Guards against changes of the policy or the capture format that alter stored decisions. */
  @ParameterizedTest
  @CsvSource({"digest, 150, bddd1296", "whole, 150, 113b3e21", "busy, 4000, e9e356d4"})
  void replayRepeatsEveryStoredDecision(String name, long rounds, String digest) throws Exception {
    CaptureReplay.Result result =
        CaptureReplay.replay(CAPTURES.resolve(name), (number, round, actions) -> {});

    assertThat(result.rounds()).isEqualTo(rounds);
    assertThat(result.matching()).isEqualTo(rounds);
    assertThat(result.skipped()).isZero();
    assertThat(result.policyStarts()).isEqualTo(1);
    assertThat(result.damage()).isEqualTo(List.of());
    assertThat(result.divergence()).isNull();
    assertThat(result.digest()).isEqualTo(digest);
  }
}
