package tidebank.runtime;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against a table of ids that grows with every name that clients choose. */
class ExecutedRequestsTest {
  @Test
  void onlyTheLatestIdsAreKept() {
    ExecutedRequests executed = new ExecutedRequests();
    for (int i = 0; i <= ExecutedRequests.MAX_IDS; i++) {
      executed.add("query" + i + ".0");
    }
    assertThat(executed.contains("query0.0")).isFalse();
    assertThat(executed.contains("query1.0")).isTrue();
    assertThat(executed.contains("query" + ExecutedRequests.MAX_IDS + ".0")).isTrue();
  }
}
