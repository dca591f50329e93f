package tidebank.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.policy.PolicyHarness.MS;
import static tidebank.policy.PolicyHarness.line;

import java.util.Random;
import org.junit.jupiter.api.Test;
import tidebank.model.Action;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Settings;

/**
 * The calls to discovery on virtual time, over histories from a seed: what may become of a call,
 * once and in a row.
 */
class WatchTimingsTest {
  private static final int TOLD_MS = 6000;

  /** A call that is answered takes so long. */
  private static final int ANSWER_MS = 20;

  /**
   * What discovery does with calls that come; MUTE also for those that wait at the moment, for
   * ever.
   */
  private enum State {
    UP,
    REFUSES,
    BUSY,
    MUTE
  }

  /**
   * The module, and the side that carries out its watch with the times that {@link WatchTimings}
   * names.
   */
  private static final class Gatherer {
    final PolicyHarness host = new PolicyHarness();
    final WatchTimings times;
    State state = State.UP;
    int calls;
    long heardMs = -1;
    private boolean confirmed;
    private boolean mute;
    private long begunMs = -1;
    private long endsMs;

    Gatherer(long seed) {
      host.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
      host.seed = seed;
      times = new WatchTimings(host.settings());
      host.start();
      host.all.stream()
          .filter(Action.WatchEndpoints.class::isInstance)
          .forEach(follow -> call(false));
    }

    private void call(boolean again) {
      calls++;
      confirmed = again;
      begunMs = host.nowMs;
      mute = state == State.MUTE;
      endsMs =
          host.nowMs
              + switch (state) {
                case UP, MUTE ->
                    times.watchTimeoutUs(confirmed) / MS
                        + (mute ? times.responseTimeoutUs(confirmed) / MS : ANSWER_MS);
                case REFUSES, BUSY -> 1;
              };
    }

    void becomes(State next) {
      boolean ends = next == State.REFUSES && state != State.REFUSES && begunMs >= 0 && !mute;
      boolean silenced = next == State.MUTE && begunMs >= 0 && !mute && state == State.UP;
      state = next;
      if (ends) {
        endsMs = host.nowMs;
      }
      if (silenced) {
        mute = true;
        endsMs =
            begunMs
                + times.watchTimeoutUs(confirmed) / MS
                + times.responseTimeoutUs(confirmed) / MS;
      }
    }

    /** One millisecond; {@code changedMs}: when discovery had the change. */
    void pass(long changedMs) {
      host.pass(1).stream()
          .filter(Action.WatchEndpoints.class::isInstance)
          .forEach(follow -> call(false));
      boolean waits = begunMs >= 0 && !mute && state == State.UP;
      if (waits
          && heardMs < 0
          && changedMs <= host.nowMs - ANSWER_MS
          && begunMs <= host.nowMs - ANSWER_MS) {
        heardMs = host.nowMs;
        answered(ListUpdate.DELTA);
      } else if (begunMs >= 0 && host.nowMs >= endsMs) {
        if (waits) {
          answered(ListUpdate.DELTA);
        } else {
          begunMs = -1;
          host.list(ListUpdate.WATCH_LOST).stream()
              .filter(Action.WatchEndpoints.class::isInstance)
              .forEach(follow -> call(false));
        }
      }
    }

    private void answered(ListUpdate kind) {
      host.list(
          kind,
          line("s0", 0, heardMs < 0 ? EndpointStatus.IN_SERVICE : EndpointStatus.DRAINING, 0));
      call(true);
    }
  }

