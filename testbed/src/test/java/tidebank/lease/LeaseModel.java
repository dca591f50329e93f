package tidebank.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import tidebank.errors.MembershipException;
import tidebank.errors.TidebankException;
import tidebank.testbed.explore.StateSpaceExplorer;

/**
 * Three members, two tasks, coordinators whose log is taken for granted (a library's), and a
 * network that loses, repeats and reorders any message: what was sent once may arrive at any time,
 * any number of times. A member that takes no step is paused. Clocks run 5% fast or slow, and begin
 * anywhere. The rules are the product's own classes, with one rule left out or none.
 */
final class LeaseModel implements StateSpaceExplorer.Model<LeaseModel.World> {
  private static final int MEMBERS = 3;
  private static final List<String> TASKS = List.of("probe", "report");
  private static final long TICK_US = 1_000_000;
  private static final LeaseConfig CONFIG = new LeaseConfig(3 * TICK_US, 0.05, 8, 64);

  /** How fast the clocks of the members and of the leaders by term run. */
  private static final double[] MEMBER_RATES = {0.95, 1.05, 1};

  private static final double[] LEADER_RATES = {1.05, 0.95};
  private static final long[] LEADER_STARTS = {50 * TICK_US, 90 * TICK_US};

  /**
   * All there is at a moment.
   *
   * @param delayedCommands commands that may arrive at any time
   * @param delayedResults results that may arrive at any time
   * @param lost messages that did not arrive at once
   * @param disturbances restarts and moves
   * @param outcomes what commands were answered, as an observer notes it down
   * @param violation what is wrong, or null
   */
  record World(
      int tick,
      int term,
      LeaseTableState table,
      List<LeaseHolder> holders,
      List<LeaseCommand> delayedCommands,
      List<DelayedResult> delayedResults,
      int lost,
      int disturbances,
      TreeMap<String, String> outcomes,
      String violation) {
    World with(int newTick, int newTerm) {
      return new World(
          newTick,
          newTerm,
          table,
          holders,
          delayedCommands,
          delayedResults,
          lost,
          disturbances,
          outcomes,
          violation);
    }

    World withHolder(int index, LeaseHolder holder) {
      List<LeaseHolder> changed = new ArrayList<>(holders);
      changed.set(index, holder);
      return new World(
          tick,
          term,
          table,
          changed,
          delayedCommands,
          delayedResults,
          lost,
          disturbances,
          outcomes,
          violation);
    }

    World disturbed() {
      return new World(
          tick,
          term,
          table,
          holders,
          delayedCommands,
          delayedResults,
          lost,
          disturbances + 1,
          outcomes,
          violation);
    }

    World delaying(LeaseCommand command) {
      return new World(
          tick,
          term,
          table,
          holders,
          plus(delayedCommands, command),
          delayedResults,
          lost + 1,
          disturbances,
          outcomes,
          violation);
    }

    World delaying(DelayedResult result) {
      return new World(
          tick,
          term,
          table,
          holders,
          delayedCommands,
          plus(delayedResults, result),
          lost + 1,
          disturbances,
          outcomes,
          violation);
    }

    World applied(
        LeaseTableState newTable, TreeMap<String, String> newOutcomes, String newViolation) {
      return new World(
          tick,
          term,
          newTable,
          holders,
          delayedCommands,
          delayedResults,
          lost,
          disturbances,
          newOutcomes,
          newViolation);
    }

    private static <T> List<T> plus(List<T> list, T one) {
      List<T> longer = new ArrayList<>(list);
      longer.add(one);
      return longer;
    }
  }

  /** A result that was sent to a member and may arrive at any time. */
  record DelayedResult(int member, String session, long sequence, CommandResult result) {}

  private record Applied(World world, CommandResult result) {}

  private final PlantedFault fault;
  private final int maxLost;
  private final boolean disturbances;

  /**
   * Creates a model.
   *
   * @param maxLost commands or results that do not arrive at once
   * @param disturbances whether there may be one restart or move
   */
  LeaseModel(PlantedFault fault, int maxLost, boolean disturbances) {
    this.fault = fault;
    this.maxLost = maxLost;
    this.disturbances = disturbances;
  }

  private static long memberClock(World world, int member) {
    return (10 + member) * TICK_US + Math.round(world.tick * TICK_US * MEMBER_RATES[member]);
  }

  private static long leaderClock(World world) {
    return LEADER_STARTS[world.term - 1]
        + Math.round(world.tick * TICK_US * LEADER_RATES[world.term - 1]);
  }

  // ---- steps

