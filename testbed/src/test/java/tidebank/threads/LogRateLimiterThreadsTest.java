package tidebank.threads;

import static org.assertj.core.api.Assertions.assertThatCode;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.jetbrains.lincheck.datastructures.Operation;
import org.junit.jupiter.api.Test;
import tidebank.logging.LogRateLimiter;

/** Checks {@link LogRateLimiter} under all interleavings of a few log lines. */
class LogRateLimiterThreadsTest {
  /** The production limiter. */
  public static class Real {
    private final LogRateLimiter limiter = new LogRateLimiter(1);

    @Operation
    public long acquireNow() {
      return limiter.tryAcquire(1);
    }

    @Operation
    public long acquireLater() {
      return limiter.tryAcquire(2);
    }
  }

  /** A faulty limiter: the same without a lock. */
  public static class Unlocked {
    private long currentSecond;
    private int admittedLines;
    private long unreportedLines;

    @Operation
    public long acquireNow() {
      return tryAcquire(1);
    }

    @Operation
    public long acquireLater() {
      return tryAcquire(2);
    }

    private long tryAcquire(long second) {
      if (second != currentSecond) {
        currentSecond = second;
        admittedLines = 0;
      }
      if (admittedLines >= 1) {
        unreportedLines++;
        return LogRateLimiter.DENIED;
      }
      admittedLines++;
      long toReport = unreportedLines;
      unreportedLines = 0;
      return toReport;
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

  /** Guards against lines over the limit, or denied lines that are reported twice or never. */
  @Test
  void limiterIsLinearizable() {
    assertThatCode(() -> options().check(Real.class)).doesNotThrowAnyException();
  }

  /** Guards against a check that finds nothing: it must detect a limiter without a lock. */
  @Test
  void missingLockIsDetected() {
    assertThatThrownBy(() -> options().check(Unlocked.class))
        .isInstanceOf(AssertionError.class)
        .hasMessageContaining("Invalid execution results");
  }
}
