package tidebank.testbed.replay;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** Which gatherer a try goes to. */
class ClientRetryPolicyTest {
  private static int[] six(boolean... admitted) {
    int[] to = new int[6];
    for (int turn = 0; turn < to.length; turn++) {
      to[turn] = ClientRetryPolicy.selectRouter(turn, admitted);
    }
    return to;
  }

  @Test
  void thoseThatAreAdmittedTakeTurnsAndTheirNeighboursGetNoMoreThanTheirShare() {
    assertThat(six(true, true, true)).containsExactly(0, 1, 2, 0, 1, 2);
    // Walking on to the next would give gatherer 2 what gatherer 1 should have had.
    assertThat(six(true, false, true, true)).containsExactly(0, 2, 3, 0, 2, 3);
    assertThat(six(false, true)).containsExactly(1, 1, 1, 1, 1, 1);
  }

  @Test
  void whereNoneIsAdmittedAllAreTried() {
    assertThat(six(false, false)).containsExactly(0, 1, 0, 1, 0, 1);
  }
}
