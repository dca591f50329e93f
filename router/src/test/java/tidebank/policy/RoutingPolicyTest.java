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

class RoutingPolicyTest {
  private final PolicyHarness harness = new PolicyHarness();

  /** Starts with a query of four requests, of which these are rejected by overloaded servers. */
  private List<Action> reject(String... parts) {
    harness.start();
    harness.query("a", "complete", 0.25, 0.25, 0.25, 0.25);
    return harness.complete(Outcome.OVERLOADED, parts);
  }

  // ---- selection by rank and load

  @Test
  void withoutCongestionAllRequestsAreSentAndTheAnswerIsComplete() {
    harness.start();
    assertThat(sent(harness.query("q", "partial", 0.4, 0.3, 0.2, 0.1)))
        .containsExactly("q0", "q1", "q2", "q3");
    harness.complete(Outcome.COMPLETED, "q0", "q1", "q2", "q3");
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", true));
  }

  @Test
  void afterARejectionLightRequestsAreSkippedAndTheAnswerIsPartial() {
    reject("a0");
    assertThat(sent(harness.query("q", "partial", 0.1, 0.4, 0.2, 0.3)))
        .containsExactly("q1", "q3", "q2");
    harness.complete(Outcome.COMPLETED, "q1", "q3", "q2");
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", false));
  }

  @Test
  void aClassWithoutPartialAnswersSendsAllRequestsUnderCongestion() {
    reject("a0");
    assertThat(sent(harness.query("q", "complete", 0.1, 0.4, 0.2, 0.3))).hasSize(4);
  }

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

  // ---- rule 1: one final answer in time

  @Test
  void aQueryThatWaitedForTheEventLoopIsAnsweredByItsObjectiveAsItsClientCountsIt() {
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
    // Of 1000 ms 40 are gone, and the answer may wait as long again: it is given within the 920
    // between.
    harness.advance(890);
    assertThat(harness.answers()).isEmpty();
    harness.advance(30);
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", false));
  }

  @Test
  void aStallOfTheEventLoopDoesNotGiveUpTheQueriesAfterIt() {
    harness.start();
    harness.query("a", "partial", 0.6, 0.4);
    // The timer at the objective fires 2 s late.
    harness.nowMs += 3000;
    harness.advance(0);
    harness.actions.clear();
    // One with less time left than the stall was long is sent all the same.
    assertThat(sent(harness.queryWithin(900, "q", "complete", 0.6, 0.4))).hasSize(2);
    assertThat(harness.answers()).isEmpty();
    harness.complete(Outcome.COMPLETED, "q0", "q1");
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", true));
    // A partial answer leaves early by at most a fifth of the objective.
    harness.query("r", "partial", 0.6, 0.4);
    harness.complete(Outcome.COMPLETED, "r0");
    harness.advance(780);
    assertThat(harness.answers()).hasSize(1);
    harness.advance(10);
    assertThat(harness.answers()).contains(new Action.Respond("r", false));
  }

