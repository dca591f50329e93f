package tidebank.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import tidebank.testbed.explore.StateSpaceExplorer;
import tidebank.testbed.explore.StateSpaceExplorer.ExplorationResult;

/** The rules of leases, every order of events to a depth; and that each rule left out is found. */
class LeaseModelTest {
  private static final int DEPTH = Integer.getInteger("tidebank.explore.depth", 7);

  @Test
  void noOrderOfEventsGivesATaskTwoHoldersOrLetsAStaleOnePublish() {
    ExplorationResult found =
        StateSpaceExplorer.explore(new LeaseModel(PlantedFault.NONE, 2, true), DEPTH);
    System.out.println("lease rules: " + found);
    assertThat(found.violation()).as(found.toString()).isNull();
    assertThat(found.statesVisited()).isGreaterThan(100_000);
  }

  @ParameterizedTest
  @MethodSource("tidebank.lease.LeaseModel#faults")
  void aRuleLeftOutIsFoundWithItsShortestTrace(PlantedFault fault) {
    ExplorationResult found =
        StateSpaceExplorer.explore(
            fault == PlantedFault.ANY_ANSWER_TAKEN_FOR_THE_AWAITED
                ? new LeaseModel(fault, 2, false)
                : new LeaseModel(fault, 1, true),
            8);
    System.out.println(fault + ": " + found);
    assertThat(found.violation()).as(fault + ": " + found).isNotNull();
  }
}
