package tidebank.testbed.chaos;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import tidebank.model.SeededRandom;

/** A register with compare-and-set, in histories that can and that can't have been. */
class LinearizabilityCheckerTest {
  private static final long NEVER = Long.MAX_VALUE;

  private static LinearizabilityChecker.Operation<Integer> read(long call, long back, int value) {
    return new LinearizabilityChecker.Operation<>(
        "read " + value, call, back, now -> now == value ? now : null);
  }

  private static LinearizabilityChecker.Operation<Integer> set(
      long call, long back, int from, int to, boolean done) {
    return new LinearizabilityChecker.Operation<>(
        "set " + from + " to " + to,
        call,
        back,
        now -> done == (now == from) ? done ? to : now : null);
  }

  private static boolean holds(List<LinearizabilityChecker.Operation<Integer>> history) {
    return LinearizabilityChecker.check(history, 0).holds();
  }

  @Test
  void whatOverlapsMayHaveComeInAnyOrderAndWhatFollowsMayNot() {
    assertThat(holds(List.of(set(0, 10, 0, 1, true), read(1, 9, 0), read(2, 8, 1)))).isTrue();
    assertThat(holds(List.of(set(0, 10, 0, 1, true), read(1, 3, 1), read(4, 8, 0))))
        .as("the new value, then the old")
        .isFalse();
    assertThat(holds(List.of(set(0, 2, 0, 1, true), read(3, 4, 0))))
        .as("a write that was lost")
        .isFalse();
    assertThat(holds(List.of(set(0, 9, 0, 1, true), set(1, 8, 0, 2, true))))
        .as("two that both took it")
        .isFalse();
    assertThat(holds(List.of(set(0, 9, 0, 1, true), set(1, 8, 0, 2, false)))).isTrue();
  }

  @Test
  void oneWithoutAnAnswerMayHaveTakenEffectOnceAtAnyTimeLaterOrNever() {
    LinearizabilityChecker.Operation<Integer> unheard =
        new LinearizabilityChecker.Operation<>("unheard", 0, NEVER, now -> now == 0 ? 1 : now);
    assertThat(holds(List.of(unheard, read(5, 6, 0)))).isTrue();
    assertThat(holds(List.of(unheard, read(5, 6, 0), read(7, 8, 1)))).isTrue();
    assertThat(holds(List.of(unheard, read(5, 6, 1), read(7, 8, 0)))).isFalse();
    assertThat(
            holds(
                List.of(
                    read(1, 2, 1),
                    new LinearizabilityChecker.Operation<>("later", 5, NEVER, now -> 1))))
        .as("before it was asked")
        .isFalse();
  }

  @Test
  void itSaysWhereItStoodStill() {
    LinearizabilityChecker.Outcome outcome =
        LinearizabilityChecker.check(List.of(set(0, 2, 0, 1, true), read(3, 4, 7)), 0);
    assertThat(outcome.violation())
        .isEqualTo("after 1 of 2 operations, with 1, none of these fits: read 7");
  }

  @Test
  void historiesMadeByARealRegisterHoldAndWithOneAnswerChangedTheyDoNot() {
    int found = 0;
    for (long seed = 0; seed < 200; seed++) {
      SeededRandom chance = new SeededRandom(seed);
      List<LinearizabilityChecker.Operation<Integer>> history = new ArrayList<>();
      int value = 0;
      int last = 0;
      for (int i = 0; i < 300; i++) {
        // Each takes effect at 10 i; it was called up to five operations before and answered up to
        // five after.
        long call = 10 * i - (int) (50 * chance.nextDouble());
        long back = 10 * i + 1 + (int) (50 * chance.nextDouble());
        if (chance.nextDouble() < 0.5) {
          history.add(read(call, back, value));
        } else {
          boolean fits = chance.nextDouble() < 0.7;
          history.add(set(call, back, fits ? value : value + 1000, i + 1, fits));
          value = fits ? i + 1 : value;
        }
        last = i;
      }
      assertThat(holds(history)).as("seed " + seed).isTrue();
      // What nobody ever wrote, or a value of long before.
      history.add(read(10 * last + 100, 10 * last + 200, seed % 2 == 0 ? -1 : 0));
      found += holds(history) ? 0 : 1;
    }
    assertThat(found).isEqualTo(200);
  }
}
