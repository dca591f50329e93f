package tidebank.frontend;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Guards against one connection, or many, that keep an event loop pass busy with their input. */
class ParseQuotaTest {
  private static final long NOW = 1_000_000;

  private final ParseQuota quota = new ParseQuota();

  /** Parses as many messages as allowed in a pass and returns their number. */
  private int parseAll(ParseQuota.Usage usage, long pass) {
    int messages = 0;
    while (quota.allows(usage, false, pass, NOW)) {
      quota.recordMessage(usage);
      messages++;
    }
    return messages;
  }

  @Test
  void oneConnectionIsLimitedInEachPass() {
    ParseQuota.Usage usage = new ParseQuota.Usage();
    assertThat(parseAll(usage, 1)).isEqualTo(ParseQuota.MAX_MESSAGES);
    assertThat(parseAll(usage, 1)).isZero();
    assertThat(parseAll(usage, 2)).isEqualTo(ParseQuota.MAX_MESSAGES);
  }

  @Test
  void manyConnectionsShareWhatExceedsTheGuaranteedMessages() {
    int total = 0;
    for (int i = 0; i < 100; i++) {
      int messages = parseAll(new ParseQuota.Usage(), 1);
      assertThat(messages).isGreaterThanOrEqualTo(ParseQuota.GUARANTEED_MESSAGES);
      total += messages;
    }
    assertThat(total).isEqualTo(100 * ParseQuota.GUARANTEED_MESSAGES + ParseQuota.SHARED_MESSAGES);
    assertThat(quota.isSharedQuotaUsed(1, NOW)).isTrue();
    assertThat(quota.isSharedQuotaUsed(2, NOW)).isFalse();
  }

  /** Otherwise requests that a client may pipeline were refused because of other clients. */
  @Test
  void requestsBehindPendingOnesDoNotWaitForTheSharedQuota() {
    for (int i = 0; i < 100; i++) {
      parseAll(new ParseQuota.Usage(), 1);
    }
    ParseQuota.Usage usage = new ParseQuota.Usage();
    for (int i = 0; i < ParseQuota.MAX_MESSAGES; i++) {
      assertThat(quota.allows(usage, true, 1, NOW)).isTrue();
      quota.recordMessage(usage);
    }
    assertThat(quota.allows(usage, true, 1, NOW)).isFalse();
  }

  /** Messages take a hundred times as long in a process that has just started. */
  @Test
  void slowMessagesUseTheSharedQuotaByTheirTime() {
    ParseQuota.Usage usage = new ParseQuota.Usage();
    for (int i = 0; i < ParseQuota.GUARANTEED_MESSAGES; i++) {
      assertThat(quota.allows(usage, false, 1, NOW + i * ParseQuota.SHARED_TIME_US)).isTrue();
      quota.recordMessage(usage);
    }
    long later = NOW + ParseQuota.SHARED_TIME_US;
    assertThat(quota.allows(usage, false, 1, later)).isFalse();
    assertThat(quota.allows(usage, true, 1, later)).isTrue();
    assertThat(quota.allows(usage, false, 2, later)).isTrue();
  }

  @Test
  void droppedReadsUseTheSharedQuota() {
    for (int i = 0; i < ParseQuota.SHARED_MESSAGES; i++) {
      assertThat(quota.isSharedQuotaUsed(1, NOW)).isFalse();
      quota.recordDroppedRead();
    }
    assertThat(quota.isSharedQuotaUsed(1, NOW)).isTrue();
  }

  @Test
  void connectionThatSendsLittleIsNotAffectedByOthers() {
    for (int i = 0; i < 10; i++) {
      parseAll(new ParseQuota.Usage(), 1);
    }
    assertThat(quota.allows(new ParseQuota.Usage(), false, 1, NOW)).isTrue();
  }
}