  @Override
  public World initialState() {
    World world =
        new World(
            0,
            1,
            new LeaseTable(CONFIG).state(),
            List.of(),
            List.of(),
            List.of(),
            0,
            0,
            new TreeMap<>(),
            null);
    LeaseTable table = fault.table(world.table);
    LeaseCommand.Plan plan = new LeaseCommand.Plan(CONFIG, TASKS);
    table.apply(
        1,
        leaderClock(world),
        new LeaseCommand(LeaseCommand.Kind.PLAN, "leader", 1, "", "", 0, 0, "", plan));
    List<LeaseHolder> holders = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      LeaseHolder holder = fault.holder("m" + i, "s" + i);
      LeaseCommand join = holder.nextCommand(memberClock(world, i));
      CommandResult joined = table.apply(1, leaderClock(world), join);
      holder.handleResult(join.sequence(), joined, memberClock(world, i));
      holders.add(holder);
    }
    return new World(
        0,
        1,
        table.state(),
        holders,
        List.of(),
        List.of(),
        0,
        disturbances ? 0 : 1,
        new TreeMap<>(),
        null);
  }

  @Override
  public void forEachSuccessor(World world, BiConsumer<String, World> next) {
    if (world.violation != null) {
      return;
    }
    next.accept("a second passes", world.with(world.tick + 1, world.term));
    if (world.term < LEADER_STARTS.length) {
      next.accept("another coordinator leads", world.with(world.tick, world.term + 1));
    }
    if (world.disturbances == 0) {
      LeaseCommand move =
          new LeaseCommand(
              LeaseCommand.Kind.MOVE, "operator", 1, "m1", TASKS.get(0), 0, 0, "", null);
      next.accept("an operator moves probe to m1", apply(world, move).world.disturbed());
    }
    for (int i = 0; i < MEMBERS; i++) {
      memberSteps(world, i, next);
    }
    for (LeaseCommand command : world.delayedCommands) {
      next.accept("late: " + describe(command) + " arrives", apply(world, command).world);
    }
    for (DelayedResult delayed : world.delayedResults) {
      resultArrives(world, delayed, next);
    }
  }

  private void memberSteps(World world, int member, BiConsumer<String, World> next) {
    LeaseHolder asking = world.holders.get(member).copy();
    sends(world, member, asking, asking.nextCommand(memberClock(world, member)), next);
    LeaseHolder publishing = world.holders.get(member).copy();
    sends(world, member, publishing, publishCommand(world, member, publishing), next);
    if (world.disturbances == 0) {
      LeaseHolder restarted = fault.holder("m" + member, "s" + member + "'");
      next.accept(
          "m" + member + " is killed and starts again",
          world.withHolder(member, restarted).disturbed());
    }
  }

  /** Returns what a member publishes of its own accord, or null. */
  private static LeaseCommand publishCommand(World world, int member, LeaseHolder holder) {
    long clock = memberClock(world, member);
    if (holder.tokenIfHeld(TASKS.get(0), clock, 0) == 0) {
      return null;
    }
    LeaseCommand pending = holder.copy().nextCommand(clock);
    long revision = world.table.tasks().get(0).revision();
    LeaseCommand publish = holder.publish(TASKS.get(0), revision, "by m" + member, clock);
    return publish == null || publish.equals(pending) ? null : publish;
  }

  /** A member sends a command: it is answered, its result is delayed, or it is delayed itself. */
  private void sends(
      World world,
      int member,
      LeaseHolder sender,
      LeaseCommand command,
      BiConsumer<String, World> next) {
    if (command == null) {
      return;
    }
    Applied applied = apply(world, command);
    LeaseHolder answered = sender.copy();
    answered.handleResult(command.sequence(), applied.result, memberClock(world, member));
    String step = "m" + member + ": " + describe(command);
    next.accept(step + ", answered", applied.world.withHolder(member, answered));
    if (world.lost < maxLost) {
      DelayedResult delayed =
          new DelayedResult(member, command.session(), command.sequence(), applied.result);
      next.accept(
          step + ", result delayed", applied.world.withHolder(member, sender).delaying(delayed));
      next.accept(step + ", delayed", world.withHolder(member, sender).delaying(command));
    }
  }

  private void resultArrives(World world, DelayedResult delayed, BiConsumer<String, World> next) {
    LeaseHolder holder = world.holders.get(delayed.member).copy();
    boolean sameStart = holder.toString().startsWith("m" + delayed.member + delayed.session);
    if (sameStart) {
      holder.handleResult(delayed.sequence, delayed.result, memberClock(world, delayed.member));
      next.accept(
          "late: m" + delayed.member + " receives the result of " + delayed.sequence,
          world.withHolder(delayed.member, holder));
    }
  }

  /** The coordinators apply a command; an observer at the resource compares before and after. */
  private Applied apply(World world, LeaseCommand command) {
    LeaseTable table = fault.table(world.table);
    CommandResult result = table.apply(world.term, leaderClock(world), command);
    LeaseTableState after = table.state();
    TreeMap<String, String> outcomes = new TreeMap<>(world.outcomes);
    String violation = fencingViolation(world.table, after, command);
    if (!isSuperseded(result)) {
      String outcome = result.error() + " " + result.revision();
      String first = outcomes.putIfAbsent(callOf(command), outcome);
      if (first != null && !first.equals(outcome)) {
        violation = callOf(command) + " was answered differently when repeated";
      }
    }
    return new Applied(world.applied(after, outcomes, violation), result);
  }

  /** A command after its session's next, or outside of its session, has no effect. */
  private static boolean isSuperseded(CommandResult result) {
    TidebankException.Details error = result.error();
    return error != null
        && (error.is(MembershipException.StaleSequenceNumber.class)
            || error.is(MembershipException.MemberUnknown.class)
            || error.is(MembershipException.NameTaken.class));
  }

  // ---- what must hold

  private static String fencingViolation(
      LeaseTableState before, LeaseTableState after, LeaseCommand command) {
    String violation = null;
    for (int i = 0; i < TASKS.size(); i++) {
      TaskLease was = before.tasks().get(i);
      TaskLease is = after.tasks().get(i);
      boolean otherHolder = !is.session().isEmpty() && !is.session().equals(was.session());
      if (is.fencingToken() < was.fencingToken()
          || otherHolder && is.fencingToken() == was.fencingToken()) {
        violation = is.task() + " was granted by token " + is.fencingToken() + " again";
      }
      if (is.revision() > was.revision()
          && (command.fencingToken() != was.fencingToken()
              || !command.session().equals(was.session()))) {
        violation = is.task() + " was published under the old token " + command.fencingToken();
      }
    }
    return violation;
  }

  @Override
  public String findViolation(World world) {
    if (world.violation != null) {
      return world.violation;
    }
    for (TaskLease lease : world.table.tasks()) {
      String violation = holderViolation(world, lease);
      if (violation != null) {
        return violation;
      }
    }
    return null;
  }

  private static String holderViolation(World world, TaskLease lease) {
    List<String> acting = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      long fencingToken = world.holders.get(i).tokenIfHeld(lease.task(), memberClock(world, i), 0);
      if (fencingToken > 0) {
        acting.add("m" + i + " by token " + fencingToken);
        if (fencingToken != lease.fencingToken()) {
          return lease.task()
              + ": "
              + acting
              + " while token "
              + lease.fencingToken()
              + " is granted";
        }
      }
    }
    return acting.size() > 1 ? lease.task() + " has two holders: " + acting : null;
  }

  // ---- comparing worlds

  @Override
  public String stateKey(World world) {
    return world.tick
        + " "
        + world.term
        + world.table
        + world.holders
        + world.delayedCommands
        + world.delayedResults.stream()
            .map(delayed -> delayed.session + delayed.sequence + delayed.result)
            .collect(Collectors.joining(","))
        + world.lost
        + world.disturbances
        + outcomesThatMayRepeat(world);
  }

  /** Outcomes of calls that may come again; no others tell two worlds apart. */
  private static TreeMap<String, String> outcomesThatMayRepeat(World world) {
    TreeMap<String, String> outcomes = new TreeMap<>(world.outcomes);
    outcomes
        .keySet()
        .removeIf(
            call ->
                world.delayedCommands.stream().noneMatch(command -> call.equals(callOf(command)))
                    && world.delayedResults.stream()
                        .noneMatch(
                            delayed -> call.equals(callOf(delayed.session, delayed.sequence))));
    return outcomes;
  }

  private static String callOf(LeaseCommand command) {
    return callOf(command.session(), command.sequence());
  }

  private static String callOf(String session, long sequence) {
    return "call " + session + " " + sequence;
  }

  private static String describe(LeaseCommand command) {
    return command.kind()
        + (command.task().isEmpty() ? "" : " " + command.task())
        + " ("
        + command.session()
        + " "
        + command.sequence()
        + ")";
  }

  static List<PlantedFault> faults() {
    return Arrays.stream(PlantedFault.values())
        .filter(fault -> fault != PlantedFault.NONE)
        .toList();
  }
}
