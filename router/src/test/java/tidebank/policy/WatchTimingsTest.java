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
 * Tests the timings of calls to discovery on a virtual clock, with seeded random faults: a call
 * succeeds, is rejected or gets no response.
 */
class WatchTimingsTest {
  private static final int NOTIFICATION_BOUND_MS = 6000;

  /** The time that a successful call takes beyond its wait for a change. */
  private static final int RESPONSE_MS = 20;

  /** How discovery responds to calls. */
  private enum State {
    AVAILABLE,
    /** Rejects new calls and endsCall waiting ones. */
    UNREACHABLE,
    /** Rejects new calls; waiting ones stay. */
    BUSY,
    /** Responds neither to new calls nor to waiting ones. */
    SILENT
  }

  /** A policy and a discovery client that executes its watch with the timings of its settings. */
  private static final class Router {
    final PolicyHarness harness = new PolicyHarness();
    final WatchTimings timings;
    State state = State.AVAILABLE;
    int calls;
    long appliedMs = -1;
    private boolean confirmed;
    private boolean silent;
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

    private void call(boolean isConfirmed) {
      calls++;
      confirmed = isConfirmed;
      callStartedMs = harness.nowMs;
      silent = state == State.SILENT;
      callEndsMs =
          harness.nowMs
              + switch (state) {
                case AVAILABLE, SILENT ->
                    timings.watchTimeoutUs(confirmed) / MS
                        + (silent ? timings.responseTimeoutUs(confirmed) / MS : RESPONSE_MS);
                case UNREACHABLE, BUSY -> 1;
              };
    }

    void switchTo(State newState) {
      boolean endsCall =
          newState == State.UNREACHABLE
              && state != State.UNREACHABLE
              && callStartedMs >= 0
              && !silent;
      boolean silencesCall =
          newState == State.SILENT && callStartedMs >= 0 && !silent && state == State.AVAILABLE;
      state = newState;
      if (endsCall) {
        callEndsMs = harness.nowMs;
      }
      if (silencesCall) {
        silent = true;
        callEndsMs =
            callStartedMs
                + timings.watchTimeoutUs(confirmed) / MS
                + timings.responseTimeoutUs(confirmed) / MS;
      }
    }

    /** Advances the clock by a millisecond; discovery has the change from {@code changedMs} on. */
    void advance(long changedMs) {
      harness.advance(1).stream()
          .filter(Action.WatchEndpoints.class::isInstance)
          .forEach(watch -> call(false));
      boolean isWaiting = callStartedMs >= 0 && !silent && state == State.AVAILABLE;
      if (isWaiting
          && appliedMs < 0
          && changedMs <= harness.nowMs - RESPONSE_MS
          && callStartedMs <= harness.nowMs - RESPONSE_MS) {
        appliedMs = harness.nowMs;
        respond(ListUpdate.DELTA);
      } else if (callStartedMs >= 0 && harness.nowMs >= callEndsMs) {
        if (isWaiting) {
          respond(ListUpdate.DELTA);
        } else {
          callStartedMs = -1;
          harness.updateList(ListUpdate.WATCH_LOST).stream()
              .filter(Action.WatchEndpoints.class::isInstance)
              .forEach(watch -> call(false));
        }
      }
    }

    private void respond(ListUpdate update) {
      harness.updateList(
          update,
          endpoint(
              "s0", 0, appliedMs < 0 ? EndpointStatus.IN_SERVICE : EndpointStatus.DRAINING, 0));
      call(true);
    }
  }

  /**
   * Guards against a change that is applied too late because timeouts and backoffs of failed calls
   * add up. Discovery fails in random ways until shortly before or after it has the change.
   */
  @Test
  void changeIsAppliedWithinBoundOnceDiscoveryIsReachable() {
    long maxDelayMs = 0;
    for (long seed = 0; seed < 1500; seed++) {
      Random random = new Random(seed);
      Router router = new Router(seed);
      long start = router.harness.nowMs;
      long faultsMs = 200 + random.nextInt(25_000);
      // The change falls near the end of the faults: earlier, it would be delivered during them,
      // and
      // later, they would no longer have an effect.
      long changedMs = start + faultsMs - 2000 + random.nextInt(4000);
      long nextFaultMs = start + random.nextInt(3000);
      while (router.harness.nowMs < start + faultsMs) {
        if (router.harness.nowMs >= nextFaultMs) {
          router.switchTo(State.values()[random.nextInt(State.values().length)]);
          nextFaultMs =
              router.harness.nowMs + 1 + random.nextInt(random.nextBoolean() ? 300 : 9000);
        }
        router.advance(changedMs);
      }
      // In half of the runs discovery is silent at the end, so that waiting calls get no response.
      router.switchTo(random.nextBoolean() ? State.SILENT : State.UNREACHABLE);
      router.switchTo(State.AVAILABLE);
      long recoveredMs = Math.max(router.harness.nowMs, changedMs);
      while (router.appliedMs < 0
          && router.harness.nowMs <= recoveredMs + 2 * NOTIFICATION_BOUND_MS) {
        router.advance(changedMs);
      }
      maxDelayMs =
          Math.max(
              maxDelayMs, router.appliedMs < 0 ? Long.MAX_VALUE : router.appliedMs - recoveredMs);
      assertThat(maxDelayMs)
          .as("seed %d: largest delay in ms", seed)
          .isLessThanOrEqualTo(NOTIFICATION_BOUND_MS - 500);
    }
    // A smaller maximum would mean that the faults were too mild for the test to be significant.
    assertThat(maxDelayMs).isGreaterThan(3000);
  }

