package tidebank.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tidebank.model.Idempotency;
import tidebank.testbed.account.QueryRecord;
import tidebank.testbed.account.QueryRecord.Outcome;
import tidebank.testbed.account.RuleAudit;
import tidebank.testbed.account.RuleAudit.Execution;
import tidebank.testbed.account.RuleAudit.Response;
import tidebank.testbed.account.ServiceScore;
import tidebank.testbed.replay.ClientRetryPolicy;
import tidebank.testbed.replay.ClientRetryPolicy.AttemptResult;

/**
 * The account against examples worked by hand, the six rules from the outside, and what clients may
 * try again.
 */
class ServiceScoreTest {
  private static final long S = 1_000_000;

  private static QueryRecord scan(
      long second, String type, String account, double benefit, double earned) {
    return new QueryRecord(
        0,
        type,
        account,
        second * S,
        second * S,
        second * S,
        earned > 0 ? Outcome.COMPLETED : Outcome.ABANDONED,
        1,
        true,
        1,
        benefit,
        earned);
  }

  @Test
  void benefitEarnedFallsWithTimeAndWithWhatIsMissing() {
    assertThat(ServiceScore.computeEarnedBenefit(3, S, S, 3 * S, 0.1, true, 1, 0.9)).isEqualTo(3);
    assertThat(ServiceScore.computeEarnedBenefit(3, S + 1, S, 3 * S, 0.1, true, 1, 0.9))
        .isCloseTo(0.3, within(1e-9));
    assertThat(ServiceScore.computeEarnedBenefit(3, 3 * S + 1, S, 3 * S, 0.1, true, 1, 0.9))
        .isZero();
    assertThat(ServiceScore.computeEarnedBenefit(3, S, S, 3 * S, 0.1, false, 0.5, 0.9))
        .isCloseTo(1.35, within(1e-9));
  }

  @Test
  void theScoreWeighsTheWholeTheWorstWindowTypeAndAccount() {
    ServiceScore account = new ServiceScore();
    // 20 seconds, one scan of benefit 1 each; the last ten of the type "b" by "y" fail.
    for (int second = 0; second < 20; second++) {
      boolean late = second >= 10;
      account.add(scan(second, late ? "b" : "a", late ? "y" : "x", 1, late ? 0 : 1));
    }
    ServiceScore.Summary figures = account.summarize();
    assertThat(figures.wholeRun()).isEqualTo(0.5);
    assertThat(figures.worstWindow()).isZero();
    assertThat(figures.worstWindowFromS()).isEqualTo(10);
    assertThat(figures.worstClassName()).isEqualTo("b");
    assertThat(figures.worstTenantName()).isEqualTo("y");
    assertThat(figures.score()).isCloseTo(0.4 * 0.5, within(1e-9));
    assertThat(new ServiceScore().summarize().score()).isEqualTo(1);
  }

  @Test
  void whatIsTooRareDoesNotDecide() {
    ServiceScore account = new ServiceScore();
    for (int second = 0; second < 20; second++) {
      account.add(scan(second, "a", "x", 10, 10));
    }
    account.add(scan(3, "rare", "nobody", 0.1, 0));
    assertThat(account.summarize().worstClassName()).isEmpty();
    assertThat(account.summarize().score()).isGreaterThan(0.99);
  }

  // ---- the rules

  private final RuleAudit audit =
      new RuleAudit(new RuleAudit.Settings(50_000, 10_000, 500_000, 2, S, 1, 0, 10 * S));

  private void sent(String id, Idempotency repeat, double floor, double... weights) {
    Map<Integer, Double> by = new java.util.HashMap<>();
    for (int i = 0; i < weights.length; i++) {
      by.put(i, weights[i]);
    }
    audit.recordQuery(id, 0, repeat, floor, 0, 3 * S, by);
  }

  private Set<Integer> broken() {
    audit.checkDueQueries(Long.MAX_VALUE / 2);
    return audit.countsByRule().keySet();
  }

