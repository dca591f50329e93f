package tidebank.policy;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.policy.PolicyHarness.MS;
import static tidebank.policy.PolicyHarness.line;

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
 * Rule 4 for a whole fleet: what all gatherers together send to a cold server, over every window of
 * the length that the settings name. Modules of different seeds against one cold and one warm
 * server, at a demand of their own each.
 */
class SlowStartTest {
  private static final int COLD_MS = 10_000;
  private static final int WINDOW_MS = 1000;
  private static final double COLD_FROM = 0.2;
  private static final double MULTIPLE = 2;

  /** What a part takes; a server of size 1 works on one at a time. */
  private static final int WORK_MS = 100;

  private record Due(long atMs, int gatherer, String part, int dispatch) {}

  /** What the settings allow in a window that ends at this age. */
  private static double allowed(long ageMs) {
    double share = COLD_FROM + (1 - COLD_FROM) * Math.min(ageMs, COLD_MS) / COLD_MS;
    return MULTIPLE * share * WINDOW_MS / WORK_MS;
  }

  private PolicyHarness gatherer(int instances, int rank, long nowMs, long seed) {
    PolicyHarness one = new PolicyHarness();
    one.instances = instances;
    one.rank = rank;
    one.nowMs = nowMs;
    one.seed = seed;
    one.tookMs = WORK_MS;
    one.layout = new tidebank.model.Settings.Layout(1, 2, 2, 1, 0);
    one.limits =
        new tidebank.model.Settings.Limits(2, false, true, false, true, 500 * MS, 10_000, false);
    one.start();
    return one;
  }

  /** The ages of the cold server, in ms, at which it was sent to. */
  private List<Long> play(
      int instances, double perSecond, int toldLateMs, double restarts, long seed) {
    Random random = new Random(seed);
    long born = 50_000;
    PolicyHarness[] fleet = new PolicyHarness[instances];
    PriorityQueue<Due> scans = new PriorityQueue<>(java.util.Comparator.comparingLong(Due::atMs));
    for (int rank = 0; rank < instances; rank++) {
      fleet[rank] = gatherer(instances, rank, born, random.nextLong());
      long told = toldLateMs == 0 ? 0 : random.nextInt(toldLateMs);
      scans.add(new Due(born + told, rank, "told", 0));
      if (random.nextDouble() < restarts) {
        scans.add(new Due(born + told + random.nextInt(COLD_MS), rank, "restart", 0));
      }
      scans.add(new Due(born + wait(random, perSecond), rank, "", 0));
    }
    List<Long> sent = new ArrayList<>();
    for (int id = 0; scans.peek().atMs() < born + COLD_MS; id++) {
      Due due = scans.poll();
      PolicyHarness one = fleet[due.gatherer()];
      one.pass(due.atMs() - one.nowMs);
      if (due.part().equals("told")) {
        one.list(ListUpdate.DELTA, line("s0", 0, EndpointStatus.IN_SERVICE, born));
      } else if (due.part().equals("restart")) {
        one = gatherer(instances, due.gatherer(), due.atMs(), random.nextLong());
        one.list(ListUpdate.DELTA, line("s0", 0, EndpointStatus.IN_SERVICE, born));
        fleet[due.gatherer()] = one;
      } else if (due.part().isEmpty()) {
        for (Action action : one.scan("q" + id, "strict", 1)) {
          if (action instanceof Action.SendAttempt send) {
            scans.add(new Due(due.atMs() + WORK_MS, due.gatherer(), send.shardRequest(), 0));
            if (send.server().equals("s0") && one.all.contains(action) && toldOf(one)) {
              sent.add(due.atMs() - born);
            }
          }
        }
        scans.add(new Due(due.atMs() + wait(random, perSecond), due.gatherer(), "", 0));
      } else if (one.tries.containsKey(due.part())) {
        one.end(due.part(), due.dispatch(), Outcome.COMPLETED);
      }
    }
    return sent;
  }

  /** Rule 4 binds those who were told. */
  private static boolean toldOf(PolicyHarness one) {
    return one.toldOfStart;
  }

  private static long wait(Random random, double perSecond) {
    return 1 + Math.round(-Math.log(1 - random.nextDouble()) * 1000 / perSecond);
  }

  @ParameterizedTest(
      name = "{0} gatherers, {1} scans a second each, told up to {2} ms late, {3} restarted")
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
  void aFleetSendsAColdServerNoMoreThanItsBudgetAndALittleChanceAndStillWarmsIt(
      int instances, double perSecond, int toldLateMs, double restarts) {
    double all = 0;
    for (long seed = 1; seed <= 12; seed++) {
      List<Long> sent = play(instances, perSecond, toldLateMs, restarts, seed);
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
    double budget = 12 * (allowed(0) + allowed(COLD_MS)) / 2 * COLD_MS / WINDOW_MS;
    assertThat(all / budget).as("share of the budget that is used").isGreaterThan(0.4);
  }
}
