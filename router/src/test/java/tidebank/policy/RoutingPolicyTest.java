package tidebank.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.policy.PolicyHarness.MS;
import static tidebank.policy.PolicyHarness.endpoint;
import static tidebank.policy.PolicyHarness.sent;
import static tidebank.policy.PolicyHarness.servers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Idempotency;
import tidebank.model.Outcome;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/** Tests the decisions of one {@link RoutingPolicy} on a virtual clock. */
class RoutingPolicyTest {
  private final PolicyHarness harness = new PolicyHarness();

  /** Starts a query "a" of four requests, of which overloaded servers reject the given ones. */
  private List<Action> startWithRejections(String... requests) {
    harness.start();
    harness.query("a", "complete", 0.25, 0.25, 0.25, 0.25);
    return harness.complete(Outcome.OVERLOADED, requests);
  }

  // ---- selection by rank and load

  /**
   * Guards against needless load shedding: a partial answer would be allowed, but no server is
   * loaded.
   */
  @Test
  void withoutCongestionAllRequestsAreSentAndTheAnswerIsComplete() {
    harness.start();
    assertThat(sent(harness.query("q", "partial", 0.4, 0.3, 0.2, 0.1)))
        .containsExactly("q0", "q1", "q2", "q3");
    harness.complete(Outcome.COMPLETED, "q0", "q1", "q2", "q3");
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", true));
  }

  /**
   * Guards against overload: the lightest request is not sent while a shard has reduced its limit.
   */
  @Test
  void afterARejectionLightRequestsAreSkippedAndTheAnswerIsPartial() {
    startWithRejections("a0");
    assertThat(sent(harness.query("q", "partial", 0.1, 0.4, 0.2, 0.3)))
        .containsExactly("q1", "q3", "q2");
    harness.complete(Outcome.COMPLETED, "q1", "q3", "q2");
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", false));
  }

  /** Guards against load shedding in a class that needs all requests: the query could only fail. */
  @Test
  void aClassWithoutPartialAnswersSendsAllRequestsUnderCongestion() {
    startWithRejections("a0");
    assertThat(sent(harness.query("q", "complete", 0.1, 0.4, 0.2, 0.3))).hasSize(4);
  }

  /**
   * Guards against a hot primary replica: five requests with one key go there, the sixth elsewhere.
   */
  @Test
  void aRequestGoesToItsPrimaryReplicaUpToTheSpilloverThreshold() {
    harness.layout = new Settings.Layout(1, 3, 3, 1, 0);
    harness.start();
    for (int i = 0; i < 5; i++) {
      harness.round(
          new Event.QueryReceived(
              "q" + i,
              100 + i,
              "complete",
              "",
              harness.nowMs * MS,
              (harness.nowMs + 3000) * MS,
              false,
              ""),
          new Event.ShardRequestReceived("p" + i, 100 + i, 0, 1, "same key"));
    }
    assertThat(servers(harness.actions)).hasSize(5).containsOnly(servers(harness.actions).get(0));
    List<Action> next =
        harness.round(
            new Event.QueryReceived(
                "z",
                200,
                "complete",
                "",
                harness.nowMs * MS,
                (harness.nowMs + 3000) * MS,
                false,
                ""),
            new Event.ShardRequestReceived("pz", 200, 0, 1, "same key"));
    assertThat(servers(next)).doesNotContain(servers(harness.actions).get(0));
  }

  // ---- rule 1: one final answer, in time

  /**
   * Guards against late answers: the time that a query waited before it was read counts towards its
   * latency objective, and its response is expected to wait as long.
   */
  @Test
  void aQueryDelayedByTheEventLoopIsStillAnsweredByItsObjective() {
    harness.start();
    harness.round(
        new Event.QueryReceived(
            "q",
            90,
            "partial",
            "",
            (harness.nowMs - 40) * MS,
            (harness.nowMs + 2960) * MS,
            false,
            ""),
        new Event.ShardRequestReceived("q0", 90, 0, 0.6, ""),
        new Event.ShardRequestReceived("q1", 90, 1, 0.4, ""));
    harness.complete(Outcome.COMPLETED, "q0");
    // 40 ms of the 1000 ms objective have passed, and the response may be delayed by 40 ms as well.
    // The answer is due within the 920 ms between.
    harness.advance(890);
    assertThat(harness.answers()).isEmpty();
    harness.advance(30);
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", false));
  }