  @Test
  void aScanThatGoesWellBreaksNothing() {
    sent("a", Idempotency.NON_IDEMPOTENT, 1, 0.5, 0.5);
    audit.recordAttempt("a", 0, 0, 1, 1000, Execution.EXECUTED);
    audit.recordAttempt("a", 1, 0, 2, 1000, Execution.NOT_EXECUTED);
    audit.recordAttempt("a", 1, 0, 3, 2000, Execution.EXECUTED);
    audit.recordResponse("a", 5000, Response.ANSWERED, Set.of(0, 1), 0, true);
    assertThat(broken()).isEmpty();
    assertThat(audit.checkedQueries()).isEqualTo(1);
  }

  @Test
  void rule1NoAnswerALateOneOrWorkAfterIt() {
    sent("none", Idempotency.IDEMPOTENT, 1, 1);
    assertThat(broken()).containsExactly(1);
    sent("late", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordResponse("late", 3 * S + 60_001, Response.FAILED, Set.of(), 0, false);
    assertThat(audit.countsByRule()).containsEntry(1, 2L);
    sent("after", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordResponse("after", 1000, Response.FAILED, Set.of(), 0, false);
    audit.recordAttempt("after", 0, 0, 1, 11_001, Execution.EXECUTED);
    broken();
    assertThat(audit.countsByRule()).containsEntry(1, 3L);
    sent("twice", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordResponse("twice", 1000, Response.FAILED, Set.of(), 0, false);
    audit.recordResponse("twice", 1001, Response.FAILED, Set.of(), 0, false);
    assertThat(audit.countsByRule()).containsEntry(1, 4L);
  }

  @Test
  void whatAKilledGathererHeldOrAClientLeftIsNoLoss() {
    sent("held", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordRouterExit(0);
    sent("left", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordResponse("left", 1000, Response.REQUEST_NOT_SENT, Set.of(), 0, false);
    assertThat(broken()).isEmpty();
  }

  @Test
  void rule1AConnectionEndedUnderAScanThatWasBegunLosesIt() {
    sent("begun", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordAttempt("begun", 0, 0, 1, 1000, Execution.EXECUTED);
    audit.recordResponse("begun", 2000, Response.CONNECTION_CLOSED, Set.of(), 0, false);
    sent("crossed", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordResponse("crossed", 2000, Response.CONNECTION_CLOSED, Set.of(), 0, false);
    assertThat(broken()).containsExactly(1);
    assertThat(audit.countsByRule()).containsEntry(1, 1L);
  }

  @Test
  void whatAKilledGathererHadBegunIsNoLossEither() {
    sent("begun", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordAttempt("begun", 0, 0, 1, 1000, Execution.EXECUTED);
    audit.recordResponse("begun", 2000, Response.CONNECTION_CLOSED, Set.of(), 0, false);
    audit.recordRouterExit(0);
    assertThat(broken()).isEmpty();
  }

  @Test
  void rule2ADuplicatedEffectAndAThrottlingThatPromisesTooMuch() {
    sent("twice", Idempotency.NON_IDEMPOTENT, 1, 1);
    audit.recordAttempt("twice", 0, 0, 1, 1000, Execution.EXECUTED);
    audit.recordAttempt("twice", 0, 0, 2, 2000, Execution.EXECUTED);
    audit.recordResponse("twice", 5000, Response.ANSWERED, Set.of(0), 0, true);
    sent("throttled", Idempotency.NON_IDEMPOTENT, 1, 1);
    audit.recordAttempt("throttled", 0, 0, 1, 1000, Execution.EXECUTED);
    audit.recordResponse("throttled", 5000, Response.THROTTLED, Set.of(), 0, false);
    assertThat(broken()).containsExactly(2);
    assertThat(audit.countsByRule()).containsEntry(2, 2L);
  }

  @Test
  void rule3WorkForADrainingServerAfterTheGraceOnly() {
    audit.recordAnnouncement(0, 1, true, 0);
    audit.recordAnnouncement(0, 1, false, 100_000);
    sent("a", Idempotency.IDEMPOTENT, 0.1, 0.5, 0.5);
    audit.recordAttempt("a", 0, 0, 1, 600_000, Execution.EXECUTED);
    assertThat(audit.countsByRule()).isEmpty();
    audit.recordAttempt("a", 1, 0, 1, 620_000, Execution.EXECUTED);
    assertThat(audit.countsByRule()).containsOnlyKeys(3);
    audit.recordAnnouncement(0, 1, true, 700_000);
    sent("b", Idempotency.IDEMPOTENT, 0.1, 1);
    audit.recordAttempt("b", 0, 0, 1, 2_000_000, Execution.EXECUTED);
    assertThat(audit.countsByRule()).containsEntry(3, 1L);
  }

  @Test
  void rule4MoreThanAColdServerBearsForItsTime() {
    for (int i = 0; i < 8; i++) {
      audit.recordWork(1, i * 10_000, 50_000, S, 0.2);
    }
    assertThat(audit.countsByRule()).isEmpty();
    audit.recordWork(1, 90_000, 50_000, S, 0.2);
    assertThat(audit.countsByRule()).containsOnlyKeys(4);
  }

  @Test
  void rule5AnswersThatSayMoreThanTheyHold() {
    sent("low", Idempotency.IDEMPOTENT, 0.6, 0.5, 0.5);
    audit.recordResponse("low", 1000, Response.ANSWERED, Set.of(0), 0, false);
    sent("whole", Idempotency.IDEMPOTENT, 0.5, 0.5, 0.5);
    audit.recordResponse("whole", 1000, Response.ANSWERED, Set.of(0), 0, true);
    sent("made", Idempotency.IDEMPOTENT, 0.5, 1);
    audit.recordResponse("made", 1000, Response.ANSWERED, Set.of(0), 1, true);
    assertThat(audit.countsByRule()).containsExactly(Map.entry(5, 3L));
  }

  @Test
  void rule6MoreFurtherDispatchesThanTheBudget() {
    sent("a", Idempotency.IDEMPOTENT, 1, 0.5, 0.5);
    for (int i = 0; i < 2; i++) {
      audit.recordAttempt("a", i, 0, 1, 1000, Execution.EXECUTED);
      audit.recordAttempt("a", i, 0, 2, 2000, Execution.EXECUTED);
    }
    assertThat(audit.countsByRule()).containsExactly(Map.entry(6, 1L));
  }

  // ---- clients

  @Test
  void aRequestThatMayNotRunTwiceIsAskedAgainOnlyWhenItNeverRan() {
    ClientRetryPolicy rules = new ClientRetryPolicy(3, 100_000, 1);
    for (AttemptResult came : AttemptResult.values()) {
      boolean again =
          rules.computeRetryTime("a", Idempotency.NON_IDEMPOTENT, came, 1, 0, 0, 10 * S) >= 0;
      assertThat(again)
          .as(came.name())
          .isEqualTo(came == AttemptResult.THROTTLED || came == AttemptResult.NOT_REACHED);
      boolean replayed =
          rules.computeRetryTime("a", Idempotency.IDEMPOTENT, came, 1, 0, 0, 10 * S) >= 0;
      assertThat(replayed)
          .as(came.name())
          .isEqualTo(came != AttemptResult.ANSWERED && came != AttemptResult.TIMED_OUT);
    }
  }

  @Test
  void clientsWaitLongerEachTimeHonourAHoldOffAndKnowWhenThereIsNoTime() {
    ClientRetryPolicy rules = new ClientRetryPolicy(3, 100_000, 1);
    assertThat(
            rules.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.FAILED, 1, 0, 0, 10 * S))
        .isBetween(50_000L, 150_000L)
        .isEqualTo(
            rules.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.FAILED, 1, 0, 0, 10 * S));
    assertThat(
            rules.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.FAILED, 3, 0, 0, 10 * S))
        .isBetween(200_000L, 600_000L);
    assertThat(
            rules.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.THROTTLED, 1, 0, 2 * S, 10 * S))
        .isEqualTo(2 * S);
    assertThat(
            rules.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.THROTTLED, 1, 0, 2 * S, 2 * S))
        .isEqualTo(-1);
    assertThat(
            rules.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.FAILED, 4, 0, 0, 10 * S))
        .isEqualTo(-1);
  }
}
