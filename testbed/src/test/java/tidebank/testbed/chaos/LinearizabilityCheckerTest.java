package tidebank.testbed.chaos;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tidebank.model.SeededRandom;

/** Checks linearizable and non-linearizable histories of a register with compare-and-set. */
class LinearizabilityCheckerTest {
  private static final long NO_RETURN = Long.MAX_VALUE;

  private static LinearizabilityChecker.Operation<Integer> read(
      long calledAt, long returnedAt, int value) {
    return new LinearizabilityChecker.Operation<>(
        "read " + value, calledAt, returnedAt, state -> state == value ? state : null);
  }

  private static LinearizabilityChecker.Operation<Integer> compareAndSet(
      long calledAt, long returnedAt, int expected, int newValue, boolean succeeded) {
    return new LinearizabilityChecker.Operation<>(
        "set " + expected + " to " + newValue,
        calledAt,
        returnedAt,
        state -> succeeded == (state == expected) ? succeeded ? newValue : state : null);
  }

  private static boolean isLinearizable(List<LinearizabilityChecker.Operation<Integer>> history) {
    return LinearizabilityChecker.check(history, 0).holds();
  }

  /**
   * Guards against undetected stale reads, lost writes and conflicting writes, and against false
   * violations for overlapping operations.
   */
  @Test
  void onlyOverlappingOperationsMayTakeEffectInAnyOrder() {
    assertThat(
            isLinearizable(List.of(compareAndSet(0, 10, 0, 1, true), read(1, 9, 0), read(2, 8, 1))))
        .isTrue();
    assertThat(
            isLinearizable(List.of(compareAndSet(0, 10, 0, 1, true), read(1, 3, 1), read(4, 8, 0))))
        .as("read of the old value after a read of the new one")
        .isFalse();
    assertThat(isLinearizable(List.of(compareAndSet(0, 2, 0, 1, true), read(3, 4, 0))))
        .as("lost write")
        .isFalse();
    assertThat(
            isLinearizable(
                List.of(compareAndSet(0, 9, 0, 1, true), compareAndSet(1, 8, 0, 2, true))))
        .as("two successful compare-and-sets of the same value")
        .isFalse();
    assertThat(
            isLinearizable(
                List.of(compareAndSet(0, 9, 0, 1, true), compareAndSet(1, 8, 0, 2, false))))
        .isTrue();
  }

  /**
   * Guards against operations without a result that count as done, as failed, as done twice or as
   * done before their call.
   */
  @Test
  void operationWithoutResultMayTakeEffectLaterOrNever() {
    LinearizabilityChecker.Operation<Integer> withoutResult =
        new LinearizabilityChecker.Operation<>(
            "unheard", 0, NO_RETURN, state -> state == 0 ? 1 : state);
    assertThat(isLinearizable(List.of(withoutResult, read(5, 6, 0)))).isTrue();
    assertThat(isLinearizable(List.of(withoutResult, read(5, 6, 0), read(7, 8, 1)))).isTrue();
    assertThat(isLinearizable(List.of(withoutResult, read(5, 6, 1), read(7, 8, 0)))).isFalse();
    assertThat(
            isLinearizable(
                List.of(
                    read(1, 2, 1),
                    new LinearizabilityChecker.Operation<>("later", 5, NO_RETURN, state -> 1))))
        .as("effect before the call")
        .isFalse();
  }

  /** Guards against violations that do not tell where the search failed. */
  @Test
  void violationNamesAppliedOperationsAndCandidates() {
    LinearizabilityChecker.Outcome outcome =
        LinearizabilityChecker.check(List.of(compareAndSet(0, 2, 0, 1, true), read(3, 4, 7)), 0);
    assertThat(outcome.violation())
        .isEqualTo(
            "after applying 1 of 2 operations, in state 1, none of these operations can be next:"
                + " read 7");
  }

  /** Guards against wrong outcomes for long histories with much overlap. */
  @Test
  void registerHistoryHoldsUntilWrongReadIsAdded() {
    int violationCount = 0;
    for (long seed = 0; seed < 200; seed++) {
      SeededRandom random = new SeededRandom(seed);
      List<LinearizabilityChecker.Operation<Integer>> history = new ArrayList<>();
      int value = 0;
      int lastIndex = 0;
      for (int i = 0; i < 300; i++) {
        // Operation i takes effect at time 10 i and overlaps with up to five operations before and
        // after it.
        long calledAt = 10 * i - (int) (50 * random.nextDouble());
        long returnedAt = 10 * i + 1 + (int) (50 * random.nextDouble());
        if (random.nextDouble() < 0.5) {
          history.add(read(calledAt, returnedAt, value));
        } else {
          boolean succeeds = random.nextDouble() < 0.7;
          history.add(
              compareAndSet(
                  calledAt, returnedAt, succeeds ? value : value + 1000, i + 1, succeeds));
          value = succeeds ? i + 1 : value;
        }
        lastIndex = i;
      }
      assertThat(isLinearizable(history)).as("seed " + seed).isTrue();
      // Reads a value that was never written, or the initial value.
      history.add(read(10 * lastIndex + 100, 10 * lastIndex + 200, seed % 2 == 0 ? -1 : 0));
      violationCount += isLinearizable(history) ? 0 : 1;
    }
    assertThat(violationCount).isEqualTo(200);
  }
}