  /** Guards against a fleet that calls an unreachable discovery too often or all at once. */
  @Test
  void failingDiscoveryIsCalledRarelyAndAtSpreadTimes() {
    long[] lastCallMs = new long[100];
    for (int i = 0; i < lastCallMs.length; i++) {
      Router router = new Router(i * 0x9E3779B97F4A7C15L);
      router.switchTo(State.UNREACHABLE);
      int callsBefore = router.calls;
      for (int ms = 0; ms < 30_000; ms++) {
        router.advance(Long.MAX_VALUE);
        lastCallMs[i] = router.callStartedMs >= 0 ? router.callStartedMs : lastCallMs[i];
      }
      assertThat(router.calls - callsBefore).isBetween(7, 30);
    }
    java.util.Arrays.sort(lastCallMs);
    // Of the last calls of 100 routers after 30 s of failures, no 100 ms contain more than 20.
    for (int i = 0; i + 20 < lastCallMs.length; i++) {
      assertThat(lastCallMs[i + 20] - lastCallMs[i]).isGreaterThan(100);
    }
  }

  /** Guards against timings that ignore a poll interval shorter than the protocol's bound. */
  @Test
  void shorterPollIntervalBoundsTimings() {
    PolicyHarness harness = new PolicyHarness();
    harness.rules = new Settings.Rules(0, 1_200_000, 0, 0, 0, 1, 0, 0, 0, 0);
    WatchTimings timings = new WatchTimings(harness.settings());
    long watch = timings.watchTimeoutUs(true) + timings.responseTimeoutUs(true);
    assertThat(watch + timings.backoffUs(watch, 0.99)).isLessThan(1_100_000);
    for (int i = 0; i < 100; i++) {
      timings.backoffUs(0, 0.5);
    }
    long first = timings.watchTimeoutUs(false) + timings.responseTimeoutUs(false);
    assertThat(first + timings.backoffUs(first, 0.99)).isLessThan(1_100_000);
    assertThat(timings.backoffUs(0, 0.99)).isLessThan(1_100_000);
  }

  /**
   * Guards against a load on discovery that grows with the fleet: ten idle calls a second at most.
   */
  @Test
  void hundredRoutersMakeAtMostTenIdleCallsPerSecond() {
    for (int routers : new int[] {1, 25, 100}) {
      PolicyHarness harness = new PolicyHarness();
      harness.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
      harness.routers = routers;
      WatchTimings timings = new WatchTimings(harness.settings());
      assertThat(timings.watchTimeoutUs(true) / (double) routers).isGreaterThanOrEqualTo(100_000);
      assertThat(timings.watchTimeoutUs(true)).isEqualTo(routers == 100 ? 10_000_000 : 2_500_000);
      // Discovery rejects calls that queued for 2 s; a shorter timeout would end them before the
      // rejection arrives.
      assertThat(timings.responseTimeoutUs(true)).isGreaterThan(2_000_000);
      assertThat(timings.responseTimeoutUs(false)).isGreaterThanOrEqualTo(4_000_000);
    }
  }

  /** Guards against a needless delay of the next watch after a change or a full wait. */
  @Test
  void watchIsRenewedAtOnceAfterChangeOrFullWait() {
    WatchTimings timings = timingsOfWatchOnRequest();
    long wait = timings.watchTimeoutUs(true);
    for (int i = 0; i < 10; i++) {
      assertThat(timings.renewalDelayUs(true, 0, wait, 0.99)).isZero();
      assertThat(timings.renewalDelayUs(false, wait, wait, 0.99)).isZero();
      // A call for the full list has no wait.
      assertThat(timings.renewalDelayUs(false, 0, 0, 0.99)).isZero();
    }
  }

  /** Guards against a busy loop if discovery responds at once without a change. */
  @Test
  void earlyUnchangedResponsesAreSpacedOutWithinBound() {
    WatchTimings timings = timingsOfWatchOnRequest();
    long wait = timings.watchTimeoutUs(true);
    long previousDelay = 0;
    int responses = 0;
    for (long nowUs = 0; nowUs < 60_000_000; responses++) {
      long delay = timings.renewalDelayUs(false, 1000, wait, 0);
      assertThat(delay).isGreaterThanOrEqualTo(previousDelay);
      previousDelay = delay;
      nowUs += 1000 + delay;
    }
    assertThat(responses).isLessThan(50);
    assertThat(timings.renewalDelayUs(false, 1000, wait, 0.999)).isBetween(2_500_000L, 3_000_000L);
    assertThat(timings.renewalDelayUs(true, 1000, wait, 0.999)).isZero();
    assertThat(timings.renewalDelayUs(false, 1000, wait, 0.999)).isLessThanOrEqualTo(250_000);
  }

  /** Guards against pushed changes that wait so long that a draining server is still used. */
  @Test
  void pushedChangesWaitForAtMostAShareOfDrainGrace() {
    PolicyHarness harness = new PolicyHarness();
    harness.rules = new Settings.Rules(0, 5_000_000, 240_000, 0, 0, 1, 0, 0, 0, 0);
    harness.limits = new Settings.Limits(4, true, true, false, true, 0, 100, false);
    WatchTimings timings = new WatchTimings(harness.settings());
    for (int i = 0; i < 100; i++) {
      assertThat(timings.renewalDelayUs(false, 0, 2_500_000, 0.999)).isBetween(15_000L, 30_000L);
    }
  }

  private static WatchTimings timingsOfWatchOnRequest() {
    PolicyHarness harness = new PolicyHarness();
    harness.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
    return new WatchTimings(harness.settings());
  }
}
