package tidebank.threads;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import tidebank.logging.LogRateLimiter;

/** The log's bound under all interleavings of a few lines. */
class LogRateLimiterThreadsTest {
  /** As it is. */
  public static class Real {
    private final LogRateLimiter bound = new LogRateLimiter(1);

    @Operation
    public long now() {
      return bound.tryAcquire(1);
    }

    @Operation
    public long later() {
      return bound.tryAcquire(2);
    }
  }

  /** Planted: the same without a lock. */
  public static class Unlocked {
    private long second;
    private int lines;
    private long left;

    @Operation
    public long now() {
      return take(1);
    }

    @Operation
    public long later() {
      return take(2);
    }

    private long take(long now) {
      if (now != second) {
        second = now;
        lines = 0;
      }
      if (lines >= 1) {
        left++;
        return LogRateLimiter.DENIED;
      }
      lines++;
      long tell = left;
      left = 0;
      return tell;
    }
  }

  private static ModelCheckingOptions options() {
    return new ModelCheckingOptions()
        .threads(3)
        .actorsPerThread(2)
        .actorsBefore(0)
        .actorsAfter(1)
        .iterations(20)
        .invocationsPerIteration(500)
        .minimizeFailedScenario(false);
  }

  @Test
  void everyOrderOfItsLinesIsOneThatCouldHaveBeenOneAfterTheOther() {
    assertThatCode(() -> options().check(Real.class)).doesNotThrowAnyException();
  }

  @Test
  void withoutItsLockItIsFound() {
    assertThatThrownBy(() -> options().check(Unlocked.class))
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining("Invalid execution results");
  }
}
