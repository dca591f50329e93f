package tidebank.backend;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which bytes of a connection's stream may still be delivered after their attempt was given up. */
class DeliveryTrackerTest {
  private final DeliveryTracker delivery = new DeliveryTracker();

  @Test
  void bytesBeyondTheSmallestReceiveBufferMayBeUndelivered() {
    long fits = delivery.recordWrite(DeliveryTracker.MIN_RECEIVE_BUFFER_BYTES);
    long exceeds = delivery.recordWrite(1);
    assertThat(delivery.mayBeUndelivered(fits)).isFalse();
    assertThat(delivery.mayBeUndelivered(exceeds)).isTrue();
  }

  @Test
  void responseShowsThatEarlierBytesWereRead() {
    long first = delivery.recordWrite(60_000);
    long second = delivery.recordWrite(60_000);
    delivery.recordRead(second);
    delivery.recordRead(first);
    assertThat(delivery.mayBeUndelivered(second)).isFalse();
    assertThat(delivery.isAllRead()).isTrue();
  }

  @Test
  void bytesBehindTheLastOnesThatWereReadAreNotRead() {
    delivery.recordRead(delivery.recordWrite(60_000));
    long next = delivery.recordWrite(60_000);
    assertThat(delivery.mayBeUndelivered(next)).isTrue();
    assertThat(delivery.isAllRead()).isFalse();
  }
}
