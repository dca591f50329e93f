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
 * Tests slow start (rule 4) for a whole fleet: all routers together must not exceed the budget of a
 * server that has recently started, in any overload window. Policies with different seeds send
 * random queries to such a server and a warm one.
 */
class SlowStartTest {
  private static final int SLOW_START_MS = 10_000;
  private static final int WINDOW_MS = 1000;
  private static final double INITIAL_SHARE = 0.2;
  private static final double OVERLOAD_MULTIPLE = 2;

  /** The duration of a request; a server of capacity 1 executes one at a time. */
  private static final int WORK_MS = 100;

  /** When the server starts by a clock that is not stepped. */
  private static final long STARTED_AT_MS = 10_000_000;

  /** A step of the simulation: a notification, a restart, a query, or the end of an attempt. */
  private record ScheduledTask(long atMs, int router, String name, int attempt) {}

  /** Returns how many requests the settings allow in a window that ends at this server age. */
  private static double allowedRequests(long ageMs) {
    double share =
        INITIAL_SHARE + (1 - INITIAL_SHARE) * Math.min(ageMs, SLOW_START_MS) / SLOW_START_MS;
    return OVERLOAD_MULTIPLE * share * WINDOW_MS / WORK_MS;
  }

  private PolicyHarness router(int routers, int index, long nowMs, long cachedStartMs, long seed) {
    PolicyHarness policy = new PolicyHarness();
    policy.cachedStartMs = cachedStartMs;
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

  /**
   * Runs a fleet and returns the ages of the server, in milliseconds, at which notified routers
   * sent requests to it. The routers started before the wall clock was stepped by {@code
   * clockStepMs}, the server after it.
   */
  private List<Long> simulate(
      int routers,
      double perSecond,
      int noticeDelayMs,
      double restartShare,
      long clockStepMs,
      long seed) {
    Random random = new Random(seed);
    long startedAtMs = STARTED_AT_MS;
    long listedStartMs = startedAtMs + clockStepMs;
    PolicyHarness[] fleet = new PolicyHarness[routers];
    long[] clockOffsetsMs = new long[routers];
    PriorityQueue<ScheduledTask> schedule =
        new PriorityQueue<>(java.util.Comparator.comparingLong(ScheduledTask::atMs));
    for (int index = 0; index < routers; index++) {
      fleet[index] = router(routers, index, startedAtMs, 0, random.nextLong());
      long noticeDelay = noticeDelayMs == 0 ? 0 : random.nextInt(noticeDelayMs);
      schedule.add(new ScheduledTask(startedAtMs + noticeDelay, index, "notice", 0));
      if (random.nextDouble() < restartShare) {
        schedule.add(
            new ScheduledTask(
                startedAtMs + noticeDelay + random.nextInt(SLOW_START_MS), index, "restart", 0));
      }
      schedule.add(new ScheduledTask(startedAtMs + randomDelayMs(random, perSecond), index, "", 0));
    }
    List<Long> sent = new ArrayList<>();
    for (int id = 0; schedule.peek().atMs() < startedAtMs + SLOW_START_MS; id++) {
      ScheduledTask task = schedule.poll();
      PolicyHarness policy = fleet[task.router()];
      policy.advance(task.atMs() + clockOffsetsMs[task.router()] - policy.nowMs);
      if (task.name().equals("notice")) {
        policy.updateList(
            ListUpdate.DELTA, endpoint("s0", 0, EndpointStatus.IN_SERVICE, listedStartMs));
      } else if (task.name().equals("restart")) {
        // Every second restarted router has no list yet that names the start.
        boolean isCached = task.router() % 2 == 0;
        policy =
            router(
                routers,
                task.router(),
                task.atMs() + clockStepMs,
                isCached ? listedStartMs : 0,
                random.nextLong());
        clockOffsetsMs[task.router()] = clockStepMs;
        policy.updateList(
            ListUpdate.DELTA, endpoint("s0", 0, EndpointStatus.IN_SERVICE, listedStartMs));
        fleet[task.router()] = policy;
      } else if (task.name().isEmpty()) {
        for (Action action : policy.query("q" + id, "strict", 1)) {
          if (action instanceof Action.SendAttempt send) {
            schedule.add(
                new ScheduledTask(task.atMs() + WORK_MS, task.router(), send.shardRequest(), 0));
            if (send.server().equals("s0")
                && policy.actions.contains(action)
                && isNotified(policy)) {
              sent.add(task.atMs() - startedAtMs);
            }
          }
        }
        schedule.add(
            new ScheduledTask(
                task.atMs() + randomDelayMs(random, perSecond), task.router(), "", 0));
      } else if (policy.attempts.containsKey(task.name())) {
        policy.complete(task.name(), task.attempt(), Outcome.COMPLETED);
      }
    }
    return sent;
  }

  /** Returns whether the router was notified of the start: only then the rule applies to it. */
  private static boolean isNotified(PolicyHarness policy) {
    return policy.notifiedOfStart;
  }

  private static long randomDelayMs(Random random, double perSecond) {
    return 1 + Math.round(-Math.log(1 - random.nextDouble()) * 1000 / perSecond);
  }

  /**
   * Guards against overload of a starting server, where each router alone stays within its share
   * but chance, late notifications or restarted routers make the fleet exceed the budget. Two
   * standard deviations of chance are tolerated. Also guards against a fleet that hardly uses the
   * server, and against a start that looks long ago, or in the future, after a step of the clock.
   */
  @ParameterizedTest(
      name =
          "{0} routers, {1} queries a second each, notified up to {2} ms late, {3} restarted,"
              + " clock stepped by {4} ms")
  @CsvSource({
    "1, 60, 0, 0, 0",
    "3, 40, 0, 0, 0",
    "20, 6, 0, 0, 0",
    "20, 20, 0, 0.7, 0",
    "30, 2, 0, 0, 0",
    "30, 12, 0, 0, 0",
    "30, 12, 1500, 0.7, 0",
    "100, 1, 0, 0, 0",
    "100, 4, 0, 0.7, 0",
    "100, 4, 3000, 0, 0",
    "2, 60, 6000, 0, 0",
    "20, 20, 6000, 0.7, 0",
    "30, 12, 6000, 0, 0",
    "2, 60, 0, 0, -3600000",
    "20, 20, 0, 0, -3600000",
    "20, 20, 1500, 0.7, -5000",
    "30, 12, 6000, 0.7, -3600000",
    "20, 20, 0, 0, 3600000",
    "30, 12, 1500, 0.7, 5000"
  })
  void fleetStaysWithinSlowStartBudgetAndUsesIt(
      int routers, double perSecond, int noticeDelayMs, double restartShare, long clockStepMs) {
    double totalSent = 0;
    for (long seed = 1; seed <= 12; seed++) {
      List<Long> sent =
          simulate(routers, perSecond, noticeDelayMs, restartShare, clockStepMs, seed);
      totalSent += sent.size();
      for (int i = 0; i < sent.size(); i++) {
        int windowRequests = 1;
        while (i - windowRequests >= 0 && sent.get(i - windowRequests) > sent.get(i) - WINDOW_MS) {
          windowRequests++;
        }
        double allowed = allowedRequests(sent.get(i));
        assertThat((double) windowRequests)
            .as("seed %d, at %d ms", seed, sent.get(i))
            .isLessThanOrEqualTo(allowed + 2 * Math.sqrt(allowed) + 2);
      }
    }
    // The budget of the whole slow start: the mean of its first and last window, for each window.
    double budget =
        12 * (allowedRequests(0) + allowedRequests(SLOW_START_MS)) / 2 * SLOW_START_MS / WINDOW_MS;
    assertThat(totalSent / budget).as("share of the budget that is used").isGreaterThan(0.4);
  }
}
