package tidebank.lease;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import tidebank.lease.LeaseModel.Flaw;
import tidebank.testbed.explore.Explorer;
import tidebank.testbed.explore.Explorer.Found;

/** The rules of leases, every order of events to a depth; and that each rule left out is found. */
class LeaseModelTest {
  private static final int DEPTH = Integer.getInteger("tidebank.explore.depth", 7);

  @Test
  void noOrderOfEventsGivesADutyTwoOwnersOrLetsAnOldOnePublish() {
    Found found = Explorer.explore(new LeaseModel(Flaw.NONE, 2, true), DEPTH);
    System.out.println("lease rules: " + found);
    assertThat(found.broken()).as(found.toString()).isNull();
    assertThat(found.states()).isGreaterThan(100_000);
  }

  @ParameterizedTest
  @MethodSource("tidebank.lease.LeaseModel#flaws")
  void aRuleLeftOutIsFoundWithItsShortestTrace(Flaw flaw) {
    Found found =
        Explorer.explore(
            flaw == Flaw.ANY_ANSWER_TAKEN_FOR_THE_AWAITED
                ? new LeaseModel(flaw, 2, false)
                : new LeaseModel(flaw, 1, true),
            8);
    System.out.println(flaw + ": " + found);
    assertThat(found.broken()).as(flaw + ": " + found).isNotNull();
  }
}
