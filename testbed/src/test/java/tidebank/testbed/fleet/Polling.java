package tidebank.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.Callable;
import java.util.function.Predicate;

/** Waits for a condition, never for a time; bounded. */
final class Polling {
  static final long TIMEOUT_MS = 20_000;

  private Polling() {}

  static <T> T until(Callable<T> what, Predicate<T> wanted) throws Exception {
    long end = System.nanoTime() + TIMEOUT_MS * 1_000_000;
    while (true) {
      T now = what.call();
      if (wanted.test(now)) {
        return now;
      }
      assertThat(System.nanoTime()).as("in time; last: " + now).isLessThan(end);
      Thread.sleep(5);
    }
  }
}
