package tidebank.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.Callable;
import java.util.function.Predicate;

/** Polls for conditions, with a timeout. */
final class Polling {
  static final long TIMEOUT_MS = 20_000;

  private Polling() {}

  /** Calls the supplier until its value meets the condition; fails after the timeout. */
  static <T> T pollUntil(Callable<T> supplier, Predicate<T> condition) throws Exception {
    long deadline = System.nanoTime() + TIMEOUT_MS * 1_000_000;
    while (true) {
      T value = supplier.call();
      if (condition.test(value)) {
        return value;
      }
      assertThat(System.nanoTime()).as("timeout; last value: " + value).isLessThan(deadline);
      Thread.sleep(5);
    }
  }
}
