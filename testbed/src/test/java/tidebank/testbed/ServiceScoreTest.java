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
 * Tests the score against hand-computed examples, the audit of the six rules, and the retry policy
 * of clients.
 */
class ServiceScoreTest {
  private static final long S = 1_000_000;

  private static QueryRecord queryRecord(
      long second, String queryClass, String tenant, double benefit, double earned) {
    return new QueryRecord(
        0,
        queryClass,
        tenant,
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

  /** Guards against a score that gives late or partial responses the benefit of complete ones. */
  @Test
  void lateOrPartialResponsesEarnLessBenefit() {
    assertThat(ServiceScore.computeEarnedBenefit(3, S, S, 3 * S, 0.1, true, 1, 0.9)).isEqualTo(3);
    assertThat(ServiceScore.computeEarnedBenefit(3, S + 1, S, 3 * S, 0.1, true, 1, 0.9))
        .isCloseTo(0.3, within(1e-9));
    assertThat(ServiceScore.computeEarnedBenefit(3, 3 * S + 1, S, 3 * S, 0.1, true, 1, 0.9))
        .isZero();
    assertThat(ServiceScore.computeEarnedBenefit(3, S, S, 3 * S, 0.1, false, 0.5, 0.9))
        .isCloseTo(1.35, within(1e-9));
  }

  /** Guards against a score that averages away an outage of one window, query class or tenant. */
  @Test
  void scoreWeightsWholeRunAndWorstWindowClassAndTenant() {
    ServiceScore score = new ServiceScore();
    // 20 seconds, one query of benefit 1 each; the last ten, of class "b" and tenant "y", fail.
    for (int second = 0; second < 20; second++) {
      boolean secondHalf = second >= 10;
      score.add(
          queryRecord(
              second, secondHalf ? "b" : "a", secondHalf ? "y" : "x", 1, secondHalf ? 0 : 1));
    }
    ServiceScore.Summary summary = score.summarize();
    assertThat(summary.wholeRun()).isEqualTo(0.5);
    assertThat(summary.worstWindow()).isZero();
    assertThat(summary.worstWindowFromS()).isEqualTo(10);
    assertThat(summary.worstClassName()).isEqualTo("b");
    assertThat(summary.worstTenantName()).isEqualTo("y");
    assertThat(summary.score()).isCloseTo(0.4 * 0.5, within(1e-9));
    assertThat(new ServiceScore().summarize().score()).isEqualTo(1);
  }

  /** Guards against a score that depends on a class or tenant with almost no benefit. */
  @Test
  void classWithTooLittleBenefitIsNotTheWorst() {
    ServiceScore score = new ServiceScore();
    for (int second = 0; second < 20; second++) {
      score.add(queryRecord(second, "a", "x", 10, 10));
    }
    score.add(queryRecord(3, "rare", "nobody", 0.1, 0));
    assertThat(score.summarize().worstClassName()).isEmpty();
    assertThat(score.summarize().score()).isGreaterThan(0.99);
  }

  // ---- audit of the rules

  private final RuleAudit audit =
      new RuleAudit(new RuleAudit.Settings(50_000, 10_000, 500_000, 2, S, 1, 0, 10 * S));

  private void recordQuery(
      String id, Idempotency idempotency, double minimumWeight, double... weights) {
    Map<Integer, Double> weightByShard = new java.util.HashMap<>();
    for (int i = 0; i < weights.length; i++) {
      weightByShard.put(i, weights[i]);
    }
    audit.recordQuery(id, 0, idempotency, minimumWeight, 0, 3 * S, weightByShard);
  }

  private Set<Integer> violatedRules() {
    audit.checkDueQueries(Long.MAX_VALUE / 2);
    return audit.countsByRule().keySet();
  }

  /** Guards against false violations: a refused attempt may be repeated, even if non-idempotent. */
  @Test
  void retryOfRefusedAttemptIsNoViolation() {
    recordQuery("a", Idempotency.NON_IDEMPOTENT, 1, 0.5, 0.5);
    audit.recordAttempt("a", 0, 0, 1, 1000, Execution.EXECUTED);
    audit.recordAttempt("a", 1, 0, 2, 1000, Execution.NOT_EXECUTED);
    audit.recordAttempt("a", 1, 0, 3, 2000, Execution.EXECUTED);
    audit.recordResponse("a", 5000, Response.ANSWERED, Set.of(0, 1), 0, true);
    assertThat(violatedRules()).isEmpty();
    assertThat(audit.checkedQueries()).isEqualTo(1);
  }

  /** Guards against a missed violation of rule 1, which demands one final response, in time. */
  @Test
  void rule1MissingLateOrSecondResponseOrLaterWorkViolatesIt() {
    recordQuery("none", Idempotency.IDEMPOTENT, 1, 1);
    assertThat(violatedRules()).containsExactly(1);
    recordQuery("late", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordResponse("late", 3 * S + 60_001, Response.FAILED, Set.of(), 0, false);
    assertThat(audit.countsByRule()).containsEntry(1, 2L);
    recordQuery("after", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordResponse("after", 1000, Response.FAILED, Set.of(), 0, false);
    audit.recordAttempt("after", 0, 0, 1, 11_001, Execution.EXECUTED);
    violatedRules();
    assertThat(audit.countsByRule()).containsEntry(1, 3L);
    recordQuery("twice", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordResponse("twice", 1000, Response.FAILED, Set.of(), 0, false);
    audit.recordResponse("twice", 1001, Response.FAILED, Set.of(), 0, false);
    assertThat(audit.countsByRule()).containsEntry(1, 4L);
  }

  /** Guards against queries counted as lost if their router was killed or never got them. */
  @Test
  void rule1QueryOfKilledRouterOrUnsentRequestIsNotLost() {
    recordQuery("held", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordRouterExit(0);
    recordQuery("left", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordResponse("left", 1000, Response.REQUEST_NOT_SENT, Set.of(), 0, false);
    assertThat(violatedRules()).isEmpty();
  }

  /**
   * Guards against confusing a query that a router dropped with a request that crossed the close of
   * an idle connection: only the former has sent shard requests.
   */
  @Test
  void rule1ConnectionClosedAfterShardRequestsLosesQuery() {
    recordQuery("begun", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordAttempt("begun", 0, 0, 1, 1000, Execution.EXECUTED);
    audit.recordResponse("begun", 2000, Response.CONNECTION_CLOSED, Set.of(), 0, false);
    recordQuery("crossed", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordResponse("crossed", 2000, Response.CONNECTION_CLOSED, Set.of(), 0, false);
    assertThat(violatedRules()).containsExactly(1);
    assertThat(audit.countsByRule()).containsEntry(1, 1L);
  }

  /**
   * Guards against queries counted as lost if their router was killed after it had sent attempts.
   */
  @Test
  void rule1StartedQueryOfKilledRouterIsNotLost() {
    recordQuery("begun", Idempotency.IDEMPOTENT, 1, 1);
    audit.recordAttempt("begun", 0, 0, 1, 1000, Execution.EXECUTED);
    audit.recordResponse("begun", 2000, Response.CONNECTION_CLOSED, Set.of(), 0, false);
    audit.recordRouterExit(0);
    assertThat(violatedRules()).isEmpty();
  }

  /**
   * Guards against a missed violation of rule 2: a second execution, or a throttled response that
   * makes the client retry what was executed.
   */
  @Test
  void rule2RepeatedOrThrottledAfterExecutionViolatesIt() {
    recordQuery("twice", Idempotency.NON_IDEMPOTENT, 1, 1);
    audit.recordAttempt("twice", 0, 0, 1, 1000, Execution.EXECUTED);
    audit.recordAttempt("twice", 0, 0, 2, 2000, Execution.EXECUTED);
    audit.recordResponse("twice", 5000, Response.ANSWERED, Set.of(0), 0, true);
    recordQuery("throttled", Idempotency.NON_IDEMPOTENT, 1, 1);
    audit.recordAttempt("throttled", 0, 0, 1, 1000, Execution.EXECUTED);
    audit.recordResponse("throttled", 5000, Response.THROTTLED, Set.of(), 0, false);
    assertThat(violatedRules()).containsExactly(2);
    assertThat(audit.countsByRule()).containsEntry(2, 2L);
  }

  /**
   * Guards against a missed violation of rule 3, and against false ones within the grace period.
   */
  @Test
  void rule3AttemptToDrainingServerAfterGraceViolatesIt() {
    audit.recordAnnouncement(0, 1, true, 0);
    audit.recordAnnouncement(0, 1, false, 100_000);
    recordQuery("a", Idempotency.IDEMPOTENT, 0.1, 0.5, 0.5);
    audit.recordAttempt("a", 0, 0, 1, 600_000, Execution.EXECUTED);
    assertThat(audit.countsByRule()).isEmpty();
    audit.recordAttempt("a", 1, 0, 1, 620_000, Execution.EXECUTED);
    assertThat(audit.countsByRule()).containsOnlyKeys(3);
    audit.recordAnnouncement(0, 1, true, 700_000);
    recordQuery("b", Idempotency.IDEMPOTENT, 0.1, 1);
    audit.recordAttempt("b", 0, 0, 1, 2_000_000, Execution.EXECUTED);
    assertThat(audit.countsByRule()).containsEntry(3, 1L);
  }

  /** Guards against a missed violation of rule 4: more work than a server in slow start can do. */
  @Test
  void rule4OverloadOfServerInSlowStartViolatesIt() {
    for (int i = 0; i < 8; i++) {
      audit.recordWork(1, i * 10_000, 50_000, S, 0.2);
    }
    assertThat(audit.countsByRule()).isEmpty();
    audit.recordWork(1, 90_000, 50_000, S, 0.2);
    assertThat(audit.countsByRule()).containsOnlyKeys(4);
  }

  /**
   * Guards against a missed violation of rule 5: too little weight, marked complete without all
   * shards, or a value that no server returned.
   */
  @Test
  void rule5ResponseClaimingMoreThanItHoldsViolatesIt() {
    recordQuery("low", Idempotency.IDEMPOTENT, 0.6, 0.5, 0.5);
    audit.recordResponse("low", 1000, Response.ANSWERED, Set.of(0), 0, false);
    recordQuery("whole", Idempotency.IDEMPOTENT, 0.5, 0.5, 0.5);
    audit.recordResponse("whole", 1000, Response.ANSWERED, Set.of(0), 0, true);
    recordQuery("made", Idempotency.IDEMPOTENT, 0.5, 1);
    audit.recordResponse("made", 1000, Response.ANSWERED, Set.of(0), 1, true);
    assertThat(audit.countsByRule()).containsExactly(Map.entry(5, 3L));
  }

  /** Guards against a missed violation of rule 6: more further attempts than the retry budget. */
  @Test
  void rule6FurtherAttemptsBeyondRetryBudgetViolateIt() {
    recordQuery("a", Idempotency.IDEMPOTENT, 1, 0.5, 0.5);
    for (int i = 0; i < 2; i++) {
      audit.recordAttempt("a", i, 0, 1, 1000, Execution.EXECUTED);
      audit.recordAttempt("a", i, 0, 2, 2000, Execution.EXECUTED);
    }
    assertThat(audit.countsByRule()).containsExactly(Map.entry(6, 1L));
  }

  // ---- retry policy of clients

  /** Guards against clients that cause duplicate execution themselves by retrying. */
  @Test
  void nonIdempotentQueryIsRetriedOnlyIfNeverExecuted() {
    ClientRetryPolicy policy = new ClientRetryPolicy(3, 100_000, 1);
    for (AttemptResult result : AttemptResult.values()) {
      boolean retried =
          policy.computeRetryTime("a", Idempotency.NON_IDEMPOTENT, result, 1, 0, 0, 10 * S) >= 0;
      assertThat(retried)
          .as(result.name())
          .isEqualTo(result == AttemptResult.THROTTLED || result == AttemptResult.NOT_REACHED);
      boolean retriedIfIdempotent =
          policy.computeRetryTime("a", Idempotency.IDEMPOTENT, result, 1, 0, 0, 10 * S) >= 0;
      assertThat(retriedIfIdempotent)
          .as(result.name())
          .isEqualTo(result != AttemptResult.ANSWERED && result != AttemptResult.TIMED_OUT);
    }
  }

  /** Guards against retries that come too early, after the deadline or without a limit. */
  @Test
  void retryDelayGrowsKeepsRetryAfterAndEndsAtDeadline() {
    ClientRetryPolicy policy = new ClientRetryPolicy(3, 100_000, 1);
    assertThat(
            policy.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.FAILED, 1, 0, 0, 10 * S))
        .isBetween(50_000L, 150_000L)
        .isEqualTo(
            policy.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.FAILED, 1, 0, 0, 10 * S));
    assertThat(
            policy.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.FAILED, 3, 0, 0, 10 * S))
        .isBetween(200_000L, 600_000L);
    assertThat(
            policy.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.THROTTLED, 1, 0, 2 * S, 10 * S))
        .isEqualTo(2 * S);
    assertThat(
            policy.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.THROTTLED, 1, 0, 2 * S, 2 * S))
        .isEqualTo(-1);
    assertThat(
            policy.computeRetryTime(
                "a", Idempotency.IDEMPOTENT, AttemptResult.FAILED, 4, 0, 0, 10 * S))
        .isEqualTo(-1);
  }
}