  @Test
  void aChangeIsActedOnWithinItsBoundOfTheMomentInWhichDiscoveryHasItAndCanBeReached() {
    long worst = 0;
    for (long seed = 0; seed < 1500; seed++) {
      Random random = new Random(seed);
      Gatherer one = new Gatherer(seed);
      long start = one.host.nowMs;
      long troubledMs = 200 + random.nextInt(25_000);
      // Near the moment from which all is well, else either it is told before or nothing of the
      // trouble is left.
      long changedMs = start + troubledMs - 2000 + random.nextInt(4000);
      long nextMs = start + random.nextInt(3000);
      while (one.host.nowMs < start + troubledMs) {
        if (one.host.nowMs >= nextMs) {
          one.becomes(State.values()[random.nextInt(State.values().length)]);
          nextMs = one.host.nowMs + 1 + random.nextInt(random.nextBoolean() ? 300 : 9000);
        }
        one.pass(changedMs);
      }
      // In half of the histories calls fall silent in the moment before all is well.
      one.becomes(random.nextBoolean() ? State.MUTE : State.REFUSES);
      one.becomes(State.UP);
      long wellMs = Math.max(one.host.nowMs, changedMs);
      while (one.heardMs < 0 && one.host.nowMs <= wellMs + 2 * TOLD_MS) {
        one.pass(changedMs);
      }
      worst = Math.max(worst, one.heardMs < 0 ? Long.MAX_VALUE : one.heardMs - wellMs);
      assertThat(worst).as("seed %d: ms from then on", seed).isLessThanOrEqualTo(TOLD_MS - 500);
    }
    // Else the histories were too kind to show anything.
    assertThat(worst).isGreaterThan(3000);
  }

  @Test
  void aDiscoveryThatIsDownIsCalledAsSeldomAsTheBoundAllowsAndNeverInStep() {
    long[] at = new long[100];
    for (int i = 0; i < at.length; i++) {
      Gatherer one = new Gatherer(i * 0x9E3779B97F4A7C15L);
      one.becomes(State.REFUSES);
      int before = one.calls;
      for (int ms = 0; ms < 30_000; ms++) {
        one.pass(Long.MAX_VALUE);
        at[i] = one.begunMs >= 0 ? one.begunMs : at[i];
      }
      assertThat(one.calls - before).isBetween(7, 30);
    }
    java.util.Arrays.sort(at);
    // The last calls of a hundred in half a minute of failures: no tenth of a second holds a fifth
    // of them.
    for (int i = 0; i + 20 < at.length; i++) {
      assertThat(at[i + 20] - at[i]).isGreaterThan(100);
    }
  }

  @Test
  void settingsThatHoldAnInstanceToItsListForLessBindItsCalls() {
    PolicyHarness host = new PolicyHarness();
    host.rules = new Settings.Rules(0, 1_200_000, 0, 0, 0, 1, 0, 0, 0, 0);
    WatchTimings calls = new WatchTimings(host.settings());
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
  void aHundredInstancesAskADiscoveryThatAllShareForNoMoreThanTenIdleCallsASecond() {
    for (int instances : new int[] {1, 25, 100}) {
      PolicyHarness host = new PolicyHarness();
      host.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
      host.instances = instances;
      WatchTimings calls = new WatchTimings(host.settings());
      assertThat(calls.watchTimeoutUs(true) / (double) instances).isGreaterThanOrEqualTo(100_000);
      assertThat(calls.watchTimeoutUs(true)).isEqualTo(instances == 100 ? 10_000_000 : 2_500_000);
      // Longer than discovery itself lets a call wait, so that nothing is written to who has just
      // given up.
      assertThat(calls.responseTimeoutUs(true)).isGreaterThan(2_000_000);
      assertThat(calls.responseTimeoutUs(false)).isGreaterThanOrEqualTo(4_000_000);
    }
  }

  @Test
  void answersWithNewsOrBehindTheirWaitAreRenewedAtOnce() {
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
  void earlyAnswersWithoutNewsAreSpacedOutButNoChangeWaitsBeyondTheBound() {
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
  void newsOfAnAgentThatCountsItAsToldWaitsForAShareOfTheDrainGraceOnly() {
    PolicyHarness host = new PolicyHarness();
    host.rules = new Settings.Rules(0, 5_000_000, 240_000, 0, 0, 1, 0, 0, 0, 0);
    host.limits = new Settings.Limits(4, true, true, false, true, 0, 100, false);
    WatchTimings calls = new WatchTimings(host.settings());
    for (int i = 0; i < 100; i++) {
      assertThat(calls.renewalDelayUs(false, 0, 2_500_000, 0.999)).isBetween(15_000L, 30_000L);
    }
  }

  private static WatchTimings listOnRequest() {
    PolicyHarness host = new PolicyHarness();
    host.limits = new Settings.Limits(4, true, true, false, true, 0, 100, true);
    return new WatchTimings(host.settings());
  }
}
