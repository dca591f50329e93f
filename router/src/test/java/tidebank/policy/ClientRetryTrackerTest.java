package tidebank.policy;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tidebank.model.Event;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;

/** Guards against floods of new keys that make each query slower, or use up the memory. */
class ClientRetryTrackerTest {
  private static final long SECOND_US = 1_000_000;
  private static final long TIMEOUT_US = 4 * SECOND_US;
  private static final QueryClass QUERY_CLASS =
      new QueryClass("trace", Idempotency.IDEMPOTENT, 0, SECOND_US, TIMEOUT_US, 0, 1, 1, 0);

  private final ClientRetryTracker tracker = new ClientRetryTracker();

  private long receive(String key, boolean clientRetry, long at) {
    Event.QueryReceived event =
        new Event.QueryReceived("id", 1, "trace", "a", at, at + TIMEOUT_US, clientRetry, key);
    return tracker.firstReceivedAt(event, QUERY_CLASS, at);
  }

  @Test
  void retryCountsFromTheFirstTryUntilItsTimeout() {
    assertThat(receive("k", false, SECOND_US)).isEqualTo(SECOND_US);
    assertThat(receive("k", true, 2 * SECOND_US)).isEqualTo(SECOND_US);
    assertThat(receive("k", true, SECOND_US + TIMEOUT_US)).isEqualTo(SECOND_US + TIMEOUT_US);
    assertThat(receive("k", false, 6 * SECOND_US)).isEqualTo(6 * SECOND_US);
    assertThat(receive("", true, 7 * SECOND_US)).isEqualTo(7 * SECOND_US);
  }

  /** Looking at all keys for each query would take minutes here. */
  @Test
  @Timeout(5)
  void manyNewKeysAreRememberedInBoundedTimeAndSpace() {
    for (int i = 0; i < 200_000; i++) {
      receive("key" + i, false, SECOND_US + i);
    }
    assertThat(tracker.size()).isBetween(10_000, 20_000);
    String longKey = "k".repeat(8000);
    for (int i = 0; i < 1000; i++) {
      receive(longKey + i, false, 2 * SECOND_US + i);
    }
    assertThat(tracker.size()).isLessThan(200);
    receive("k", false, 3 * SECOND_US + TIMEOUT_US);
    assertThat(tracker.size()).isEqualTo(1);
  }
}
