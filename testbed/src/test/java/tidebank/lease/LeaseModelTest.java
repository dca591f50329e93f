package tidebank.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import tidebank.testbed.explore.StateSpaceExplorer;
import tidebank.testbed.explore.StateSpaceExplorer.ExplorationResult;

/**
 * Explores every order of events up to a depth: with all rules of the lease protocol in place
 * nothing goes wrong, and with any one of them disabled something does.
 */
class LeaseModelTest {
  private static final int DEPTH = Integer.getInteger("tidebank.explore.depth", 7);

  /**
   * Guards against two members that act for one task at a time, and against a former holder that
   * still publishes, after lost, repeated or late messages, restarts and leader changes.
   */
  @Test
  void noEventOrderCausesTwoHoldersOrAStalePublish() {
    ExplorationResult result =
        StateSpaceExplorer.explore(new LeaseModel(InjectedFault.NONE, 2, true), DEPTH);
    System.out.println("lease rules: " + result);
    assertThat(result.violation()).as(result.toString()).isNull();
    assertThat(result.statesVisited()).isGreaterThan(100_000);
  }

  /**
   * Guards against a model that checks too little: it must report a violation for each disabled
   * rule, with the shortest trace that leads there.
   */
  @ParameterizedTest
  @MethodSource("tidebank.lease.LeaseModel#faults")
  void disablingAnyRuleCausesAViolation(InjectedFault fault) {
    ExplorationResult result =
        StateSpaceExplorer.explore(
            fault == InjectedFault.UNRELATED_RESULT_ACCEPTED
                ? new LeaseModel(fault, 2, false)
                : new LeaseModel(fault, 1, true),
            8);
    System.out.println(fault + ": " + result);
    assertThat(result.violation()).as(fault + ": " + result).isNotNull();
  }
}
