package tidebank.testbed.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tidebank.model.SeededRandom;
import tidebank.testbed.chaos.Script.Condition;
import tidebank.testbed.chaos.Script.Operation;
import tidebank.testbed.chaos.Script.Step;

/** Scripts drawn from a seed: the same seed, the same script. */
public final class RandomScript {
  private static final int MIN_FAULTS = 3;
  private static final int FAULT_COUNT_RANGE = 4;
  private static final long LEASE_MS = 800;
  private static final double MAX_CLOCK_DRIFT = 0.05;

  private final SeededRandom random;
  private final List<Step> steps = new ArrayList<>();
  private final int coordinators;
  private final int members;

  private RandomScript(long seed) {
    random = new SeededRandom(seed);
    coordinators = nextInt(3) == 0 ? 1 : 3;
    members = 2 + nextInt(3);
  }

  /** The script of a seed. */
  public static Script generate(long seed) {
    RandomScript drawn = new RandomScript(seed);
    Map<String, Double> clocks = new TreeMap<>();
    if (drawn.nextInt(3) == 0) {
      // Clocks that are as wrong as they may be, either way.
      for (int i = 0; i < drawn.coordinators; i++) {
        clocks.put("s" + i, 1 + MAX_CLOCK_DRIFT * (drawn.nextInt(3) - 1));
      }
      for (int i = 0; i < drawn.members; i++) {
        clocks.put("g" + i, 1 + MAX_CLOCK_DRIFT * (drawn.nextInt(3) - 1));
      }
      clocks.values().removeIf(rate -> rate == 1);
    }
    int troubles = MIN_FAULTS + drawn.nextInt(FAULT_COUNT_RANGE);
    for (int i = 0; i < troubles; i++) {
      drawn.steps.add(
          new Step(
              Condition.NOTHING,
              1,
              1 + drawn.nextInt(3),
              "owner",
              Operation.SCANS,
              "",
              "",
              "",
              null,
              0,
              0,
              0,
              1));
      drawn.addFault("x" + (char) ('a' + i));
    }
    return new Script(
        "seed-" + seed,
        "Drawn from seed " + seed,
        drawn.coordinators,
        drawn.members,
        LEASE_MS,
        MAX_CLOCK_DRIFT,
        clocks,
        drawn.steps);
  }

  private int nextInt(int of) {
    return (int) (random.nextDouble() * of);
  }

  private <T> T choose(List<T> of) {
    return of.get(nextInt(of.size()));
  }

  /** What a step waits for while something is wrong: never what may not come. */
  private Condition chooseConditionDuringFault() {
    return choose(List.of(Condition.CALLS, Condition.CALLS, Condition.NOTHING));
  }

  private void addFault(String called) {
    String member = choose(List.of("owner", "owner", "other"));
    boolean owner = member.equals("owner");
    Condition then =
        owner && members > 1
            ? choose(List.of(Condition.GRANT, Condition.SUCCESSOR, Condition.CALLS))
            : Condition.PUBLICATIONS;
    Condition before = choose(List.of(Condition.PUBLICATIONS, Condition.RENEWALS, Condition.OWNED));
    switch (nextInt(8)) {
      case 0 -> {
        steps.add(Step.of(before, 1, Operation.STOP, member, called));
        steps.add(processStep(then, Operation.WAKE, called));
      }
      case 1 -> {
        steps.add(
            Step.of(before, 1, choose(List.of(Operation.KILL, Operation.TERM)), member, called));
        steps.add(
            new Step(
                Condition.ENDED, 1, 1, called, Operation.START, called, "", "", null, 0, 0, 0, 1));
      }
      case 2 -> {
        steps.add(Step.of(before, 1, Operation.NOTHING, member, called));
        steps.add(
            Step.link(
                Condition.NOTHING,
                1,
                called,
                "stewards",
                choose(
                    List.of(
                        FaultyLink.Fault.SILENT_UP,
                        FaultyLink.Fault.SILENT_DOWN,
                        FaultyLink.Fault.CUT)),
                0));
        steps.add(healStep(then, called, "stewards"));
      }
      case 3 -> {
        steps.add(
            Step.link(
                before,
                1,
                "members",
                "stewards",
                choose(List.of(FaultyLink.Fault.RESET, FaultyLink.Fault.HALF_OPEN)),
                0));
        steps.add(Step.of(Condition.PUBLICATIONS, 1, Operation.NOTHING, "owner", ""));
      }
      case 4 -> {
        steps.add(
            Step.link(
                before,
                1,
                "members",
                "stewards",
                choose(
                    List.of(
                        FaultyLink.Fault.DELAY, FaultyLink.Fault.FLAP, FaultyLink.Fault.TRICKLE)),
                20 + nextInt(80)));
        steps.add(healStep(chooseConditionDuringFault(), "members", "stewards"));
      }
      case 5 -> {
        steps.add(Step.of(before, 1, Operation.STOP, "leader", called));
        steps.add(
            processStep(
                coordinators > 1 ? Condition.LEADER : Condition.LEADERLESS,
                Operation.WAKE,
                called));
      }
      case 6 -> {
        steps.add(
            Step.of(
                before,
                1,
                choose(List.of(Operation.KILL, Operation.TERM)),
                choose(List.of("leader", "follower")),
                called));
        steps.add(
            new Step(
                Condition.ENDED, 1, 1, called, Operation.START, called, "", "", null, 0, 0, 0, 1));
      }
      default -> {
        steps.add(Step.of(before, 1, Operation.NOTHING, "leader", called));
        steps.add(
            Step.link(
                Condition.NOTHING,
                1,
                coordinators > 1 && nextInt(2) == 0 ? called : "stewards",
                "stewards",
                choose(
                    List.of(
                        FaultyLink.Fault.CUT,
                        FaultyLink.Fault.SILENT_UP,
                        FaultyLink.Fault.DELAY,
                        FaultyLink.Fault.RESET)),
                20 + nextInt(30)));
        steps.add(healStep(chooseConditionDuringFault(), "all", "stewards"));
      }
    }
  }

  private static Step processStep(Condition await, Operation act, String who) {
    return new Step(await, 1, 1, "members", act, who, "", "", null, 0, 0, 0, 1);
  }

  private Step healStep(Condition await, String from, String to) {
    return new Step(
        await,
        1 + nextInt(6),
        1,
        "members",
        Operation.LINK,
        from,
        "",
        to,
        FaultyLink.Fault.HEAL,
        0,
        0,
        400,
        1);
  }
}
