package tidebank.testbed.replay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Tests to which router a client attempt is sent. */
class ClientRetryPolicyTest {
  private static int[] selectSix(boolean... available) {
    int[] selected = new int[6];
    for (int i = 0; i < selected.length; i++) {
      selected[i] = ClientRetryPolicy.selectRouter(i, available);
    }
    return selected;
  }

  /**
   * Guards against a neighbor that takes all the attempts of an unavailable router: they have to be
   * spread evenly over the available ones.
   */
  @Test
  void availableRoutersGetEqualShares() {
    assertThat(selectSix(true, true, true)).containsExactly(0, 1, 2, 0, 1, 2);
    // Skipping to the next available index would send router 2 the share of router 1 as well.
    assertThat(selectSix(true, false, true, true)).containsExactly(0, 2, 3, 0, 2, 3);
    assertThat(selectSix(false, true)).containsExactly(1, 1, 1, 1, 1, 1);
  }

  /** Guards against a client that sends nothing while it believes all routers to be unavailable. */
  @Test
  void allRoutersTakeTurnsIfNoneIsAvailable() {
    assertThat(selectSix(false, false)).containsExactly(0, 1, 0, 1, 0, 1);
  }
}