  @Test
  void aStallOfTheEventLoopIsForgottenWithTimeThoughNoQueryComesMeanwhile() {
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

  @Test
  void aQueryWithLessTimeLeftThanAQuickResponseTakesIsThrottledAtOnceAndNothingIsSentForIt() {
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

  @Test
  void aQueryWhoseRequestsStayInFlightIsAnsweredPartiallyAtItsObjective() {
    harness.start();
    harness.query("q", "partial", 0.4, 0.3, 0.2, 0.1);
    harness.complete(Outcome.COMPLETED, "q0", "q1");
    harness.advance(980);
    assertThat(harness.answers()).isEmpty();
    harness.advance(20);
    assertThat(harness.answers()).containsExactly(new Action.Respond("q", false));
    assertThat(sent(harness.advance(5000))).isEmpty();
  }

  @Test
  void aQueryWithoutAResponseFailsBeforeItsDeadline() {
    harness.start();
    harness.queryWithin(2000, "q", "non-idempotent", 1);
    harness.advance(1950);
    assertThat(harness.answers()).isEmpty();
    harness.advance(50);
    assertThat(harness.answers()).containsExactly(new Action.Fail("q"));
  }

  @Test
  void aQueryWithoutLateWeightIsThrottledAtItsObjectiveWithARetryAfter() {
    harness.start();
    harness.query("q", "strict", 1);
    harness.advance(1010);
    assertThat(harness.answers()).containsExactly(new Action.Throttle("q", 500 * MS));
  }

  @Test
  void aQueryWhoseClientDisconnectsInTheSameRoundGetsNeitherAnswerNorAttempt() {
    harness.start();
    harness.query("q", "complete", 0.5, 0.5);
    assertThat(
            harness.round(
                new Event.AttemptCompleted("q0", 0, Outcome.ERROR, MS, true, Map.of()),
                new Event.ClientDisconnected("q")))
        .noneMatch(a -> a instanceof Action.SendAttempt || a instanceof Action.Fail);
    assertThat(harness.answers()).isEmpty();
  }

  @Test
  void anInvalidQueryGetsItsFinalAnswerAtOnce() {
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

  @Test
  void aQueryToAShardWithoutReplicasIsThrottledAtOnce() {
    harness.start();
    harness.updateList(ListUpdate.SNAPSHOT, endpoint("s2", 2, EndpointStatus.IN_SERVICE, 0));
    assertThat(harness.query("q", "complete", 0.5, 0.5))
        .contains(new Action.Throttle("q", 500 * MS));
  }

  @Test
  void settingsOfZerosStillGiveOneFinalAnswer() {
    harness.layout = new Settings.Layout(0, 0, 0, 1, 0);
    harness.rules = new Settings.Rules(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    harness.addQueryClass("complete", Idempotency.IDEMPOTENT, 0, 0, 0);
    harness.start();
    harness.query("q", "complete", 0.5, 0.5);
    harness.advance(3000);
    assertThat(harness.answers()).hasSize(1);
  }

  // ---- rule 2: nothing is executed twice

  @Test
  void aNonIdempotentRequestIsNotRetriedOnceItMayHaveExecuted() {
    harness.start();
    harness.query("q", "non-idempotent", 1);
    assertThat(sent(harness.complete(Outcome.CONNECTION_LOST, "q0"))).isEmpty();
    assertThat(harness.answers()).containsExactly(new Action.Fail("q"));
  }

  @Test
  void aNonIdempotentRequestIsRetriedWhenItsAttemptNeverExecuted() {
    harness.start();
    harness.query("q", "non-idempotent", 1);
    assertThat(sent(harness.complete(Outcome.UNREACHABLE, "q0"))).containsExactly("q0");
  }

  @Test
  void aRequestWithAKeyIsNotRetriedPastItsIdempotencyWindow() {
    harness.queryClasses.computeIfPresent(
        "keyed",
        (name, t) ->
            new QueryClass(
                name,
                t.idempotency(),
                300 * MS,
                t.latencyObjectiveUs(),
                t.timeoutUs(),
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

  @Test
  void withoutHedgingARequestHasOneAttemptInFlight() {
    harness.limits = new Settings.Limits(4, false, true, false, true, 0, 100, false);
    harness.start();
    harness.query("q", "complete", 1);
    assertThat(sent(harness.advance(900))).isEmpty();
  }

  @Test
  void withoutHedgingATimedOutAttemptAtAnEjectedServerIsCancelledAndRetried() {
    harness.limits = new Settings.Limits(4, false, true, false, true, 0, 100, false);
    harness.layout = new Settings.Layout(6, 6, 6, 1, 0);
    harness.start();
    String sick = servers(harness.query("q", "complete", 1)).get(0);
    for (int i = 0; !servers(harness.actions).subList(1, i + 1).contains(sick); i++) {
      harness.query("r" + i, "complete", 1);
    }
    for (String part : List.copyOf(harness.attempts.keySet())) {
      if (!servers(harness.actions).get(sent(harness.actions).indexOf(part)).equals(sick)) {
        harness.complete(Outcome.COMPLETED, part);
      }
    }
    List<Action> later = harness.advance(700);
    assertThat(later).contains(new Action.CancelAttempt("q0", 0));
    assertThat(sent(later)).doesNotContain("q0");
    assertThat(servers(harness.complete(Outcome.CANCELLED, "q0"))).hasSize(1).doesNotContain(sick);
  }

  // ---- rule 3: draining servers and the endpoint list

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

  @Test
  void anEndpointListOnRequestIsWatchedAndWatchedAgainWhenTheCallFails() {
    harness.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
    harness.start();
    assertThat(harness.actions).contains(new Action.WatchEndpoints(true));
    harness.updateList(ListUpdate.WATCH_LOST);
    assertThat(harness.advance(1000)).containsOnlyOnce(new Action.WatchEndpoints(true));
    harness.updateList(ListUpdate.SNAPSHOT, endpoint("s0", 0, EndpointStatus.IN_SERVICE, 0));
    assertThat(harness.advance(60_000)).doesNotContain(new Action.WatchEndpoints(true));
  }

  @Test
  void movedDiscoveryIsWatchedAtOnceWithTheLeastBackoff() {
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

  @Test
  void pendingAndLaterQueriesAreAnsweredBeforeTheRouterShutsDown() {
    harness.start();
    harness.query("a", "non-idempotent", 1);
    harness.round(
        new tidebank.model.Event.ShutdownRequested((harness.nowMs + 700) * PolicyHarness.MS));
    harness.advance(100);
    harness.query("b", "non-idempotent", 1);
    harness.advance(599);
    assertThat(harness.answers()).hasSize(2);
  }

  // ---- rule 4: slow start

  @Test
  void aServerInSlowStartGetsOnlyItsShareOverAnyWindow() {
    harness.layout = new Settings.Layout(1, 2, 2, 1, 0);
    harness.start();
    harness.nowMs = 20_000;
    harness.updateList(ListUpdate.DELTA, endpoint("s0", 0, EndpointStatus.IN_SERVICE, 20_000));
    for (int i = 0; i < 40; i++) {
      harness.query("q" + i, "complete", 1);
    }
    // 0.2 of one core, twice over for a second, two routers: 0.2 s of work, two requests of a
    // tenth of the objective.
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

  // ---- rule 5: honest answers

  @Test
  void noAnswerIsGivenBelowTheMinimumWeight() {
    harness.start();
    harness.query("q", "partial", 0.4, 0.3, 0.2, 0.1);
    harness.complete(Outcome.COMPLETED, "q0");
    harness.advance(3000);
    assertThat(harness.answers()).containsExactly(new Action.Throttle("q", 500 * MS));
  }

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

  @Test
  void retriesStayWithinTheRetryBudget() {
    harness.rules = new Settings.Rules(20 * MS, 10_000 * MS, 0, 0.2, 0, 2, 0, 1, 0, 10_000 * MS);
    harness.start();
    harness.query("q", "complete", 0.5, 0.5);
    assertThat(sent(harness.complete(Outcome.ERROR, "q0", "q1"))).hasSize(1);
    assertThat(sent(harness.advance(500))).isEmpty();
  }

  // ---- faults

  @Test
  void aTimedOutAttemptIsHedgedAtAnotherServer() {
    harness.start();
    List<Action> first = harness.query("q", "complete", 1);
    assertThat(sent(harness.advance(450))).isEmpty();
    List<Action> later = harness.advance(100);
    assertThat(sent(later)).containsExactly("q0");
    assertThat(servers(later)).doesNotContainAnyElementsOf(servers(first));
  }

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

  @Test
  void aClientRetryPastItsObjectiveIsThrottledUnderOverload() {
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

  @Test
  void fewerTopRanksAreSentWhileOverloadLasts() {
    harness.start();
    List<Integer> asked = new ArrayList<>();
    for (String wave : List.of("a", "b", "c", "d")) {
      harness.query(wave, "complete", 0.25, 0.25, 0.25, 0.25);
      asked.add(sent(harness.query("q" + wave, "partial", 0.52, 0.2, 0.18, 0.1)).size());
      harness.complete(Outcome.OVERLOADED, wave + 0, wave + 1, wave + 2, wave + 3);
      harness.advance(1005);
    }
    assertThat(asked).startsWith(4, 1).endsWith(0);
  }

  @Test
  void whileSomeServersAreCongestedLightRequestsStillGoToShardsWithLittleLoad() {
    harness.start();
    harness.query("a", "complete", 0.25, 0.25, 0.25, 0.25);
    harness.complete(Outcome.OVERLOADED, "a0", "a1");
    harness.complete(Outcome.COMPLETED, "a2", "a3");
    harness.advance(20);
    assertThat(sent(harness.query("q", "partial", 0.52, 0.2, 0.18, 0.1))).hasSizeGreaterThan(1);
  }

  @Test
  void aServerThatRespondsWithErrorsIsEjected() {
    harness.start();
    harness.query("a", "complete", 1);
    String bad = servers(harness.actions).get(0);
    harness.complete(Outcome.ERROR, "a0");
    for (int i = 0; i < 30; i++) {
      int before = harness.actions.size();
      harness.query("b" + i, "complete", 1);
      boolean struck =
          servers(harness.actions.subList(before, harness.actions.size())).contains(bad);
      harness.complete(struck ? Outcome.ERROR : Outcome.COMPLETED, "b" + i + 0);
    }
    assertThat(servers(harness.actions)).filteredOn(bad::equals).hasSizeLessThanOrEqualTo(3);
  }

  @Test
  void underOverloadNothingIsRetried() {
    assertThat(sent(reject("a0", "a1", "a2", "a3"))).isEmpty();
    assertThat(sent(harness.advance(500))).isEmpty();
  }

  @Test
  void aRequestThatReachedNoServerIsRetriedAlsoUnderOverload() {
    reject("a0", "a1", "a2", "a3");
    harness.query("b", "complete", 0.25, 0.25, 0.25, 0.25);
    assertThat(sent(harness.complete(Outcome.UNREACHABLE, "b0"))).containsExactly("b0");
  }

  @Test
  void inABigFleetARejectedRequestIsRetriedAlsoUnderOverload() {
    harness.routers = 60;
    assertThat(sent(reject("a0", "a1", "a2", "a3"))).containsExactly("a0", "a1", "a2", "a3");
    assertThat(sent(harness.complete(Outcome.TIMED_OUT, "a0"))).isEmpty();
  }

  @Test
  void inABigFleetCongestionSkipsLightRequestsThoughThisRoutersAreFew() {
    for (int instances : List.of(2, 60)) {
      PolicyHarness one = new PolicyHarness();
      one.routers = instances;
      one.start();
      assertThat(sent(one.query("q", "partial", 0.52, 0.2, 0.18, 0.1)))
          .hasSize(instances == 2 ? 4 : 2)
          .startsWith("q0", "q1");
    }
  }

  @Test
  void routersNotifiedOfAStartTogetherDoNotAllSendAtOnce() {
    int sent = 0;
    for (int rank = 0; rank < 60; rank++) {
      PolicyHarness one = new PolicyHarness();
      one.routers = 60;
      one.seed = rank * 0x9E3779B97F4A7C15L;
      one.layout = new Settings.Layout(1, 1, 1, 1, 0);
      one.start();
      one.updateList(ListUpdate.DELTA, endpoint("s0", 0, EndpointStatus.IN_SERVICE, one.nowMs));
      one.query("q", "strict", 1);
      one.advance(1000);
      sent += sent(one.actions).size();
    }
    // One core executes ten requests a second; from a fifth of that, twice over: four.
    assertThat(sent).isBetween(1, 8);
  }

  @Test
  void aHundredRoutersWithTheSameEventsSpreadOverReplicasAndOverTime() {
    int fleet = 100;
    int shards = 20;
    double[] weights = new double[shards];
    Arrays.fill(weights, 1.0 / shards);
    Map<String, Integer> firsts = new HashMap<>();
    List<Long> asks = new ArrayList<>();
    Random seeds = new Random(7);
    for (int i = 0; i < fleet; i++) {
      PolicyHarness one = new PolicyHarness();
      one.layout = new Settings.Layout(shards, shards, 5, 1, 0);
      one.limits = new Settings.Limits(4, true, true, false, true, 500 * MS, 100, true);
      one.routers = fleet;
      one.seed = seeds.nextLong();
      one.start();
      servers(one.query("scan-" + i, "complete", weights))
          .forEach(server -> firsts.merge(server, 1, Integer::sum));
      // All lose discovery at one moment, five times in a row, and watch again after a backoff.
      long lostAt = one.nowMs;
      for (int loss = 0; loss < 5; loss++) {
        one.updateList(ListUpdate.WATCH_LOST);
        long now = one.nowMs;
        while (one.advance(1).stream().noneMatch(Action.WatchEndpoints.class::isInstance)) {
          assertThat(one.nowMs - now).as("a wait is bounded").isLessThanOrEqualTo(10_000);
        }
      }
      asks.add(one.nowMs - lostAt);
    }
    // 2,000 first attempts at 20 servers: 100 each in the mean, with a deviation of 10.
    assertThat(firsts).hasSize(shards);
    assertThat(firsts.values()).allMatch(count -> count > 60 && count < 140);
    // Within any tenth of the time over which the fifth calls spread there is no third of them.
    Collections.sort(asks);
    long tenth = (asks.get(fleet - 1) - asks.get(0)) / 10;
    assertThat(tenth).isGreaterThan(50);
    for (int i = 0; i + fleet / 3 < fleet; i++) {
      assertThat(asks.get(i + fleet / 3) - asks.get(i)).isGreaterThan(tenth);
    }
  }

  @Test
  void theEndOfALoneConnectionIsOneFailureAndNoSignOfARestart() {
    for (Outcome outcome :
        List.of(Outcome.PROTOCOL_ERROR, Outcome.CONNECTION_LOST, Outcome.UNREACHABLE)) {
      PolicyHarness one = new PolicyHarness();
      one.layout = new Settings.Layout(2, 1, 1, 1, 0);
      one.start();
      for (int i = 0; i < 4; i++) {
        one.query("a" + i, "complete", 1);
      }
      one.complete(outcome, "a00", "a10", "a20", "a30");
      one.complete(Outcome.COMPLETED, "a00", "a10", "a20", "a30");
      // Neither slow start nor a canary holds any of them back.
      for (int i = 0; i < 8; i++) {
        assertThat(sent(one.query("b" + i, "complete", 0.5, 0.5))).as(outcome.name()).hasSize(2);
        one.complete(Outcome.COMPLETED, "b" + i + 0, "b" + i + 1);
      }
    }
  }

  @Test
  void afterATimeoutWithoutAResponseSinceTheNextAttemptUsesANewConnection() {
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
    // Late, but there is a response: the server is slow.
    harness.complete(Outcome.COMPLETED, "c0");
    harness.query("e", "non-idempotent", 1);
    harness.advance(400);
    harness.complete(Outcome.COMPLETED, "d0");
    harness.advance(200);
    assertThat(harness.query("f", "non-idempotent", 1))
        .doesNotContain(new Action.RetireConnections("s0"));
  }

  @Test
  void aServerThatWasUnreachableForLongGetsASlowStartOnceItResponds() {
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

  @Test
  void aQueryThatLosesConnectionsWithoutAResponseIsGivenUpAtOnce() {
    harness.start();
    harness.query("a", "complete", 0.25, 0.25, 0.25, 0.25);
    harness.complete(Outcome.CONNECTION_LOST, "a0", "a1");
    assertThat(harness.answers()).hasSize(1);
    assertThat(sent(harness.advance(2500))).isEmpty();
  }

  @Test
  void aQueryWithAResponseGoesOnAfterLostConnections() {
    harness.start();
    harness.query("a", "complete", 0.25, 0.25, 0.25, 0.25);
    harness.complete(Outcome.COMPLETED, "a2", "a3");
    assertThat(sent(harness.complete(Outcome.CONNECTION_LOST, "a0", "a1")))
        .containsExactlyInAnyOrder("a0", "a1");
  }

  @Test
  void idleConnectionsThatFellSilentAreRetiredBeforeUse() {
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
    Action.RetireConnections close =
        harness.actions.stream()
            .filter(Action.RetireConnections.class::isInstance)
            .map(Action.RetireConnections.class::cast)
            .findFirst()
            .orElseThrow();
    Action next = harness.actions.get(harness.actions.indexOf(close) + 1);
    assertThat(((Action.SendAttempt) next).server()).isEqualTo(close.server());
  }

  @Test
  void silenceWhileResponsesAreQuickIsNotOverload() {
    harness.layout = new Settings.Layout(4, 12, 2, 1, 0);
    harness.start();
    harness.query("a", "complete", 0.25, 0.25, 0.25, 0.25);
    harness.complete(Outcome.COMPLETED, "a0", "a1", "a2");
    assertThat(sent(harness.advance(900))).contains("a3");
  }

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

  @Test
  void aServerThatLeftTheListIsReplacedByAnother() {
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

  @Test
  void aListOfThousandsOfServersIsServed() {
    harness.layout = new Settings.Layout(5000, 5000, 3, 1, 0);
    harness.start();
    assertThat(sent(harness.query("q", "complete", 0.5, 0.5))).hasSize(2);
  }
}
