package tidebank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which bytes of a connection's stream may still be delivered after their attempt was given up. */
class DeliveryTrackerTest {
  private static final long PROBE_TIMEOUT_US = 250;

  private final DeliveryTracker delivery = new DeliveryTracker(PROBE_TIMEOUT_US);

  @Test
  void bytesBeyondTheSmallestReceiveBufferMayBeUndelivered() {
    long fits = delivery.recordRequests(DeliveryTracker.MIN_RECEIVE_BUFFER_BYTES);
    long exceeds = delivery.recordRequests(1);
    assertThat(delivery.mayBeUndelivered(fits)).isFalse();
    assertThat(delivery.mayBeUndelivered(exceeds)).isTrue();
  }

  @Test
  void responseShowsThatEarlierBytesWereRead() {
    long first = delivery.recordRequests(60_000);
    long second = delivery.recordRequests(60_000);
    delivery.recordRead(second);
    delivery.recordRead(first);
    assertThat(delivery.mayBeUndelivered(second)).isFalse();
    assertThat(delivery.areRequestsRead()).isTrue();
  }

  @Test
  void bytesBehindTheLastOnesThatWereReadAreNotRead() {
    delivery.recordRead(delivery.recordRequests(60_000));
    long next = delivery.recordRequests(60_000);
    assertThat(delivery.mayBeUndelivered(next)).isTrue();
    assertThat(delivery.areRequestsRead()).isFalse();
  }

  /** Guards against resets because of frames that may arrive at any time. */
  @Test
  void otherFramesNeedNotBeRead() {
    delivery.recordRead(delivery.recordRequests(100));
    delivery.recordWrite(5);
    assertThat(delivery.areRequestsRead()).isTrue();
  }

  /** Guards against an attempt that was given up and arrives after its deadline. */
  @Test
  void frameOfAbandonedAttemptHasToBeReadByItsDeadline() {
    delivery.requireReadAfterGivingUp(delivery.recordRequests(100), 4000, 1000);
    assertThat(delivery.nextCheckAt()).isEqualTo(4000 - PROBE_TIMEOUT_US);
    assertThat(delivery.isProbeDue(4000 - PROBE_TIMEOUT_US - 1)).isFalse();
    assertThat(delivery.isProbeDue(4000 - PROBE_TIMEOUT_US)).isTrue();
    delivery.recordProbe();
    assertThat(delivery.nextCheckAt()).isEqualTo(4000);
    assertThat(delivery.isOverdue(3999)).isFalse();
    assertThat(delivery.isOverdue(4000)).isTrue();
  }

  /** Guards against a reset before the server could have answered a health check. */
  @Test
  void attemptThatTimedOutLeavesTimeForAProbe() {
    delivery.requireReadAfterGivingUp(delivery.recordRequests(100), 1000, 1000);
    assertThat(delivery.isProbeDue(1000)).isTrue();
    assertThat(delivery.isOverdue(1000 + PROBE_TIMEOUT_US - 1)).isFalse();
    assertThat(delivery.isOverdue(1000 + PROBE_TIMEOUT_US)).isTrue();
  }

  /** Guards against resets of connections whose server has read the frames. */
  @Test
  void framesThatWereReadHaveNoDueTime() {
    long first = delivery.recordRequests(100);
    long second = delivery.recordRequests(100);
    delivery.requireRead(second, 3000);
    delivery.requireRead(first, 2000);
    delivery.recordRead(first);
    assertThat(delivery.isOverdue(2999)).isFalse();
    delivery.recordRead(second);
    delivery.requireRead(first, 1000);
    assertThat(delivery.isOverdue(9999)).isFalse();
    assertThat(delivery.nextCheckAt()).isEqualTo(DeliveryTracker.NEVER);
  }

  /** Guards against a probe that is taken for evidence of frames that were written after it. */
  @Test
  void frameWrittenAfterAProbeNeedsItsOwn() {
    delivery.requireRead(delivery.recordRequests(100), 3000);
    delivery.recordProbe();
    delivery.requireRead(delivery.recordRequests(100), 2900);
    assertThat(delivery.isProbeDue(2900 - PROBE_TIMEOUT_US)).isTrue();
  }
}
