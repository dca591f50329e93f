package tidebank.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.policy.PolicyHarness.MS;
import static tidebank.policy.PolicyHarness.line;
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
  private final PolicyHarness host = new PolicyHarness();

  /** Starts with a scan of four parts, of which these are refused as full. */
  private List<Action> refuse(String... parts) {
    host.start();
    host.scan("a", "whole", 0.25, 0.25, 0.25, 0.25);
    return host.end(Outcome.OVERLOADED, parts);
  }

  // ---- the design's ordinary path

  @Test
  void whileNothingIsWrongAllPartsGoAndTheAnswerIsWhole() {
    host.start();
    assertThat(sent(host.scan("q", "part", 0.4, 0.3, 0.2, 0.1)))
        .containsExactly("q0", "q1", "q2", "q3");
    host.end(Outcome.COMPLETED, "q0", "q1", "q2", "q3");
    assertThat(host.verdicts()).containsExactly(new Action.Respond("q", true));
  }

  @Test
  void afterARefusalLightPartsStayUnsentAndTheAnswerIsPartial() {
    refuse("a0");
    assertThat(sent(host.scan("q", "part", 0.1, 0.4, 0.2, 0.3))).containsExactly("q1", "q3", "q2");
    host.end(Outcome.COMPLETED, "q1", "q3", "q2");
    assertThat(host.verdicts()).containsExactly(new Action.Respond("q", false));
  }

  @Test
  void aTypeWithoutPartialAnswersSendsAllPartsUnderTrouble() {
    refuse("a0");
    assertThat(sent(host.scan("q", "whole", 0.1, 0.4, 0.2, 0.3))).hasSize(4);
  }

  @Test
  void aPartGoesToItsHomeUntilThatHoldsTooMuch() {
    host.layout = new Settings.Layout(1, 3, 3, 1, 0);
    host.start();
    for (int i = 0; i < 5; i++) {
      host.tell(
          new Event.QueryReceived(
              "q" + i, 100 + i, "whole", "", host.nowMs * MS, (host.nowMs + 3000) * MS, false, ""),
          new Event.ShardRequestReceived("p" + i, 100 + i, 0, 1, "same key"));
    }
    assertThat(servers(host.all)).hasSize(5).containsOnly(servers(host.all).get(0));
    List<Action> next =
        host.tell(
            new Event.QueryReceived(
                "z", 200, "whole", "", host.nowMs * MS, (host.nowMs + 3000) * MS, false, ""),
            new Event.ShardRequestReceived("pz", 200, 0, 1, "same key"));
    assertThat(servers(next)).doesNotContain(servers(host.all).get(0));
  }

  // ---- rule 1: one final answer in time

  @Test
  void aScanThatWaitedForTheProcessorIsAnsweredByItsTargetTimeAsItsClientCountsIt() {
    host.start();
    host.tell(
        new Event.QueryReceived(
            "q", 90, "part", "", (host.nowMs - 40) * MS, (host.nowMs + 2960) * MS, false, ""),
        new Event.ShardRequestReceived("q0", 90, 0, 0.6, ""),
        new Event.ShardRequestReceived("q1", 90, 1, 0.4, ""));
    host.end(Outcome.COMPLETED, "q0");
    // Of 1000 ms 40 are gone, and the answer may wait as long again: it is given within the 920
    // between.
    host.pass(890);
    assertThat(host.verdicts()).isEmpty();
    host.pass(30);
    assertThat(host.verdicts()).containsExactly(new Action.Respond("q", false));
  }

  @Test
  void aStallOfTheProcessDoesNotGiveUpTheScansAfterIt() {
    host.start();
    host.scan("a", "part", 0.6, 0.4);
    // The wake-up at the target time comes 2 s late.
    host.nowMs += 3000;
    host.pass(0);
    host.all.clear();
    // One with less time left than the stall was long is sent all the same.
    assertThat(sent(host.scanWithin(900, "q", "whole", 0.6, 0.4))).hasSize(2);
    assertThat(host.verdicts()).isEmpty();
    host.end(Outcome.COMPLETED, "q0", "q1");
    assertThat(host.verdicts()).containsExactly(new Action.Respond("q", true));
    // An answer in part leaves at most a fifth of the target time early.
    host.scan("r", "part", 0.6, 0.4);
    host.end(Outcome.COMPLETED, "r0");
    host.pass(780);
    assertThat(host.verdicts()).hasSize(1);
    host.pass(10);
    assertThat(host.verdicts()).contains(new Action.Respond("r", false));
  }

  @Test
  void aStallOfTheProcessIsForgottenWithTimeThoughNoScanComesMeanwhile() {
    host.start();
    host.scan("a", "part", 0.6, 0.4);
    host.nowMs += 3000;
    host.pass(0);
    host.pass(30_000);
    host.all.clear();
    host.scan("q", "part", 0.6, 0.4);
    host.end(Outcome.COMPLETED, "q0");
    host.pass(980);
    assertThat(host.verdicts()).isEmpty();
    host.pass(20);
    assertThat(host.verdicts()).containsExactly(new Action.Respond("q", false));
  }

  @Test
  void aScanWithLessTimeLeftThanAQuickAnswerTakesIsThrottledAtOnceAndNothingIsSentForIt() {
    host.start();
    for (String id : List.of("a", "b", "c")) {
      host.scan(id, "whole", 1);
      host.pass(100);
      host.end(Outcome.COMPLETED, id + "0");
    }
    host.all.clear();
    assertThat(sent(host.scanWithin(90, "q", "whole", 1))).isEmpty();
    assertThat(host.verdicts()).hasSize(1).allMatch(Action.Throttle.class::isInstance);
    host.all.clear();
    assertThat(sent(host.scanWithin(300, "r", "whole", 1))).containsExactly("r0");
  }

  @Test
  void aScanWhosePartsNeverReturnIsAnsweredInPartAtTheTargetTime() {
    host.start();
    host.scan("q", "part", 0.4, 0.3, 0.2, 0.1);
    host.end(Outcome.COMPLETED, "q0", "q1");
    host.pass(980);
    assertThat(host.verdicts()).isEmpty();
    host.pass(20);
    assertThat(host.verdicts()).containsExactly(new Action.Respond("q", false));
    assertThat(sent(host.pass(5000))).isEmpty();
  }

  @Test
  void aScanWithNothingInIsGivenUpBeforeTheClientLeaves() {
    host.start();
    host.scanWithin(2000, "q", "once", 1);
    host.pass(1950);
    assertThat(host.verdicts()).isEmpty();
    host.pass(50);
    assertThat(host.verdicts()).containsExactly(new Action.Fail("q"));
  }

  @Test
  void whatIsWorthNothingAfterItsTargetTimeIsGivenUpThereWithATimeToComeBack() {
    host.start();
    host.scan("q", "strict", 1);
    host.pass(1010);
    assertThat(host.verdicts()).containsExactly(new Action.Throttle("q", 500 * MS));
  }

  @Test
  void aScanThatLapsedInTheSameBatchGetsNeitherAnswerNorDispatch() {
    host.start();
    host.scan("q", "whole", 0.5, 0.5);
    assertThat(
            host.tell(
                new Event.AttemptCompleted("q0", 0, Outcome.ERROR, MS, true, Map.of()),
                new Event.ClientDisconnected("q")))
        .noneMatch(a -> a instanceof Action.SendAttempt || a instanceof Action.Fail);
    assertThat(host.verdicts()).isEmpty();
  }

  @Test
  void badInputGetsAPlainAnswerAtOnce() {
    host.start();
    host.scan("none", "whole");
    host.scanWithin(2, "late", "whole", 0.5, 0.5);
    host.tell(
        new Event.QueryReceived(
            "odd", 50, "unheard of", "", host.nowMs * MS, (host.nowMs + 900) * MS, false, ""),
        new Event.ShardRequestReceived("odd0", 50, 99, 1, ""));
    assertThat(host.verdicts()).hasSize(2).contains(new Action.Throttle("none", 500 * MS));
    host.pass(900);
    assertThat(host.verdicts()).hasSize(3);
  }

  @Test
  void aListThatNamesNoHolderOfAShardGivesTheScanUpAtOnce() {
    host.start();
    host.list(ListUpdate.SNAPSHOT, line("s2", 2, EndpointStatus.IN_SERVICE, 0));
    assertThat(host.scan("q", "whole", 0.5, 0.5)).contains(new Action.Throttle("q", 500 * MS));
  }

  @Test
  void settingsOfZerosBreakNothing() {
    host.layout = new Settings.Layout(0, 0, 0, 1, 0);
    host.rules = new Settings.Rules(0, 0, 0, 0, 0, 0, 0, 0, 0, 0);
    host.type("whole", Idempotency.IDEMPOTENT, 0, 0, 0);
    host.start();
    host.scan("q", "whole", 0.5, 0.5);
    host.pass(3000);
    assertThat(host.verdicts()).hasSize(1);
  }

  // ---- rule 2: no effect twice

  @Test
  void aNonReplayablePartIsNeverSentAgainOnceItMayHaveRun() {
    host.start();
    host.scan("q", "once", 1);
    assertThat(sent(host.end(Outcome.CONNECTION_LOST, "q0"))).isEmpty();
    assertThat(host.verdicts()).containsExactly(new Action.Fail("q"));
  }

  @Test
  void aNonReplayablePartGoesOnWhenItsDispatchIsProvedNeverToHaveRun() {
    host.start();
    host.scan("q", "once", 1);
    assertThat(sent(host.end(Outcome.UNREACHABLE, "q0"))).containsExactly("q0");
  }

  @Test
  void aKeyedPartIsNotSentAgainPastItsWindow() {
    host.types.computeIfPresent(
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
    host.start();
    host.scan("q", "keyed", 1);
    host.pass(300);
    assertThat(sent(host.end(Outcome.CONNECTION_LOST, "q0"))).isEmpty();
    assertThat(host.verdicts()).containsExactly(new Action.Fail("q"));
  }

  @Test
  void whereSecondCopiesAreOffAPartHasOneDispatchOut() {
    host.limits = new Settings.Limits(4, false, true, false, true, 0, 100, false);
    host.start();
    host.scan("q", "whole", 1);
    assertThat(sent(host.pass(900))).isEmpty();
  }

  @Test
  void whereSecondCopiesAreOffAnOverduePartIsCalledBackFromASickServerAndSentOn() {
    host.limits = new Settings.Limits(4, false, true, false, true, 0, 100, false);
    host.layout = new Settings.Layout(6, 6, 6, 1, 0);
    host.start();
    String sick = servers(host.scan("q", "whole", 1)).get(0);
    for (int i = 0; !servers(host.all).subList(1, i + 1).contains(sick); i++) {
      host.scan("r" + i, "whole", 1);
    }
    for (String part : List.copyOf(host.tries.keySet())) {
      if (!servers(host.all).get(sent(host.all).indexOf(part)).equals(sick)) {
        host.end(Outcome.COMPLETED, part);
      }
    }
    List<Action> later = host.pass(700);
    assertThat(later).contains(new Action.CancelAttempt("q0", 0));
    assertThat(sent(later)).doesNotContain("q0");
    assertThat(servers(host.end(Outcome.CANCELLED, "q0"))).hasSize(1).doesNotContain(sick);
  }

  // ---- rule 3: drains and the list

  @Test
  void nothingGoesToADrainingServer() {
    host.start();
    host.list(
        ListUpdate.DELTA,
        line("s0", 0, EndpointStatus.DRAINING, 0),
        line("s1", 1, EndpointStatus.GONE, 0));
    for (int i = 0; i < 8; i++) {
      assertThat(servers(host.scan("q" + i, "whole", 0.25, 0.25, 0.25, 0.25)))
          .doesNotContain("s0", "s1");
    }
  }

  @Test
  void aListThatMustBeAskedForIsFollowedAndAskedForAgainWhenTheCallFails() {
    host.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
    host.start();
    assertThat(host.all).contains(new Action.WatchEndpoints(true));
    host.list(ListUpdate.WATCH_LOST);
    assertThat(host.pass(1000)).containsOnlyOnce(new Action.WatchEndpoints(true));
    host.list(ListUpdate.SNAPSHOT, line("s0", 0, EndpointStatus.IN_SERVICE, 0));
    assertThat(host.pass(60_000)).doesNotContain(new Action.WatchEndpoints(true));
  }

  @Test
  void whereDiscoveryMovedItIsAskedAtOnceAndALossThereWaitsTheLeast() {
    host.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
    host.start();
    for (int i = 0; i < 8; i++) {
      host.list(ListUpdate.WATCH_LOST);
      host.pass(9_000);
    }
    assertThat(host.list(ListUpdate.DISCOVERY_MOVED)).contains(new Action.WatchEndpoints(true));
    host.list(ListUpdate.WATCH_LOST);
    assertThat(host.pass(1000)).contains(new Action.WatchEndpoints(true));
  }

  @Test
  void whatIsHeldAndWhatComesIsAnsweredBeforeTheInstanceEnds() {
    host.start();
    host.scan("a", "once", 1);
    host.tell(new tidebank.model.Event.ShutdownRequested((host.nowMs + 700) * PolicyHarness.MS));
    host.pass(100);
    host.scan("b", "once", 1);
    host.pass(599);
    assertThat(host.verdicts()).hasSize(2);
  }

  // ---- rule 4: cold servers

  @Test
  void aColdServerGetsOnlyItsShareOverAnyWindow() {
    host.layout = new Settings.Layout(1, 2, 2, 1, 0);
    host.start();
    host.nowMs = 20_000;
    host.list(ListUpdate.DELTA, line("s0", 0, EndpointStatus.IN_SERVICE, 20_000));
    for (int i = 0; i < 40; i++) {
      host.scan("q" + i, "whole", 1);
    }
    // 0.2 of one core, twice over for a second, two gatherers: 0.2 s of work, two parts of a tenth
    // of the target time.
    assertThat(servers(host.all)).filteredOn("s0"::equals).hasSizeBetween(1, 2);
    host.pass(15_000);
    int before = servers(host.all).size();
    for (int i = 0; i < 40; i++) {
      host.scan("w" + i, "whole", 1);
    }
    assertThat(servers(host.all).subList(before, servers(host.all).size()))
        .filteredOn("s0"::equals)
        .hasSizeGreaterThan(5);
  }

  // ---- rule 5: honest answers

  @Test
  void noAnswerIsGivenFromUnderTheFloor() {
    host.start();
    host.scan("q", "part", 0.4, 0.3, 0.2, 0.1);
    host.end(Outcome.COMPLETED, "q0");
    host.pass(3000);
    assertThat(host.verdicts()).containsExactly(new Action.Throttle("q", 500 * MS));
  }

  @Test
  void aSecondStepIsWholeOnlyIfTheFirstWas() {
    host.start();
    host.scan("q", "steps", 0.4, 0.3, 0.2, 0.1);
    host.end(Outcome.COMPLETED, "q0", "q1");
    host.pass(800);
    assertThat(host.verdicts()).containsExactly(new Action.Respond("q", false));
    assertThat(sent(host.secondStep("q", 1, 0, 1))).containsExactly("qx0", "qx1");
    host.end(Outcome.COMPLETED, "qx0", "qx1");
    assertThat(host.verdicts())
        .containsExactly(new Action.Respond("q", false), new Action.Respond("q", false));
  }

  // ---- rule 6: the budget of further dispatches

  @Test
  void furtherDispatchesStayWithinAStatedBudget() {
    host.rules = new Settings.Rules(20 * MS, 10_000 * MS, 0, 0.2, 0, 2, 0, 1, 0, 10_000 * MS);
    host.start();
    host.scan("q", "whole", 0.5, 0.5);
    assertThat(sent(host.end(Outcome.ERROR, "q0", "q1"))).hasSize(1);
    assertThat(sent(host.pass(500))).isEmpty();
  }

  // ---- failures met

  @Test
  void anOverduePartGetsASecondCopyElsewhere() {
    host.start();
    List<Action> first = host.scan("q", "whole", 1);
    assertThat(sent(host.pass(450))).isEmpty();
    List<Action> later = host.pass(100);
    assertThat(sent(later)).containsExactly("q0");
    assertThat(servers(later)).doesNotContainAnyElementsOf(servers(first));
  }

  @Test
  void partsOfOneCallFillAHomeByHalves() {
    host.layout = new Settings.Layout(12, 3, 3, 8, 35 * MS);
    host.start();
    double[] weights = new double[12];
    Arrays.fill(weights, 1.0 / 12);
    List<String> servers = servers(host.scan("q", "whole", weights));
    for (String server : List.of("s0", "s1", "s2")) {
      assertThat(servers).filteredOn(server::equals).hasSizeLessThanOrEqualTo(8);
    }
  }

  @Test
  void aClientsNewTryPastItsTargetTimeIsTurnedAwayUnderOverload() {
    host.start();
    host.scanWithin(2900, "q", "whole", 0.25, 0.25, 0.25, 0.25);
    host.pass(10);
    host.end(Outcome.OVERLOADED, "q0", "q1", "q2", "q3");
    host.pass(1100);
    List<Action> reply =
        host.tell(
            new Event.QueryReceived(
                "again", 90, "whole", "", host.nowMs * MS, (host.nowMs + 2900) * MS, true, "q"),
            new Event.ShardRequestReceived("again0", 90, 0, 1, ""));
    assertThat(reply).contains(new Action.Throttle("again", 500 * MS));
  }

  @Test
  void tFallsTowardsTheFloorWhileOverloadLasts() {
    host.start();
    List<Integer> asked = new ArrayList<>();
    for (String wave : List.of("a", "b", "c", "d")) {
      host.scan(wave, "whole", 0.25, 0.25, 0.25, 0.25);
      asked.add(sent(host.scan("q" + wave, "part", 0.52, 0.2, 0.18, 0.1)).size());
      host.end(Outcome.OVERLOADED, wave + 0, wave + 1, wave + 2, wave + 3);
      host.pass(1005);
    }
    assertThat(asked).startsWith(4, 1).endsWith(0);
  }

  @Test
  void whileSomeServersAreCongestedLightPartsStillGoToShardsThatCarryLittle() {
    host.start();
    host.scan("a", "whole", 0.25, 0.25, 0.25, 0.25);
    host.end(Outcome.OVERLOADED, "a0", "a1");
    host.end(Outcome.COMPLETED, "a2", "a3");
    host.pass(20);
    assertThat(sent(host.scan("q", "part", 0.52, 0.2, 0.18, 0.1))).hasSizeGreaterThan(1);
  }

  @Test
  void aServerThatAnswersAtOnceWithErrorsDrawsNoMoreFirstDispatches() {
    host.start();
    host.scan("a", "whole", 1);
    String bad = servers(host.all).get(0);
    host.end(Outcome.ERROR, "a0");
    for (int i = 0; i < 30; i++) {
      int before = host.all.size();
      host.scan("b" + i, "whole", 1);
      boolean struck = servers(host.all.subList(before, host.all.size())).contains(bad);
      host.end(struck ? Outcome.ERROR : Outcome.COMPLETED, "b" + i + 0);
    }
    assertThat(servers(host.all)).filteredOn(bad::equals).hasSizeLessThanOrEqualTo(3);
  }

  @Test
  void underOverloadThereAreNoFurtherDispatches() {
    assertThat(sent(refuse("a0", "a1", "a2", "a3"))).isEmpty();
    assertThat(sent(host.pass(500))).isEmpty();
  }

  @Test
  void aPartThatReachedNoServerGoesOnAlsoUnderOverload() {
    refuse("a0", "a1", "a2", "a3");
    host.scan("b", "whole", 0.25, 0.25, 0.25, 0.25);
    assertThat(sent(host.end(Outcome.UNREACHABLE, "b0"))).containsExactly("b0");
  }

  @Test
  void inABigFleetARefusedPartGoesOnAlsoUnderOverload() {
    host.instances = 60;
    assertThat(sent(refuse("a0", "a1", "a2", "a3"))).containsExactly("a0", "a1", "a2", "a3");
    assertThat(sent(host.end(Outcome.TIMED_OUT, "a0"))).isEmpty();
  }

  @Test
  void inABigFleetCongestionLeavesLightPartsOutThoughOurOwnAreFew() {
    for (int instances : List.of(2, 60)) {
      PolicyHarness one = new PolicyHarness();
      one.instances = instances;
      one.start();
      assertThat(sent(one.scan("q", "part", 0.52, 0.2, 0.18, 0.1)))
          .hasSize(instances == 2 ? 4 : 2)
          .startsWith("q0", "q1");
    }
  }

  @Test
  void gatherersToldOfAStartTogetherDoNotAllSendAtOnce() {
    int sent = 0;
    for (int rank = 0; rank < 60; rank++) {
      PolicyHarness one = new PolicyHarness();
      one.instances = 60;
      one.seed = rank * 0x9E3779B97F4A7C15L;
      one.layout = new Settings.Layout(1, 1, 1, 1, 0);
      one.start();
      one.list(ListUpdate.DELTA, line("s0", 0, EndpointStatus.IN_SERVICE, one.nowMs));
      one.scan("q", "strict", 1);
      one.pass(1000);
      sent += sent(one.all).size();
    }
    // One core answers ten parts a second at 0.1 s each; cold from a fifth, twice over: four.
    assertThat(sent).isBetween(1, 8);
  }

  @Test
  void aHundredModulesToldTheSameSpreadOverHomesAndOverTime() {
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
      one.instances = fleet;
      one.seed = seeds.nextLong();
      one.start();
      servers(one.scan("scan-" + i, "whole", weights))
          .forEach(server -> firsts.merge(server, 1, Integer::sum));
      // All lose discovery at one moment, five times in a row, and ask again when their waits have
      // passed.
      long lostAt = one.nowMs;
      for (int loss = 0; loss < 5; loss++) {
        one.list(ListUpdate.WATCH_LOST);
        long now = one.nowMs;
        while (one.pass(1).stream().noneMatch(Action.WatchEndpoints.class::isInstance)) {
          assertThat(one.nowMs - now).as("a wait is bounded").isLessThanOrEqualTo(10_000);
        }
      }
      asks.add(one.nowMs - lostAt);
    }
    // 2,000 first dispatches at 20 servers: 100 each in the mean, with a deviation of 10.
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
  void whatEndsALoneConnectionIsOneFaultAndNoSignOfARestart() {
    for (Outcome outcome :
        List.of(Outcome.PROTOCOL_ERROR, Outcome.CONNECTION_LOST, Outcome.UNREACHABLE)) {
      PolicyHarness one = new PolicyHarness();
      one.layout = new Settings.Layout(2, 1, 1, 1, 0);
      one.start();
      for (int i = 0; i < 4; i++) {
        one.scan("a" + i, "whole", 1);
      }
      one.end(outcome, "a00", "a10", "a20", "a30");
      one.end(Outcome.COMPLETED, "a00", "a10", "a20", "a30");
      // None held back as from a server that has just started, no heaviest part first.
      for (int i = 0; i < 8; i++) {
        assertThat(sent(one.scan("b" + i, "whole", 0.5, 0.5))).as(outcome.name()).hasSize(2);
        one.end(Outcome.COMPLETED, "b" + i + 0, "b" + i + 1);
      }
    }
  }

  @Test
  void whereNothingWasHeardSinceAnOverduePartWasSentTheNextGoesOnANewConnection() {
    host.layout = new Settings.Layout(1, 1, 1, 1, 0);
    host.start();
    host.scan("a", "once", 1);
    host.end(Outcome.COMPLETED, "a0");
    host.scan("b", "once", 1);
    assertThat(host.pass(600)).doesNotContain(new Action.RetireConnections("s0"));
    assertThat(host.scan("c", "once", 1)).contains(new Action.RetireConnections("s0"));
    assertThat(host.scan("d", "once", 1)).doesNotContain(new Action.RetireConnections("s0"));
    // Late, but heard: the server is slow.
    host.end(Outcome.COMPLETED, "c0");
    host.scan("e", "once", 1);
    host.pass(400);
    host.end(Outcome.COMPLETED, "d0");
    host.pass(200);
    assertThat(host.scan("f", "once", 1)).doesNotContain(new Action.RetireConnections("s0"));
  }

  @Test
  void aServerThatCouldNotBeReachedForLongIsHeldToBeColdOnceItAnswers() {
    host.layout = new Settings.Layout(1, 1, 1, 1, 0);
    host.start();
    host.scan("a", "whole", 1);
    host.end(Outcome.UNREACHABLE, "a0");
    host.pass(600);
    host.scan("b", "whole", 1);
    host.end(Outcome.COMPLETED, "b0");
    int before = sent(host.all).size();
    for (int i = 0; i < 40; i++) {
      host.scan("c" + i, "whole", 1);
    }
    assertThat(sent(host.all).size() - before).isLessThan(5);
  }

  @Test
  void afterBreaksTheHeaviestPartGoesFirstAndTheOthersOnceItIsIn() {
    host.layout = new Settings.Layout(3, 3, 1, 1, 0);
    host.start();
    host.scan("a", "once", 0.5, 0.5);
    host.end(Outcome.CONNECTION_LOST, "a0", "a1");
    host.nowMs++;
    host.scan("b", "once", 0.5, 0.5);
    host.end(Outcome.UNREACHABLE, "b0", "b1");
    assertThat(sent(host.scan("q", "whole", 0.2, 0.5, 0.3))).containsExactly("q1");
    assertThat(sent(host.end(Outcome.COMPLETED, "q1"))).containsExactlyInAnyOrder("q0", "q2");
  }

  @Test
  void aScanWhoseDispatchesBreakWithNoneInIsGivenUpAtOnce() {
    host.start();
    host.scan("a", "whole", 0.25, 0.25, 0.25, 0.25);
    host.end(Outcome.CONNECTION_LOST, "a0", "a1");
    assertThat(host.verdicts()).hasSize(1);
    assertThat(sent(host.pass(2500))).isEmpty();
  }

  @Test
  void aScanWithAPartInGoesOnAfterBreaks() {
    host.start();
    host.scan("a", "whole", 0.25, 0.25, 0.25, 0.25);
    host.end(Outcome.COMPLETED, "a2", "a3");
    assertThat(sent(host.end(Outcome.CONNECTION_LOST, "a0", "a1")))
        .containsExactlyInAnyOrder("a0", "a1");
  }

  @Test
  void connectionsOnWhichPartsStayOutAreClosedBeforeUse() {
    host.start();
    for (int i = 0; i < 8; i++) {
      host.scan("a" + i, "once", 0.25, 0.25, 0.25, 0.25);
      host.end(Outcome.COMPLETED, "a" + i + 0, "a" + i + 1, "a" + i + 2, "a" + i + 3);
      host.pass(900);
    }
    host.scan("b", "once", 0.25, 0.25, 0.25, 0.25);
    host.pass(900);
    host.all.clear();
    host.scan("q", "once", 0.25, 0.25, 0.25, 0.25);
    Action.RetireConnections close =
        host.all.stream()
            .filter(Action.RetireConnections.class::isInstance)
            .map(Action.RetireConnections.class::cast)
            .findFirst()
            .orElseThrow();
    Action next = host.all.get(host.all.indexOf(close) + 1);
    assertThat(((Action.SendAttempt) next).server()).isEqualTo(close.server());
  }

  @Test
  void silenceWhileAnswersAreQuickIsNotOverload() {
    host.layout = new Settings.Layout(4, 12, 2, 1, 0);
    host.start();
    host.scan("a", "whole", 0.25, 0.25, 0.25, 0.25);
    host.end(Outcome.COMPLETED, "a0", "a1", "a2");
    assertThat(sent(host.pass(900))).contains("a3");
  }

  @Test
  void slowAnswersFromAllServersAreOverload() {
    host.start();
    host.tookMs = 800;
    for (int i = 0; i < 20; i++) {
      host.scan("a" + i, "whole", 0.25, 0.25, 0.25, 0.25);
      host.pass(800);
      host.end(Outcome.COMPLETED, "a" + i + 0, "a" + i + 1, "a" + i + 2, "a" + i + 3);
      host.pass(205);
    }
    assertThat(sent(host.scan("q", "part", 0.52, 0.2, 0.18, 0.1))).hasSizeLessThan(2);
  }

  @Test
  void aServerThatLeftTheListIsForgottenAndAnotherTakesItsPlace() {
    host.start();
    for (int i = 0; i < 50; i++) {
      host.list(
          ListUpdate.DELTA,
          line("s0", 0, EndpointStatus.GONE, 0),
          line("s1", 1, EndpointStatus.GONE, 0),
          line("n" + i, 0, EndpointStatus.IN_SERVICE, 0),
          line("n" + (i - 1), 0, EndpointStatus.GONE, 0));
    }
    assertThat(servers(host.scan("q", "whole", 1))).containsExactly("n49");
  }

  @Test
  void aClockThatJumpsAndEndsUnknownOrToldTwiceBreakNothing() {
    host.start();
    host.scan("q", "whole", 1);
    host.end("q0", 7, Outcome.COMPLETED);
    host.end("nobody", 0, Outcome.CONNECTION_LOST);
    host.nowMs += 5000;
    host.pass(0);
    assertThat(host.verdicts()).hasSize(1);
    host.end("q0", 0, Outcome.COMPLETED);
    host.end("q0", 0, Outcome.COMPLETED);
    assertThat(host.verdicts()).hasSize(1);
  }

  @Test
  void aListOfThousandsServesAsAnyOther() {
    host.layout = new Settings.Layout(5000, 5000, 3, 1, 0);
    host.start();
    assertThat(sent(host.scan("q", "whole", 0.5, 0.5))).hasSize(2);
  }
}