  /**
   * Guards against an answer margin as long as the stall: queries with less time left than that
   * would be throttled without an attempt.
   */
  @Test
  void queriesAfterAnEventLoopStallAreStillSentAndAnswered() {
    harness.start();
    harness.query("a", "partial", 0.6, 0.4);
    // The timer that was set for the objective fires 2 s late.
    harness.nowMs += 3000;
    harness.advance(0);
    harness.actions.clear();
    // A query with less time left than the stall lasted is sent nevertheless.
    assertThat(sent(harness.queryWithin(900, "q", "complete", 0.6, 0.4))).hasSize(2);
    assertThat(harness.answers()).isEmpty();
    harness.complete(Outcome.COMPLETED, "q0", "q1");
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", true));
    // After the stall, a partial answer is earlier by at most a fifth of the objective.
    harness.query("r", "partial", 0.6, 0.4);
    harness.complete(Outcome.COMPLETED, "r0");
    harness.advance(780);
    assertThat(harness.answers()).hasSize(1);
    harness.advance(10);
    assertThat(harness.answers()).contains(new Action.Respond("r", false));
  }

  /**
   * Guards against early partial answers long after a stall: the measured delay must decay by time,
   * even if no query updates it.
   */
  @Test
  void theEffectOfAnEventLoopStallDecaysWithoutQueries() {
    harness.start();
    harness.query("a", "partial", 0.6, 0.4);
    harness.nowMs += 3000;
    harness.advance(0);
    harness.advance(30_000);
    harness.actions.clear();
    harness.query("q", "partial", 0.6, 0.4);
    harness.complete(Outcome.COMPLETED, "q0");
    harness.advance(980);
    assertThat(harness.answers()).isEmpty();
    harness.advance(20);
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", false));
  }

  /**
   * Guards against wasted work: no response could arrive within the 90 ms that are left, because
   * responses take 100 ms.
   */
  @Test
  void aQueryWithTooLittleTimeLeftIsThrottledWithoutAnAttempt() {
    harness.start();
    for (String id : List.of("a", "b", "c")) {
      harness.query(id, "complete", 1);
      harness.advance(100);
      harness.complete(Outcome.COMPLETED, id + "0");
    }
    harness.actions.clear();
    assertThat(sent(harness.queryWithin(90, "q", "complete", 1))).isEmpty();
    assertThat(harness.answers()).hasSize(1).allMatch(Action.Throttle.class::isInstance);
    harness.actions.clear();
    assertThat(sent(harness.queryWithin(300, "r", "complete", 1))).containsExactly("r0");
  }

  /**
   * Guards against waiting for slow requests when the minimum weight is reached, and against
   * attempts after the answer.
   */
  @Test
  void aQueryWithRequestsInFlightIsAnsweredPartiallyAtItsObjective() {
    harness.start();
    harness.query("q", "partial", 0.4, 0.3, 0.2, 0.1);
    harness.complete(Outcome.COMPLETED, "q0", "q1");
    harness.advance(980);
    assertThat(harness.answers()).isEmpty();
    harness.advance(20);
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", false));
    assertThat(sent(harness.advance(5000))).isEmpty();
  }

  /** Guards against a query without a final answer when no response arrives. */
  @Test
  void aQueryWithoutAResponseFailsBeforeItsDeadline() {
    harness.start();
    harness.queryWithin(2000, "q", "non-idempotent", 1);
    harness.advance(1950);
    assertThat(harness.answers()).isEmpty();
    harness.advance(50);
    assertThat(harness.answers()).containsExactly(new Action.Fail("q"));
  }

  /** Guards against work on an answer that has no value after the latency objective. */
  @Test
  void aQueryWithoutLateWeightIsThrottledAtItsObjective() {
    harness.start();
    harness.query("q", "strict", 1);
    harness.advance(1010);
    assertThat(harness.answers()).containsExactly(new Action.Throttle("q", 500 * MS));
  }

  /**
   * Guards against a retry or an answer for a client that disconnected in the round in which an
   * attempt failed.
   */
  @Test
  void aDisconnectInTheRoundOfAFailureCausesNoAnswerOrAttempt() {
    harness.start();
    harness.query("q", "complete", 0.5, 0.5);
    assertThat(
            harness.round(
                new Event.AttemptCompleted("q0", 0, Outcome.ERROR, MS, true, Map.of()),
                new Event.ClientDisconnected("q")))
        .noneMatch(a -> a instanceof Action.SendAttempt || a instanceof Action.Fail);
    assertThat(harness.answers()).isEmpty();
  }

  /**
   * Guards against queries without an answer: one has no requests, one has 2 ms left, and one has
   * an unknown class and shard.
   */
  @Test
  void queriesThatCannotBeExecutedStillGetOneFinalAnswer() {
    harness.start();
    harness.query("none", "complete");
    harness.queryWithin(2, "late", "complete", 0.5, 0.5);
    harness.round(
        new Event.QueryReceived(
            "odd", 50, "unheard of", "", harness.nowMs * MS, (harness.nowMs + 900) * MS, false, ""),
        new Event.ShardRequestReceived("odd0", 50, 99, 1, ""));
    assertThat(harness.answers()).hasSize(2).contains(new Action.Throttle("none", 500 * MS));
    harness.advance(900);
    assertThat(harness.answers()).hasSize(3);
  }

