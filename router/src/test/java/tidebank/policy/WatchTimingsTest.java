package tidebank.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.policy.PolicyHarness.MS;
import static tidebank.policy.PolicyHarness.endpoint;

import java.util.Random;
import org.junit.jupiter.api.Test;
import tidebank.model.Action;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Settings;

/**
 * Calls to discovery on virtual time, over histories of faults that follow from a seed: each call
 * may succeed, be rejected or fall silent.
 */
class WatchTimingsTest {
  private static final int NOTIFICATION_BOUND_MS = 6000;

  /** The duration of a call that succeeds. */
  private static final int RESPONSE_MS = 20;

  /** What discovery does with calls; while it is MUTE, waiting ones get no response either. */
  private enum State {
    UP,
    REFUSES,
    BUSY,
    MUTE
  }

  /** A policy, and a client that carries out its watch with the timings of the same settings. */
  private static final class Router {
    final PolicyHarness harness = new PolicyHarness();
    final WatchTimings timings;
    State state = State.UP;
    int calls;
    long appliedMs = -1;
    private boolean confirmed;
    private boolean mute;
    private long callStartedMs = -1;
    private long callEndsMs;

    Router(long seed) {
      harness.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
      harness.seed = seed;
      timings = new WatchTimings(harness.settings());
      harness.start();
      harness.actions.stream()
          .filter(Action.WatchEndpoints.class::isInstance)
          .forEach(watch -> call(false));
    }

    private void call(boolean again) {
      calls++;
      confirmed = again;
      callStartedMs = harness.nowMs;
      mute = state == State.MUTE;
      callEndsMs =
          harness.nowMs
              + switch (state) {
                case UP, MUTE ->
                    timings.watchTimeoutUs(confirmed) / MS
                        + (mute ? timings.responseTimeoutUs(confirmed) / MS : RESPONSE_MS);
                case REFUSES, BUSY -> 1;
              };
    }

    void switchTo(State next) {
      boolean ends = next == State.REFUSES && state != State.REFUSES && callStartedMs >= 0 && !mute;
      boolean silenced = next == State.MUTE && callStartedMs >= 0 && !mute && state == State.UP;
      state = next;
      if (ends) {
        callEndsMs = harness.nowMs;
      }
      if (silenced) {
        mute = true;
        callEndsMs =
            callStartedMs
                + timings.watchTimeoutUs(confirmed) / MS
                + timings.responseTimeoutUs(confirmed) / MS;
      }
    }

    /** Lets a millisecond pass; discovery has the change from {@code changedMs} on. */
    void pass(long changedMs) {
      harness.advance(1).stream()
          .filter(Action.WatchEndpoints.class::isInstance)
          .forEach(watch -> call(false));
      boolean waits = callStartedMs >= 0 && !mute && state == State.UP;
      if (waits
          && appliedMs < 0
          && changedMs <= harness.nowMs - RESPONSE_MS
          && callStartedMs <= harness.nowMs - RESPONSE_MS) {
        appliedMs = harness.nowMs;
        respond(ListUpdate.DELTA);
      } else if (callStartedMs >= 0 && harness.nowMs >= callEndsMs) {
        if (waits) {
          respond(ListUpdate.DELTA);
        } else {
          callStartedMs = -1;
          harness.updateList(ListUpdate.WATCH_LOST).stream()
              .filter(Action.WatchEndpoints.class::isInstance)
              .forEach(watch -> call(false));
        }
      }
    }

    private void respond(ListUpdate kind) {
      harness.updateList(
          kind,
          endpoint(
              "s0", 0, appliedMs < 0 ? EndpointStatus.IN_SERVICE : EndpointStatus.DRAINING, 0));
      call(true);
    }
  }

  @Test
  void aChangeIsAppliedWithinTheBoundOnceDiscoveryHasItAndCanBeReached() {
    long worst = 0;
    for (long seed = 0; seed < 1500; seed++) {
      Random random = new Random(seed);
      Router router = new Router(seed);
      long start = router.harness.nowMs;
      long troubledMs = 200 + random.nextInt(25_000);
      // Near the moment from which all is well, else either it is told before or nothing of the
      // trouble is left.
      long changedMs = start + troubledMs - 2000 + random.nextInt(4000);
      long nextMs = start + random.nextInt(3000);
      while (router.harness.nowMs < start + troubledMs) {
        if (router.harness.nowMs >= nextMs) {
          router.switchTo(State.values()[random.nextInt(State.values().length)]);
          nextMs = router.harness.nowMs + 1 + random.nextInt(random.nextBoolean() ? 300 : 9000);
        }
        router.pass(changedMs);
      }
      // In half of the histories calls fall silent in the moment before all is well.
      router.switchTo(random.nextBoolean() ? State.MUTE : State.REFUSES);
      router.switchTo(State.UP);
      long wellMs = Math.max(router.harness.nowMs, changedMs);
      while (router.appliedMs < 0 && router.harness.nowMs <= wellMs + 2 * NOTIFICATION_BOUND_MS) {
        router.pass(changedMs);
      }
      worst = Math.max(worst, router.appliedMs < 0 ? Long.MAX_VALUE : router.appliedMs - wellMs);
      assertThat(worst)
          .as("seed %d: ms from then on", seed)
          .isLessThanOrEqualTo(NOTIFICATION_BOUND_MS - 500);
    }
    // Else the histories were too kind to show anything.
    assertThat(worst).isGreaterThan(3000);
  }

