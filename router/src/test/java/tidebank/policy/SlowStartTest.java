package tidebank.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.policy.PolicyHarness.MS;
import static tidebank.policy.PolicyHarness.endpoint;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tidebank.model.Action;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;

/**
 * Rule 4 for a fleet: all routers together stay within the budget of a server that has just
 * started, over every overload window. Policies of different seeds run beside one such server and a
 * warm one, each at its own rate of queries.
 */
class SlowStartTest {
  private static final int SLOW_START_MS = 10_000;
  private static final int WINDOW_MS = 1000;
  private static final double INITIAL_SHARE = 0.2;
  private static final double OVERLOAD_MULTIPLE = 2;

  /** The duration of a request; a server of capacity 1 executes one at a time. */
  private static final int WORK_MS = 100;

  private record Due(long atMs, int router, String task, int attempt) {}

  /** Returns how many requests the settings allow in a window that ends at this age. */
  private static double allowed(long ageMs) {
    double share =
        INITIAL_SHARE + (1 - INITIAL_SHARE) * Math.min(ageMs, SLOW_START_MS) / SLOW_START_MS;
    return OVERLOAD_MULTIPLE * share * WINDOW_MS / WORK_MS;
  }

  private PolicyHarness router(int routers, int index, long nowMs, long seed) {
    PolicyHarness policy = new PolicyHarness();
    policy.routers = routers;
    policy.routerIndex = index;
    policy.nowMs = nowMs;
    policy.seed = seed;
    policy.durationMs = WORK_MS;
    policy.layout = new tidebank.model.Settings.Layout(1, 2, 2, 1, 0);
    policy.limits =
        new tidebank.model.Settings.Limits(2, false, true, false, true, 500 * MS, 10_000, false);
    policy.start();
    return policy;
  }

  /** Returns the server's ages in milliseconds at which requests were sent to it. */
  private List<Long> play(
      int routers, double perSecond, int noticeDelayMs, double restarts, long seed) {
    Random random = new Random(seed);
    long startedAtMs = 50_000;
    PolicyHarness[] fleet = new PolicyHarness[routers];
    PriorityQueue<Due> schedule =
        new PriorityQueue<>(java.util.Comparator.comparingLong(Due::atMs));
    for (int index = 0; index < routers; index++) {
      fleet[index] = router(routers, index, startedAtMs, random.nextLong());
      long noticeDelay = noticeDelayMs == 0 ? 0 : random.nextInt(noticeDelayMs);
      schedule.add(new Due(startedAtMs + noticeDelay, index, "notice", 0));
      if (random.nextDouble() < restarts) {
        schedule.add(
            new Due(
                startedAtMs + noticeDelay + random.nextInt(SLOW_START_MS), index, "restart", 0));
      }
      schedule.add(new Due(startedAtMs + wait(random, perSecond), index, "", 0));
    }
    List<Long> sent = new ArrayList<>();
    for (int id = 0; schedule.peek().atMs() < startedAtMs + SLOW_START_MS; id++) {
      Due due = schedule.poll();
      PolicyHarness policy = fleet[due.router()];
      policy.advance(due.atMs() - policy.nowMs);
      if (due.task().equals("notice")) {
        policy.updateList(
            ListUpdate.DELTA, endpoint("s0", 0, EndpointStatus.IN_SERVICE, startedAtMs));
      } else if (due.task().equals("restart")) {
        policy = router(routers, due.router(), due.atMs(), random.nextLong());
        policy.updateList(
            ListUpdate.DELTA, endpoint("s0", 0, EndpointStatus.IN_SERVICE, startedAtMs));
        fleet[due.router()] = policy;
      } else if (due.task().isEmpty()) {
        for (Action action : policy.query("q" + id, "strict", 1)) {
          if (action instanceof Action.SendAttempt send) {
            schedule.add(new Due(due.atMs() + WORK_MS, due.router(), send.shardRequest(), 0));
            if (send.server().equals("s0")
                && policy.actions.contains(action)
                && isNotified(policy)) {
              sent.add(due.atMs() - startedAtMs);
            }
          }
        }
        schedule.add(new Due(due.atMs() + wait(random, perSecond), due.router(), "", 0));
      } else if (policy.attempts.containsKey(due.task())) {
        policy.complete(due.task(), due.attempt(), Outcome.COMPLETED);
      }
    }
    return sent;
  }

  /** The rule binds the routers that were notified of the start. */
  private static boolean isNotified(PolicyHarness policy) {
    return policy.notifiedOfStart;
  }

  private static long wait(Random random, double perSecond) {
    return 1 + Math.round(-Math.log(1 - random.nextDouble()) * 1000 / perSecond);
  }

  @ParameterizedTest(
      name = "{0} routers, {1} queries a second each, notified up to {2} ms late, {3} restarted")
  @CsvSource({
    "1, 60, 0, 0",
    "3, 40, 0, 0",
    "20, 6, 0, 0",
    "20, 20, 0, 0.7",
    "30, 2, 0, 0",
    "30, 12, 0, 0",
    "30, 12, 1500, 0.7",
    "100, 1, 0, 0",
    "100, 4, 0, 0.7",
    "100, 4, 3000, 0"
  })
  void aFleetStaysWithinTheBudgetOfAServerInSlowStartAndStillWarmsIt(
      int routers, double perSecond, int noticeDelayMs, double restarts) {
    double all = 0;
    for (long seed = 1; seed <= 12; seed++) {
      List<Long> sent = play(routers, perSecond, noticeDelayMs, restarts, seed);
      all += sent.size();
      for (int i = 0; i < sent.size(); i++) {
        int window = 1;
        while (i - window >= 0 && sent.get(i - window) > sent.get(i) - WINDOW_MS) {
          window++;
        }
        double n = allowed(sent.get(i));
        assertThat((double) window)
            .as("seed %d, at %d ms", seed, sent.get(i))
            .isLessThanOrEqualTo(n + 2 * Math.sqrt(n) + 2);
      }
    }
    // The budget of the whole ramp: the mean of its ends for as many windows as it lasts.
    double budget = 12 * (allowed(0) + allowed(SLOW_START_MS)) / 2 * SLOW_START_MS / WINDOW_MS;
    assertThat(all / budget).as("share of the budget that is used").isGreaterThan(0.4);
  }
}
