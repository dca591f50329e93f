package tidebank.testbed.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tidebank.model.SeededRandom;
import tidebank.testbed.chaos.Script.Condition;
import tidebank.testbed.chaos.Script.Operation;
import tidebank.testbed.chaos.Script.Step;

/** Generates random scripts. The same seed always produces the same script. */
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

  /** Generates the script for a seed. */
  public static Script generate(long seed) {
    RandomScript generator = new RandomScript(seed);
    Map<String, Double> clockRates = new TreeMap<>();
    if (generator.nextInt(3) == 0) {
      // Each clock is exact, or as slow or as fast as the drift bound allows.
      for (int i = 0; i < generator.coordinators; i++) {
        clockRates.put("s" + i, 1 + MAX_CLOCK_DRIFT * (generator.nextInt(3) - 1));
      }
      for (int i = 0; i < generator.members; i++) {
        clockRates.put("g" + i, 1 + MAX_CLOCK_DRIFT * (generator.nextInt(3) - 1));
      }
      clockRates.values().removeIf(rate -> rate == 1);
    }
    int faults = MIN_FAULTS + generator.nextInt(FAULT_COUNT_RANGE);
    for (int i = 0; i < faults; i++) {
      generator.steps.add(
          new Step(
              Condition.NOTHING,
              1,
              1 + generator.nextInt(3),
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
      generator.addFault("x" + (char) ('a' + i));
    }
    return new Script(
        "seed-" + seed,
        "Drawn from seed " + seed,
        generator.coordinators,
        generator.members,
        LEASE_MS,
        MAX_CLOCK_DRIFT,
        clockRates,
        generator.steps);
  }

  private int nextInt(int bound) {
    return (int) (random.nextDouble() * bound);
  }

  private <T> T choose(List<T> options) {
    return options.get(nextInt(options.size()));
  }

  /**
   * Chooses a condition to wait for while a fault is in effect. It has to be one that the fault
   * can't prevent.
   */
  private Condition chooseConditionDuringFault() {
    return choose(List.of(Condition.CALLS, Condition.CALLS, Condition.NOTHING));
  }

  /** Adds the steps of one random fault and of its end. */
  private void addFault(String alias) {
    String member = choose(List.of("owner", "owner", "other"));
    boolean owner = member.equals("owner");
    Condition endCondition =
        owner && members > 1
            ? choose(List.of(Condition.GRANT, Condition.SUCCESSOR, Condition.CALLS))
            : Condition.PUBLICATIONS;
    Condition startCondition =
        choose(List.of(Condition.PUBLICATIONS, Condition.RENEWALS, Condition.OWNED));
    switch (nextInt(8)) {
      case 0 -> {
        steps.add(Step.of(startCondition, 1, Operation.STOP, member, alias));
        steps.add(processStep(endCondition, Operation.WAKE, alias));
      }
      case 1 -> {
        steps.add(
            Step.of(
                startCondition, 1, choose(List.of(Operation.KILL, Operation.TERM)), member, alias));
        steps.add(
            new Step(
                Condition.ENDED, 1, 1, alias, Operation.START, alias, "", "", null, 0, 0, 0, 1));
      }
      case 2 -> {
        steps.add(Step.of(startCondition, 1, Operation.NOTHING, member, alias));
        steps.add(
            Step.link(
                Condition.NOTHING,
                1,
                alias,
                "stewards",
                choose(
                    List.of(
                        FaultyLink.Fault.SILENT_UP,
                        FaultyLink.Fault.SILENT_DOWN,
                        FaultyLink.Fault.CUT)),
                0));
        steps.add(healStep(endCondition, alias, "stewards"));
      }
      case 3 -> {
        steps.add(
            Step.link(
                startCondition,
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
                startCondition,
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
        steps.add(Step.of(startCondition, 1, Operation.STOP, "leader", alias));
        steps.add(
            processStep(
                coordinators > 1 ? Condition.LEADER : Condition.LEADERLESS, Operation.WAKE, alias));
      }
      case 6 -> {
        steps.add(
            Step.of(
                startCondition,
                1,
                choose(List.of(Operation.KILL, Operation.TERM)),
                choose(List.of("leader", "follower")),
                alias));
        steps.add(
            new Step(
                Condition.ENDED, 1, 1, alias, Operation.START, alias, "", "", null, 0, 0, 0, 1));
      }
      default -> {
        steps.add(Step.of(startCondition, 1, Operation.NOTHING, "leader", alias));
        steps.add(
            Step.link(
                Condition.NOTHING,
                1,
                coordinators > 1 && nextInt(2) == 0 ? alias : "stewards",
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

  private static Step processStep(Condition condition, Operation operation, String target) {
    return new Step(condition, 1, 1, "members", operation, target, "", "", null, 0, 0, 0, 1);
  }

  private Step healStep(Condition condition, String from, String to) {
    return new Step(
        condition,
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