  @Test
  void discoveryThatIsDownIsCalledSeldomAndNeverInStep() {
    long[] at = new long[100];
    for (int i = 0; i < at.length; i++) {
      Router router = new Router(i * 0x9E3779B97F4A7C15L);
      router.switchTo(State.REFUSES);
      int before = router.calls;
      for (int ms = 0; ms < 30_000; ms++) {
        router.pass(Long.MAX_VALUE);
        at[i] = router.callStartedMs >= 0 ? router.callStartedMs : at[i];
      }
      assertThat(router.calls - before).isBetween(7, 30);
    }
    java.util.Arrays.sort(at);
    // The last calls of a hundred in half a minute of failures: no tenth of a second holds a fifth
    // of them.
    for (int i = 0; i + 20 < at.length; i++) {
      assertThat(at[i + 20] - at[i]).isGreaterThan(100);
    }
  }

  @Test
  void aShorterPollIntervalBoundsTheTimings() {
    PolicyHarness harness = new PolicyHarness();
    harness.rules = new Settings.Rules(0, 1_200_000, 0, 0, 0, 1, 0, 0, 0, 0);
    WatchTimings calls = new WatchTimings(harness.settings());
    long watch = calls.watchTimeoutUs(true) + calls.responseTimeoutUs(true);
    assertThat(watch + calls.backoffUs(watch, 0.99)).isLessThan(1_100_000);
    for (int i = 0; i < 100; i++) {
      calls.backoffUs(0, 0.5);
    }
    long first = calls.watchTimeoutUs(false) + calls.responseTimeoutUs(false);
    assertThat(first + calls.backoffUs(first, 0.99)).isLessThan(1_100_000);
    assertThat(calls.backoffUs(0, 0.99)).isLessThan(1_100_000);
  }

  @Test
  void aHundredRoutersMakeNoMoreThanTenIdleCallsASecond() {
    for (int instances : new int[] {1, 25, 100}) {
      PolicyHarness harness = new PolicyHarness();
      harness.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
      harness.routers = instances;
      WatchTimings calls = new WatchTimings(harness.settings());
      assertThat(calls.watchTimeoutUs(true) / (double) instances).isGreaterThanOrEqualTo(100_000);
      assertThat(calls.watchTimeoutUs(true)).isEqualTo(instances == 100 ? 10_000_000 : 2_500_000);
      // Longer than discovery itself lets a call wait, so that nothing is written to who has just
      // given up.
      assertThat(calls.responseTimeoutUs(true)).isGreaterThan(2_000_000);
      assertThat(calls.responseTimeoutUs(false)).isGreaterThanOrEqualTo(4_000_000);
    }
  }

  @Test
  void responsesWithAChangeOrAfterTheirWaitAreRenewedAtOnce() {
    WatchTimings calls = listOnRequest();
    long wait = calls.watchTimeoutUs(true);
    for (int i = 0; i < 10; i++) {
      assertThat(calls.renewalDelayUs(true, 0, wait, 0.99)).isZero();
      assertThat(calls.renewalDelayUs(false, wait, wait, 0.99)).isZero();
      // A whole list has no wait that it could have used up.
      assertThat(calls.renewalDelayUs(false, 0, 0, 0.99)).isZero();
    }
  }

  @Test
  void earlyResponsesWithoutAChangeAreSpacedOutWithinTheBound() {
    WatchTimings calls = listOnRequest();
    long wait = calls.watchTimeoutUs(true);
    long before = 0;
    int asked = 0;
    for (long at = 0; at < 60_000_000; asked++) {
      long pause = calls.renewalDelayUs(false, 1000, wait, 0);
      assertThat(pause).isGreaterThanOrEqualTo(before);
      before = pause;
      at += 1000 + pause;
    }
    assertThat(asked).isLessThan(50);
    assertThat(calls.renewalDelayUs(false, 1000, wait, 0.999)).isBetween(2_500_000L, 3_000_000L);
    assertThat(calls.renewalDelayUs(true, 1000, wait, 0.999)).isZero();
    assertThat(calls.renewalDelayUs(false, 1000, wait, 0.999)).isLessThanOrEqualTo(250_000);
  }

  @Test
  void pushedChangesWaitForAShareOfTheDrainGraceOnly() {
    PolicyHarness harness = new PolicyHarness();
    harness.rules = new Settings.Rules(0, 5_000_000, 240_000, 0, 0, 1, 0, 0, 0, 0);
    harness.limits = new Settings.Limits(4, true, true, false, true, 0, 100, false);
    WatchTimings calls = new WatchTimings(harness.settings());
    for (int i = 0; i < 100; i++) {
      assertThat(calls.renewalDelayUs(false, 0, 2_500_000, 0.999)).isBetween(15_000L, 30_000L);
    }
  }

  private static WatchTimings listOnRequest() {
    PolicyHarness harness = new PolicyHarness();
    harness.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
    return new WatchTimings(harness.settings());
  }
}