  /** Guards against waiting for a shard that no listed server holds. */
  @Test
  void aQueryToAShardWithoutReplicasIsThrottledImmediately() {
    harness.start();
    harness.updateList(ListUpdate.SNAPSHOT, endpoint("s2", 2, EndpointStatus.IN_SERVICE, 0));
    assertThat(harness.query("q", "complete", 0.5, 0.5))
        .contains(new Action.Throttle("q", 500 * MS));
  }

  /**
   * Guards against divisions by zero and missing answers when all figures of the settings are zero.
   */
  @Test
  void withAllSettingsZeroAQueryStillGetsOneFinalAnswer() {
    harness.layout = new Settings.Layout(0, 0, 0, 1, 0);
    harness.rules = new Settings.Rules(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    harness.addQueryClass("complete", Idempotency.IDEMPOTENT, 0, 0, 0);
    harness.start();
    harness.query("q", "complete", 0.5, 0.5);
    harness.advance(3000);
    assertThat(harness.answers()).hasSize(1);
  }

  // ---- rule 2: nothing is executed twice

  /** Guards against double execution: the connection was lost after the request was sent. */
  @Test
  void aNonIdempotentRequestIsNotRetriedOnceItMayHaveExecuted() {
    harness.start();
    harness.query("q", "non-idempotent", 1);
    assertThat(sent(harness.complete(Outcome.CONNECTION_LOST, "q0"))).isEmpty();
    assertThat(harness.answers()).containsExactly(new Action.Fail("q"));
  }

  /** Guards against needless failures: no connection could be opened, so a retry is safe. */
  @Test
  void aNonIdempotentRequestIsRetriedWhenItsAttemptNeverExecuted() {
    harness.start();
    harness.query("q", "non-idempotent", 1);
    assertThat(sent(harness.complete(Outcome.UNREACHABLE, "q0"))).containsExactly("q0");
  }

  /** Guards against double execution: after the window servers no longer recognize the key. */
  @Test
  void aRequestWithAKeyIsNotRetriedAfterItsIdempotencyWindow() {
    harness.queryClasses.computeIfPresent(
        "keyed",
        (name, original) ->
            new QueryClass(
                name,
                original.idempotency(),
                300 * MS,
                original.latencyObjectiveUs(),
                original.timeoutUs(),
                0.3,
                1,
                1,
                0));
    harness.start();
    harness.query("q", "keyed", 1);
    harness.advance(300);
    assertThat(sent(harness.complete(Outcome.CONNECTION_LOST, "q0"))).isEmpty();
    assertThat(harness.answers()).containsExactly(new Action.Fail("q"));
  }

  /** Guards against a second attempt in flight where the deployment does not permit hedging. */
  @Test
  void withoutHedgingARequestHasOneAttemptInFlight() {
    harness.limits = new Settings.Limits(4, false, true, false, true, 0, 100, false);
    harness.start();
    harness.query("q", "complete", 1);
    assertThat(sent(harness.advance(900))).isEmpty();
  }

  /**
   * Guards against waiting for an ejected server: without hedging, the retry must wait until the
   * cancelled attempt has ended.
   */
  @Test
  void withoutHedgingATimeoutAtAnEjectedServerIsCancelledAndRetried() {
    harness.limits = new Settings.Limits(4, false, true, false, true, 0, 100, false);
    harness.layout = new Settings.Layout(6, 6, 6, 1, 0);
    harness.start();
    String ejected = servers(harness.query("q", "complete", 1)).get(0);
    for (int i = 0; !servers(harness.actions).subList(1, i + 1).contains(ejected); i++) {
      harness.query("r" + i, "complete", 1);
    }
    for (String request : List.copyOf(harness.attempts.keySet())) {
      if (!servers(harness.actions).get(sent(harness.actions).indexOf(request)).equals(ejected)) {
        harness.complete(Outcome.COMPLETED, request);
      }
    }
    List<Action> later = harness.advance(700);
    assertThat(later).contains(new Action.CancelAttempt("q0", 0));
    assertThat(sent(later)).doesNotContain("q0");
    assertThat(servers(harness.complete(Outcome.CANCELLED, "q0")))
        .hasSize(1)
        .doesNotContain(ejected);
  }

  // ---- rule 3: draining servers and the endpoint list

  /** Guards against requests that fail because their server is about to stop, or has stopped. */
  @Test
  void nothingIsSentToADrainingServer() {
    harness.start();
    harness.updateList(
        ListUpdate.DELTA,
        endpoint("s0", 0, EndpointStatus.DRAINING, 0),
        endpoint("s1", 1, EndpointStatus.GONE, 0));
    for (int i = 0; i < 8; i++) {
      assertThat(servers(harness.query("q" + i, "complete", 0.25, 0.25, 0.25, 0.25)))
          .doesNotContain("s0", "s1");
    }
  }

  /**
   * Guards against an outdated endpoint list after a watch has failed, and against a second watch
   * beside an active one.
   */
  @Test
  void theEndpointListWatchIsRestartedAfterAFailedCall() {
    harness.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
    harness.start();
    assertThat(harness.actions).contains(new Action.WatchEndpoints(true));
    harness.updateList(ListUpdate.WATCH_LOST);
    assertThat(harness.advance(1000)).containsOnlyOnce(new Action.WatchEndpoints(true));
    harness.updateList(ListUpdate.SNAPSHOT, endpoint("s0", 0, EndpointStatus.IN_SERVICE, 0));
    assertThat(harness.advance(60_000)).doesNotContain(new Action.WatchEndpoints(true));
  }

  /**
   * Guards against the long backoff of the old address: eight failed calls must not delay the watch
   * at the new address.
   */
  @Test
  void afterDiscoveryMovesTheWatchRestartsWithTheShortestBackoff() {
    harness.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
    harness.start();
    for (int i = 0; i < 8; i++) {
      harness.updateList(ListUpdate.WATCH_LOST);
      harness.advance(9_000);
    }
    assertThat(harness.updateList(ListUpdate.DISCOVERY_MOVED))
        .contains(new Action.WatchEndpoints(true));
    harness.updateList(ListUpdate.WATCH_LOST);
    assertThat(harness.advance(1000)).contains(new Action.WatchEndpoints(true));
  }

  /**
   * Guards against queries that are unanswered at shutdown, also those received after its
   * announcement.
   */
  @Test
  void pendingAndLaterQueriesAreAnsweredBeforeTheRouterShutsDown() {
    harness.start();
    harness.query("a", "non-idempotent", 1);
    harness.round(new Event.ShutdownRequested((harness.nowMs + 700) * MS));
    harness.advance(100);
    harness.query("b", "non-idempotent", 1);
    harness.advance(599);
    assertThat(harness.answers()).hasSize(2);
  }

  // ---- rule 4: slow start

  /**
   * Guards against the overload of a cold server: of 40 queries it gets one or two, and more once
   * it is warm.
   */
  @Test
  void aServerInSlowStartGetsOnlyItsShareOverAnyWindow() {
    harness.layout = new Settings.Layout(1, 2, 2, 1, 0);
    harness.start();
    harness.nowMs = 20_000;
    harness.updateList(ListUpdate.DELTA, endpoint("s0", 0, EndpointStatus.IN_SERVICE, 20_000));
    for (int i = 0; i < 40; i++) {
      harness.query("q" + i, "complete", 1);
    }
    // The initial share is 0.2 of one core. Twice that for 1 s, divided by two routers, is 0.2 s of
    // work: two requests that take a tenth of the objective each.
    assertThat(servers(harness.actions)).filteredOn("s0"::equals).hasSizeBetween(1, 2);
    harness.advance(15_000);
    int before = servers(harness.actions).size();
    for (int i = 0; i < 40; i++) {
      harness.query("w" + i, "complete", 1);
    }
    assertThat(servers(harness.actions).subList(before, servers(harness.actions).size()))
        .filteredOn("s0"::equals)
        .hasSizeGreaterThan(5);
  }

  // ---- rule 5: correctly marked answers

  /** Guards against an answer from too little data: 0.4 was answered, and the class needs 0.5. */
  @Test
  void noAnswerIsGivenBelowTheMinimumWeight() {
    harness.start();
    harness.query("q", "partial", 0.4, 0.3, 0.2, 0.1);
    harness.complete(Outcome.COMPLETED, "q0");
    harness.advance(3000);
    assertThat(harness.answers()).containsExactly(new Action.Throttle("q", 500 * MS));
  }

  /** Guards against a final answer marked as complete that is based on a partial first stage. */
  @Test
  void aSecondStageIsCompleteOnlyIfTheFirstWas() {
    harness.start();
    harness.query("q", "two-stage", 0.4, 0.3, 0.2, 0.1);
    harness.complete(Outcome.COMPLETED, "q0", "q1");
    harness.advance(800);
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", false));
    assertThat(sent(harness.secondStage("q", 1, 0, 1))).containsExactly("qx0", "qx1");
    harness.complete(Outcome.COMPLETED, "qx0", "qx1");
    assertThat(harness.answers())
        .containsExactly(new Action.Respond("q", false), new Action.Respond("q", false));
  }

  // ---- rule 6: the retry budget

  /** Guards against a retry storm: of two failed requests only one may be retried. */
  @Test
  void retriesStayWithinTheRetryBudget() {
    harness.rules = new Settings.Rules(20 * MS, 10_000 * MS, 0, 0.2, 0, 2, 0, 1, 0, 10_000 * MS);
    harness.start();
    harness.query("q", "complete", 0.5, 0.5);
    assertThat(sent(harness.complete(Outcome.ERROR, "q0", "q1"))).hasSize(1);
    assertThat(sent(harness.advance(500))).isEmpty();
  }

  // ---- overload and faults

  /**
   * Guards against waiting for a slow server until the deadline while another replica is available.
   */
  @Test
  void aTimedOutAttemptIsHedgedAtAnotherServer() {
    harness.start();
    List<Action> first = harness.query("q", "complete", 1);
    assertThat(sent(harness.advance(450))).isEmpty();
    List<Action> later = harness.advance(100);
    assertThat(sent(later)).containsExactly("q0");
    assertThat(servers(later)).doesNotContainAnyElementsOf(servers(first));
  }

  /**
   * Guards against one server that gets nearly all requests of a query because further requests of
   * its batch do not count as load.
   */
  @Test
  void furtherRequestsOfABatchCountHalfTowardsTheSpilloverThreshold() {
    harness.layout = new Settings.Layout(12, 3, 3, 8, 35 * MS);
    harness.start();
    double[] weights = new double[12];
    Arrays.fill(weights, 1.0 / 12);
    List<String> servers = servers(harness.query("q", "complete", weights));
    for (String server : List.of("s0", "s1", "s2")) {
      assertThat(servers).filteredOn(server::equals).hasSizeLessThanOrEqualTo(8);
    }
  }

  /**
   * Guards against a client retry that restarts the latency objective of its query and adds load
   * under overload.
   */
  @Test
  void aClientRetryAfterItsObjectiveIsThrottledUnderOverload() {
    harness.start();
    harness.queryWithin(2900, "q", "complete", 0.25, 0.25, 0.25, 0.25);
    harness.advance(10);
    harness.complete(Outcome.OVERLOADED, "q0", "q1", "q2", "q3");
    harness.advance(1100);
    List<Action> reply =
        harness.round(
            new Event.QueryReceived(
                "again",
                90,
                "complete",
                "",
                harness.nowMs * MS,
                (harness.nowMs + 2900) * MS,
                true,
                "q"),
            new Event.ShardRequestReceived("again0", 90, 0, 1, ""));
    assertThat(reply).contains(new Action.Throttle("again", 500 * MS));
  }

  /**
   * Guards against a constant load under overload: as rejections continue, the number of requests
   * that a query sends falls to none.
   */
  @Test
  void fewerTopRanksAreSentWhileOverloadLasts() {
    harness.start();
    List<Integer> sentCounts = new ArrayList<>();
    for (String round : List.of("a", "b", "c", "d")) {
      harness.query(round, "complete", 0.25, 0.25, 0.25, 0.25);
      sentCounts.add(sent(harness.query("q" + round, "partial", 0.52, 0.2, 0.18, 0.1)).size());
      harness.complete(Outcome.OVERLOADED, round + 0, round + 1, round + 2, round + 3);
      harness.advance(1005);
    }
    assertThat(sentCounts).startsWith(4, 1).endsWith(0);
  }

  /** Guards against load shedding at shards that are not congested. */
  @Test
  void lightRequestsStillGoToIdleShardsWhileOthersAreCongested() {
    harness.start();
    harness.query("a", "complete", 0.25, 0.25, 0.25, 0.25);
    harness.complete(Outcome.OVERLOADED, "a0", "a1");
    harness.complete(Outcome.COMPLETED, "a2", "a3");
    harness.advance(20);
    assertThat(sent(harness.query("q", "partial", 0.52, 0.2, 0.18, 0.1))).hasSizeGreaterThan(1);
  }

  /** Guards against a faulty replica that keeps getting requests: it gets at most three of 31. */
  @Test
  void aServerThatRespondsWithErrorsIsEjected() {
    harness.start();
    harness.query("a", "complete", 1);
    String faulty = servers(harness.actions).get(0);
    harness.complete(Outcome.ERROR, "a0");
    for (int i = 0; i < 30; i++) {
      int before = harness.actions.size();
      harness.query("b" + i, "complete", 1);
      boolean sentToFaulty =
          servers(harness.actions.subList(before, harness.actions.size())).contains(faulty);
      harness.complete(sentToFaulty ? Outcome.ERROR : Outcome.COMPLETED, "b" + i + 0);
    }
    assertThat(servers(harness.actions)).filteredOn(faulty::equals).hasSizeLessThanOrEqualTo(3);
  }

  /**
   * Guards against retries that prolong an overload: all four requests were rejected by overloaded
   * servers.
   */
  @Test
  void rejectedRequestsAreNotRetriedUnderOverload() {
    assertThat(sent(startWithRejections("a0", "a1", "a2", "a3"))).isEmpty();
    assertThat(sent(harness.advance(500))).isEmpty();
  }

  /** Guards against needless failures: a request that no server received has added no load. */
  @Test
  void aRequestThatReachedNoServerIsRetriedEvenUnderOverload() {
    startWithRejections("a0", "a1", "a2", "a3");
    harness.query("b", "complete", 0.25, 0.25, 0.25, 0.25);
    assertThat(sent(harness.complete(Outcome.UNREACHABLE, "b0"))).containsExactly("b0");
  }

  /**
   * Guards against needless failures: the requests of one of 60 routers can't fill a server, so a
   * retry adds little load. A request that timed out may have executed and is not retried.
   */
  @Test
  void inALargeFleetARejectedRequestIsRetriedUnderOverload() {
    harness.routers = 60;
    assertThat(sent(startWithRejections("a0", "a1", "a2", "a3")))
        .containsExactly("a0", "a1", "a2", "a3");
    assertThat(sent(harness.complete(Outcome.TIMED_OUT, "a0"))).isEmpty();
  }

  /**
   * Guards against load shedding that only works in small fleets: one of 60 routers sees too little
   * load of its own, so the congestion level stands in for it.
   */
  @Test
  void inALargeFleetCongestionSkipsLightRequestsDespiteLowLoad() {
    for (int routers : List.of(2, 60)) {
      PolicyHarness router = new PolicyHarness();
      router.routers = routers;
      router.start();
      assertThat(sent(router.query("q", "partial", 0.52, 0.2, 0.18, 0.1)))
          .hasSize(routers == 2 ? 4 : 2)
          .startsWith("q0", "q1");
    }
  }

  /**
   * Guards against the overload of a starting server by 60 routers that are notified of the start
   * together.
   */
  @Test
  void routersNotifiedOfAStartDoNotAllSendAtTheSameTime() {
    int sent = 0;
    for (int rank = 0; rank < 60; rank++) {
      PolicyHarness router = new PolicyHarness();
      router.routers = 60;
      router.seed = rank * 0x9E3779B97F4A7C15L;
      router.layout = new Settings.Layout(1, 1, 1, 1, 0);
      router.start();
      router.updateList(
          ListUpdate.DELTA, endpoint("s0", 0, EndpointStatus.IN_SERVICE, router.nowMs));
      router.query("q", "strict", 1);
      router.advance(1000);
      sent += sent(router.actions).size();
    }
    // One core executes ten requests per second. Twice the initial share of 0.2 is four of them.
    assertThat(sent).isBetween(1, 8);
  }

  /**
   * Guards against synchronized routers: with the same events and different seeds, first attempts
   * must spread over the servers, and calls to discovery over time.
   */
  @Test
  void aHundredRoutersWithTheSameEventsSpreadOverReplicasAndOverTime() {
    int fleet = 100;
    int shards = 20;
    double[] weights = new double[shards];
    Arrays.fill(weights, 1.0 / shards);
    Map<String, Integer> firstAttempts = new HashMap<>();
    List<Long> watchTimes = new ArrayList<>();
    Random seeds = new Random(7);
    for (int i = 0; i < fleet; i++) {
      PolicyHarness router = new PolicyHarness();
      router.layout = new Settings.Layout(shards, shards, 5, 1, 0);
      router.limits = new Settings.Limits(4, true, true, false, true, 500 * MS, 100, true);
      router.routers = fleet;
      router.seed = seeds.nextLong();
      router.start();
      servers(router.query("scan-" + i, "complete", weights))
          .forEach(server -> firstAttempts.merge(server, 1, Integer::sum));
      // All routers lose the watch at the same time, five times in a row, and restart it after a
      // backoff.
      long lostAt = router.nowMs;
      for (int loss = 0; loss < 5; loss++) {
        router.updateList(ListUpdate.WATCH_LOST);
        long now = router.nowMs;
        while (router.advance(1).stream().noneMatch(Action.WatchEndpoints.class::isInstance)) {
          assertThat(router.nowMs - now).as("backoff in ms").isLessThanOrEqualTo(10_000);
        }
      }
      watchTimes.add(router.nowMs - lostAt);
    }
    // 2,000 first attempts at 20 servers: 100 per server on average, with a standard deviation of
    // 10.
    assertThat(firstAttempts).hasSize(shards);
    assertThat(firstAttempts.values()).allMatch(count -> count > 60 && count < 140);
    // No tenth of the time over which the fifth calls spread contains a third of them.
    Collections.sort(watchTimes);
    long tenth = (watchTimes.get(fleet - 1) - watchTimes.get(0)) / 10;
    assertThat(tenth).isGreaterThan(50);
    for (int i = 0; i + fleet / 3 < fleet; i++) {
      assertThat(watchTimes.get(i + fleet / 3) - watchTimes.get(i)).isGreaterThan(tenth);
    }
  }

  /**
   * Guards against ejecting or slow-starting a healthy server because of one connection fault with
   * four attempts in flight.
   */
  @Test
  void aSingleConnectionFaultIsOneFailureAndNoRestart() {
    for (Outcome outcome :
        List.of(Outcome.PROTOCOL_ERROR, Outcome.CONNECTION_LOST, Outcome.UNREACHABLE)) {
      PolicyHarness router = new PolicyHarness();
      router.layout = new Settings.Layout(2, 1, 1, 1, 0);
      router.start();
      for (int i = 0; i < 4; i++) {
        router.query("a" + i, "complete", 1);
      }
      router.complete(outcome, "a00", "a10", "a20", "a30");
      router.complete(Outcome.COMPLETED, "a00", "a10", "a20", "a30");
      // Neither slow start nor a canary holds back any request.
      for (int i = 0; i < 8; i++) {
        assertThat(sent(router.query("b" + i, "complete", 0.5, 0.5))).as(outcome.name()).hasSize(2);
        router.complete(Outcome.COMPLETED, "b" + i + 0, "b" + i + 1);
      }
    }
  }

  /**
   * Guards against attempts on a connection that was dropped without notice. A server that responds
   * late is slow, and its connections are kept.
   */
  @Test
  void afterATimeoutAtAnUnresponsiveServerANewConnectionIsUsed() {
    harness.layout = new Settings.Layout(1, 1, 1, 1, 0);
    harness.start();
    harness.query("a", "non-idempotent", 1);
    harness.complete(Outcome.COMPLETED, "a0");
    harness.query("b", "non-idempotent", 1);
    assertThat(harness.advance(600)).doesNotContain(new Action.RetireConnections("s0"));
    assertThat(harness.query("c", "non-idempotent", 1))
        .contains(new Action.RetireConnections("s0"));
    assertThat(harness.query("d", "non-idempotent", 1))
        .doesNotContain(new Action.RetireConnections("s0"));
    // A late response shows that the server is slow, not that its connection is lost.
    harness.complete(Outcome.COMPLETED, "c0");
    harness.query("e", "non-idempotent", 1);
    harness.advance(400);
    harness.complete(Outcome.COMPLETED, "d0");
    harness.advance(200);
    assertThat(harness.query("f", "non-idempotent", 1))
        .doesNotContain(new Action.RetireConnections("s0"));
  }

  /**
   * Guards against the overload of a restarted server: discovery has not reported the restart, but
   * the server was unreachable for 600 ms.
   */
  @Test
  void aServerThatRespondsAfterALongOutageGetsASlowStart() {
    harness.layout = new Settings.Layout(1, 1, 1, 1, 0);
    harness.start();
    harness.query("a", "complete", 1);
    harness.complete(Outcome.UNREACHABLE, "a0");
    harness.advance(600);
    harness.query("b", "complete", 1);
    harness.complete(Outcome.COMPLETED, "b0");
    int before = sent(harness.actions).size();
    for (int i = 0; i < 40; i++) {
      harness.query("c" + i, "complete", 1);
    }
    assertThat(sent(harness.actions).size() - before).isLessThan(5);
  }

  /** Guards against a query that crashes the servers of all its shards at the same time. */
  @Test
  void afterCrashesTheHeaviestRequestIsSentFirstAsACanary() {
    harness.layout = new Settings.Layout(3, 3, 1, 1, 0);
    harness.start();
    harness.query("a", "non-idempotent", 0.5, 0.5);
    harness.complete(Outcome.CONNECTION_LOST, "a0", "a1");
    harness.nowMs++;
    harness.query("b", "non-idempotent", 0.5, 0.5);
    harness.complete(Outcome.UNREACHABLE, "b0", "b1");
    assertThat(sent(harness.query("q", "complete", 0.2, 0.5, 0.3))).containsExactly("q1");
    assertThat(sent(harness.complete(Outcome.COMPLETED, "q1")))
        .containsExactlyInAnyOrder("q0", "q2");
  }

  /** Guards against retries of a query that crashes its servers. */
  @Test
  void aQueryWithLostConnectionsAndNoResponseIsGivenUpImmediately() {
    harness.start();
    harness.query("a", "complete", 0.25, 0.25, 0.25, 0.25);
    harness.complete(Outcome.CONNECTION_LOST, "a0", "a1");
    assertThat(harness.answers()).hasSize(1);
    assertThat(sent(harness.advance(2500))).isEmpty();
  }

  /**
   * Guards against giving up a query that has had responses, so that the lost connections have
   * another cause.
   */
  @Test
  void aQueryWithAResponseContinuesAfterLostConnections() {
    harness.start();
    harness.query("a", "complete", 0.25, 0.25, 0.25, 0.25);
    harness.complete(Outcome.COMPLETED, "a2", "a3");
    assertThat(sent(harness.complete(Outcome.CONNECTION_LOST, "a0", "a1")))
        .containsExactlyInAnyOrder("a0", "a1");
  }

  /** Guards against timeouts on idle connections that a firewall or a peer drops without notice. */
  @Test
  void idleConnectionsThatWereProbablyDroppedAreRetiredBeforeUse() {
    harness.start();
    for (int i = 0; i < 8; i++) {
      harness.query("a" + i, "non-idempotent", 0.25, 0.25, 0.25, 0.25);
      harness.complete(Outcome.COMPLETED, "a" + i + 0, "a" + i + 1, "a" + i + 2, "a" + i + 3);
      harness.advance(900);
    }
    harness.query("b", "non-idempotent", 0.25, 0.25, 0.25, 0.25);
    harness.advance(900);
    harness.actions.clear();
    harness.query("q", "non-idempotent", 0.25, 0.25, 0.25, 0.25);
    Action.RetireConnections retired =
        harness.actions.stream()
            .filter(Action.RetireConnections.class::isInstance)
            .map(Action.RetireConnections.class::cast)
            .findFirst()
            .orElseThrow();
    Action next = harness.actions.get(harness.actions.indexOf(retired) + 1);
    assertThat(((Action.SendAttempt) next).server()).isEqualTo(retired.server());
  }

  /** Guards against taking one unresponsive server for overload: its request must be retried. */
  @Test
  void aTimeoutWhileOtherResponsesAreQuickIsNotOverload() {
    harness.layout = new Settings.Layout(4, 12, 2, 1, 0);
    harness.start();
    harness.query("a", "complete", 0.25, 0.25, 0.25, 0.25);
    harness.complete(Outcome.COMPLETED, "a0", "a1", "a2");
    assertThat(sent(harness.advance(900))).contains("a3");
  }

  /**
   * Guards against overload that servers do not report: all responses take 800 ms of the 1 s
   * objective.
   */
  @Test
  void slowResponsesFromAllServersAreOverload() {
    harness.start();
    harness.durationMs = 800;
    for (int i = 0; i < 20; i++) {
      harness.query("a" + i, "complete", 0.25, 0.25, 0.25, 0.25);
      harness.advance(800);
      harness.complete(Outcome.COMPLETED, "a" + i + 0, "a" + i + 1, "a" + i + 2, "a" + i + 3);
      harness.advance(205);
    }
    assertThat(sent(harness.query("q", "partial", 0.52, 0.2, 0.18, 0.1))).hasSizeLessThan(2);
  }

  /** Guards against requests to servers that were removed, while the list changes 50 times. */
  @Test
  void serversRemovedFromTheListAreReplacedByNewOnes() {
    harness.start();
    for (int i = 0; i < 50; i++) {
      harness.updateList(
          ListUpdate.DELTA,
          endpoint("s0", 0, EndpointStatus.GONE, 0),
          endpoint("s1", 1, EndpointStatus.GONE, 0),
          endpoint("n" + i, 0, EndpointStatus.IN_SERVICE, 0),
          endpoint("n" + (i - 1), 0, EndpointStatus.GONE, 0));
    }
    assertThat(servers(harness.query("q", "complete", 1))).containsExactly("n49");
  }

  /** Guards against a second answer to a query after unexpected events. */
  @Test
  void clockJumpsAndUnknownOrRepeatedOutcomesGiveOneFinalAnswer() {
    harness.start();
    harness.query("q", "complete", 1);
    harness.complete("q0", 7, Outcome.COMPLETED);
    harness.complete("nobody", 0, Outcome.CONNECTION_LOST);
    harness.nowMs += 5000;
    harness.advance(0);
    assertThat(harness.answers()).hasSize(1);
    harness.complete("q0", 0, Outcome.COMPLETED);
    harness.complete("q0", 0, Outcome.COMPLETED);
    assertThat(harness.answers()).hasSize(1);
  }

  /** Guards against failures with a large endpoint list. */
  @Test
  void aListOfFiveThousandServersIsHandled() {
    harness.layout = new Settings.Layout(5000, 5000, 3, 1, 0);
    harness.start();
    assertThat(sent(harness.query("q", "complete", 0.5, 0.5))).hasSize(2);
  }
}
