package tidebank.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import tidebank.model.Idempotency;
import tidebank.testbed.account.Account;
import tidebank.testbed.account.QueryRecord;
import tidebank.testbed.account.QueryRecord.End;
import tidebank.testbed.account.RuleAudit;
import tidebank.testbed.account.RuleAudit.Reply;
import tidebank.testbed.account.RuleAudit.Run;
import tidebank.testbed.replay.ClientRules;
import tidebank.testbed.replay.ClientRules.Came;

/**
 * The account against examples worked by hand, the six rules from the outside, and what clients may
 * try again.
 */
class AccountTest {
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
        earned > 0 ? End.COMPLETED : End.ABANDONED,
        1,
        true,
        1,
        benefit,
        earned);
  }

  @Test
  void benefitEarnedFallsWithTimeAndWithWhatIsMissing() {
    assertThat(Account.earned(3, S, S, 3 * S, 0.1, true, 1, 0.9)).isEqualTo(3);
    assertThat(Account.earned(3, S + 1, S, 3 * S, 0.1, true, 1, 0.9)).isCloseTo(0.3, within(1e-9));
    assertThat(Account.earned(3, 3 * S + 1, S, 3 * S, 0.1, true, 1, 0.9)).isZero();
    assertThat(Account.earned(3, S, S, 3 * S, 0.1, false, 0.5, 0.9)).isCloseTo(1.35, within(1e-9));
  }

  @Test
  void theScoreWeighsTheWholeTheWorstWindowTypeAndAccount() {
    Account account = new Account();
    // 20 seconds, one scan of benefit 1 each; the last ten of the type "b" by "y" fail.
    for (int second = 0; second < 20; second++) {
      boolean late = second >= 10;
      account.add(scan(second, late ? "b" : "a", late ? "y" : "x", 1, late ? 0 : 1));
    }
    Account.Figures figures = account.figures();
    assertThat(figures.whole()).isEqualTo(0.5);
    assertThat(figures.worstWindow()).isZero();
    assertThat(figures.worstWindowFromS()).isEqualTo(10);
    assertThat(figures.worstTypeName()).isEqualTo("b");
    assertThat(figures.worstAccountName()).isEqualTo("y");
    assertThat(figures.score()).isCloseTo(0.4 * 0.5, within(1e-9));
    assertThat(new Account().figures().score()).isEqualTo(1);
  }

  @Test
  void whatIsTooRareDoesNotDecide() {
    Account account = new Account();
    for (int second = 0; second < 20; second++) {
      account.add(scan(second, "a", "x", 10, 10));
    }
    account.add(scan(3, "rare", "nobody", 0.1, 0));
    assertThat(account.figures().worstTypeName()).isEmpty();
    assertThat(account.figures().score()).isGreaterThan(0.99);
  }

  // ---- the rules

  private final RuleAudit audit =
      new RuleAudit(new RuleAudit.Figures(50_000, 10_000, 500_000, 2, S, 1, 0, 10 * S));

  private void sent(String id, Idempotency repeat, double floor, double... weights) {
    Map<Integer, Double> by = new java.util.HashMap<>();
    for (int i = 0; i < weights.length; i++) {
      by.put(i, weights[i]);
    }
    audit.scanSent(id, 0, repeat, floor, 0, 3 * S, by);
  }

  private Set<Integer> broken() {
    audit.judge(Long.MAX_VALUE / 2);
    return audit.counts().keySet();
  }

  @Test
  void aScanThatGoesWellBreaksNothing() {
    sent("a", Idempotency.NON_IDEMPOTENT, 1, 0.5, 0.5);
    audit.dispatched("a", 0, 0, 1, 1000, Run.RAN);
    audit.dispatched("a", 1, 0, 2, 1000, Run.NEVER_RAN);
    audit.dispatched("a", 1, 0, 3, 2000, Run.RAN);
    audit.replied("a", 5000, Reply.ANSWERED, Set.of(0, 1), 0, true);
    assertThat(broken()).isEmpty();
    assertThat(audit.judged()).isEqualTo(1);
  }

  @Test
  void rule1NoAnswerALateOneOrWorkAfterIt() {
    sent("none", Idempotency.IDEMPOTENT, 1, 1);
    assertThat(broken()).containsExactly(1);
    sent("late", Idempotency.IDEMPOTENT, 1, 1);
    audit.replied("late", 3 * S + 60_001, Reply.FAILED, Set.of(), 0, false);
    assertThat(audit.counts()).containsEntry(1, 2L);
    sent("after", Idempotency.IDEMPOTENT, 1, 1);
    audit.replied("after", 1000, Reply.FAILED, Set.of(), 0, false);
    audit.dispatched("after", 0, 0, 1, 11_001, Run.RAN);
    broken();
    assertThat(audit.counts()).containsEntry(1, 3L);
    sent("twice", Idempotency.IDEMPOTENT, 1, 1);
    audit.replied("twice", 1000, Reply.FAILED, Set.of(), 0, false);
    audit.replied("twice", 1001, Reply.FAILED, Set.of(), 0, false);
    assertThat(audit.counts()).containsEntry(1, 4L);
  }

  @Test
  void whatAKilledGathererHeldOrAClientLeftIsNoLoss() {
    sent("held", Idempotency.IDEMPOTENT, 1, 1);
    audit.ended(0);
    sent("left", Idempotency.IDEMPOTENT, 1, 1);
    audit.replied("left", 1000, Reply.NONE_AND_CLIENT_LEFT, Set.of(), 0, false);
    assertThat(broken()).isEmpty();
  }

  @Test
  void rule1AConnectionEndedUnderAScanThatWasBegunLosesIt() {
    sent("begun", Idempotency.IDEMPOTENT, 1, 1);
    audit.dispatched("begun", 0, 0, 1, 1000, Run.RAN);
    audit.replied("begun", 2000, Reply.CONNECTION_ENDED, Set.of(), 0, false);
    sent("crossed", Idempotency.IDEMPOTENT, 1, 1);
    audit.replied("crossed", 2000, Reply.CONNECTION_ENDED, Set.of(), 0, false);
    assertThat(broken()).containsExactly(1);
    assertThat(audit.counts()).containsEntry(1, 1L);
  }

  @Test
  void whatAKilledGathererHadBegunIsNoLossEither() {
    sent("begun", Idempotency.IDEMPOTENT, 1, 1);
    audit.dispatched("begun", 0, 0, 1, 1000, Run.RAN);
    audit.replied("begun", 2000, Reply.CONNECTION_ENDED, Set.of(), 0, false);
    audit.ended(0);
    assertThat(broken()).isEmpty();
  }

  @Test
  void rule2ADuplicatedEffectAndAThrottlingThatPromisesTooMuch() {
    sent("twice", Idempotency.NON_IDEMPOTENT, 1, 1);
    audit.dispatched("twice", 0, 0, 1, 1000, Run.RAN);
    audit.dispatched("twice", 0, 0, 2, 2000, Run.RAN);
    audit.replied("twice", 5000, Reply.ANSWERED, Set.of(0), 0, true);
    sent("throttled", Idempotency.NON_IDEMPOTENT, 1, 1);
    audit.dispatched("throttled", 0, 0, 1, 1000, Run.RAN);
    audit.replied("throttled", 5000, Reply.THROTTLED, Set.of(), 0, false);
    assertThat(broken()).containsExactly(2);
    assertThat(audit.counts()).containsEntry(2, 2L);
  }

  @Test
  void rule3WorkForADrainingServerAfterTheGraceOnly() {
    audit.told(0, 1, true, 0);
    audit.told(0, 1, false, 100_000);
    sent("a", Idempotency.IDEMPOTENT, 0.1, 0.5, 0.5);
    audit.dispatched("a", 0, 0, 1, 600_000, Run.RAN);
    assertThat(audit.counts()).isEmpty();
    audit.dispatched("a", 1, 0, 1, 620_000, Run.RAN);
    assertThat(audit.counts()).containsOnlyKeys(3);
    audit.told(0, 1, true, 700_000);
    sent("b", Idempotency.IDEMPOTENT, 0.1, 1);
    audit.dispatched("b", 0, 0, 1, 2_000_000, Run.RAN);
    assertThat(audit.counts()).containsEntry(3, 1L);
  }

  @Test
  void rule4MoreThanAColdServerBearsForItsTime() {
    for (int i = 0; i < 8; i++) {
      audit.workAt(1, i * 10_000, 50_000, S, 0.2);
    }
    assertThat(audit.counts()).isEmpty();
    audit.workAt(1, 90_000, 50_000, S, 0.2);
    assertThat(audit.counts()).containsOnlyKeys(4);
  }

  @Test
  void rule5AnswersThatSayMoreThanTheyHold() {
    sent("low", Idempotency.IDEMPOTENT, 0.6, 0.5, 0.5);
    audit.replied("low", 1000, Reply.ANSWERED, Set.of(0), 0, false);
    sent("whole", Idempotency.IDEMPOTENT, 0.5, 0.5, 0.5);
    audit.replied("whole", 1000, Reply.ANSWERED, Set.of(0), 0, true);
    sent("made", Idempotency.IDEMPOTENT, 0.5, 1);
    audit.replied("made", 1000, Reply.ANSWERED, Set.of(0), 1, true);
    assertThat(audit.counts()).containsExactly(Map.entry(5, 3L));
  }

  @Test
  void rule6MoreFurtherDispatchesThanTheBudget() {
    sent("a", Idempotency.IDEMPOTENT, 1, 0.5, 0.5);
    for (int i = 0; i < 2; i++) {
      audit.dispatched("a", i, 0, 1, 1000, Run.RAN);
      audit.dispatched("a", i, 0, 2, 2000, Run.RAN);
    }
    assertThat(audit.counts()).containsExactly(Map.entry(6, 1L));
  }

  // ---- clients

  @Test
  void aRequestThatMayNotRunTwiceIsAskedAgainOnlyWhenItNeverRan() {
    ClientRules rules = new ClientRules(3, 100_000, 1);
    for (Came came : Came.values()) {
      boolean again = rules.again("a", Idempotency.NON_IDEMPOTENT, came, 1, 0, 0, 10 * S) >= 0;
      assertThat(again)
          .as(came.name())
          .isEqualTo(came == Came.THROTTLED || came == Came.NOT_REACHED);
      boolean replayed = rules.again("a", Idempotency.IDEMPOTENT, came, 1, 0, 0, 10 * S) >= 0;
      assertThat(replayed)
          .as(came.name())
          .isEqualTo(came != Came.ANSWERED && came != Came.TIMED_OUT);
    }
  }

  @Test
  void clientsWaitLongerEachTimeHonourAHoldOffAndKnowWhenThereIsNoTime() {
    ClientRules rules = new ClientRules(3, 100_000, 1);
    assertThat(rules.again("a", Idempotency.IDEMPOTENT, Came.FAILED, 1, 0, 0, 10 * S))
        .isBetween(50_000L, 150_000L)
        .isEqualTo(rules.again("a", Idempotency.IDEMPOTENT, Came.FAILED, 1, 0, 0, 10 * S));
    assertThat(rules.again("a", Idempotency.IDEMPOTENT, Came.FAILED, 3, 0, 0, 10 * S))
        .isBetween(200_000L, 600_000L);
    assertThat(rules.again("a", Idempotency.IDEMPOTENT, Came.THROTTLED, 1, 0, 2 * S, 10 * S))
        .isEqualTo(2 * S);
    assertThat(rules.again("a", Idempotency.IDEMPOTENT, Came.THROTTLED, 1, 0, 2 * S, 2 * S))
        .isEqualTo(-1);
    assertThat(rules.again("a", Idempotency.IDEMPOTENT, Came.FAILED, 4, 0, 0, 10 * S))
        .isEqualTo(-1);
  }
}
