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
 * A model of the lease protocol for exhaustive exploration: three members, two tasks, and
 * coordinators with a replicated log that is assumed to be correct, as a library provides it. The
 * network loses, repeats and reorders messages: a message may arrive at any later time, any number
 * of times. A member that takes no step is paused. Clocks run up to 5% fast or slow and start at
 * unrelated times. The rules are those of the production classes, with at most one rule disabled.
 */
final class LeaseModel implements StateSpaceExplorer.Model<LeaseModel.State> {
  private static final int MEMBERS = 3;
  private static final List<String> TASKS = List.of("probe", "report");
  private static final long TICK_US = 1_000_000;
  private static final LeaseConfig CONFIG = new LeaseConfig(3 * TICK_US, 0.05, 8, 64);

  /** Clock rates of the members, relative to real time. */
  private static final double[] MEMBER_RATES = {0.95, 1.05, 1};

  /** Clock rates of the leaders, by term. */
  private static final double[] LEADER_RATES = {1.05, 0.95};

  /** Clock times of the leaders at tick 0, by term. */
  private static final long[] LEADER_STARTS = {50 * TICK_US, 90 * TICK_US};

  /**
   * The state of the model.
   *
   * @param tick the real time, in seconds
   * @param delayedCommands commands that may arrive at any time
   * @param delayedResults results that may arrive at any time
   * @param lost the number of messages that did not arrive at once
   * @param disturbances the number of restarts and moves
   * @param outcomes the first outcome of each command, as an outside observer records it
   * @param violation the rule violation found by the last step, or null
   */
  record State(
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
    State withTime(int newTick, int newTerm) {
      return new State(
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

    State withHolder(int index, LeaseHolder holder) {
      List<LeaseHolder> changed = new ArrayList<>(holders);
      changed.set(index, holder);
      return new State(
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

    State withDisturbance() {
      return new State(
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

    State withDelayed(LeaseCommand command) {
      return new State(
          tick,
          term,
          table,
          holders,
          append(delayedCommands, command),
          delayedResults,
          lost + 1,
          disturbances,
          outcomes,
          violation);
    }

    State withDelayed(DelayedResult result) {
      return new State(
          tick,
          term,
          table,
          holders,
          delayedCommands,
          append(delayedResults, result),
          lost + 1,
          disturbances,
          outcomes,
          violation);
    }

    State withApplied(
        LeaseTableState newTable, TreeMap<String, String> newOutcomes, String newViolation) {
      return new State(
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

    private static <T> List<T> append(List<T> list, T element) {
      List<T> copy = new ArrayList<>(list);
      copy.add(element);
      return copy;
    }
  }

  /** A result that was sent to a member and may arrive at any time. */
  record DelayedResult(int member, String session, long sequence, CommandResult result) {}

  private record ApplyResult(State state, CommandResult result) {}

  private final InjectedFault fault;
  private final int maxLost;
  private final boolean disturbances;

  /**
   * Creates a model.
   *
   * @param fault the fault to inject
   * @param maxLost how many commands or results may fail to arrive at once
   * @param disturbances whether there may be one restart or move
   */
  LeaseModel(InjectedFault fault, int maxLost, boolean disturbances) {
    this.fault = fault;
    this.maxLost = maxLost;
    this.disturbances = disturbances;
  }

  private static long memberClock(State state, int member) {
    return (10 + member) * TICK_US + Math.round(state.tick * TICK_US * MEMBER_RATES[member]);
  }

  private static long leaderClock(State state) {
    return LEADER_STARTS[state.term - 1]
        + Math.round(state.tick * TICK_US * LEADER_RATES[state.term - 1]);
  }

  // ---- steps

  @Override
  public State initialState() {
    State state =
        new State(
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
    LeaseTable table = fault.createTable(state.table);
    LeaseCommand.Plan plan = new LeaseCommand.Plan(CONFIG, TASKS);
    table.apply(
        1,
        leaderClock(state),
        new LeaseCommand(LeaseCommand.Kind.PLAN, "leader", 1, "", "", 0, 0, "", plan));
    List<LeaseHolder> holders = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      LeaseHolder holder = fault.createHolder("m" + i, "s" + i);
      LeaseCommand join = holder.nextCommand(memberClock(state, i));
      CommandResult joinResult = table.apply(1, leaderClock(state), join);
      holder.handleResult(join.sequence(), joinResult, memberClock(state, i));
      holders.add(holder);
    }
    return new State(
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
  public void forEachSuccessor(State state, BiConsumer<String, State> next) {
    if (state.violation != null) {
      return;
    }
    next.accept("a second passes", state.withTime(state.tick + 1, state.term));
    if (state.term < LEADER_STARTS.length) {
      next.accept("another coordinator leads", state.withTime(state.tick, state.term + 1));
    }
    if (state.disturbances == 0) {
      LeaseCommand move =
          new LeaseCommand(
              LeaseCommand.Kind.MOVE, "operator", 1, "m1", TASKS.get(0), 0, 0, "", null);
      next.accept("an operator moves probe to m1", apply(state, move).state.withDisturbance());
    }
    for (int i = 0; i < MEMBERS; i++) {
      addMemberSteps(state, i, next);
    }
    for (LeaseCommand command : state.delayedCommands) {
      next.accept("delayed " + describe(command) + " arrives", apply(state, command).state);
    }
    for (DelayedResult delayed : state.delayedResults) {
      addDelayedResult(state, delayed, next);
    }
  }

  private void addMemberSteps(State state, int member, BiConsumer<String, State> next) {
    LeaseHolder requester = state.holders.get(member).copy();
    addSendSteps(state, member, requester, requester.nextCommand(memberClock(state, member)), next);
    LeaseHolder publisher = state.holders.get(member).copy();
    addSendSteps(state, member, publisher, publishCommand(state, member, publisher), next);
    if (state.disturbances == 0) {
      LeaseHolder restarted = fault.createHolder("m" + member, "s" + member + "'");
      next.accept(
          "m" + member + " is killed and restarts",
          state.withHolder(member, restarted).withDisturbance());
    }
  }

  /** Returns the command with which a member that holds the task publishes, or null. */
  private static LeaseCommand publishCommand(State state, int member, LeaseHolder holder) {
    long clock = memberClock(state, member);
    if (holder.tokenIfHeld(TASKS.get(0), clock, 0) == 0) {
      return null;
    }
    LeaseCommand pending = holder.copy().nextCommand(clock);
    long revision = state.table.tasks().get(0).revision();
    LeaseCommand publish =
        holder.createPublishCommand(TASKS.get(0), revision, "by m" + member, clock);
    return publish == null || publish.equals(pending) ? null : publish;
  }

  /**
   * Adds the steps in which a member sends a command: it is answered, its result is delayed, or the
   * command itself is delayed.
   */
  private void addSendSteps(
      State state,
      int member,
      LeaseHolder sender,
      LeaseCommand command,
      BiConsumer<String, State> next) {
    if (command == null) {
      return;
    }
    ApplyResult applied = apply(state, command);
    LeaseHolder answered = sender.copy();
    answered.handleResult(command.sequence(), applied.result, memberClock(state, member));
    String step = "m" + member + ": " + describe(command);
    next.accept(step + ", answered", applied.state.withHolder(member, answered));
    if (state.lost < maxLost) {
      DelayedResult delayed =
          new DelayedResult(member, command.session(), command.sequence(), applied.result);
      next.accept(
          step + ", result delayed", applied.state.withHolder(member, sender).withDelayed(delayed));
      next.accept(step + ", delayed", state.withHolder(member, sender).withDelayed(command));
    }
  }

  private void addDelayedResult(
      State state, DelayedResult delayed, BiConsumer<String, State> next) {
    LeaseHolder holder = state.holders.get(delayed.member).copy();
    boolean sameSession = holder.toString().startsWith("m" + delayed.member + delayed.session);
    if (sameSession) {
      holder.handleResult(delayed.sequence, delayed.result, memberClock(state, delayed.member));
      next.accept(
          "m" + delayed.member + " receives the delayed result of " + delayed.sequence,
          state.withHolder(delayed.member, holder));
    }
  }

  /**
   * Applies a command at the coordinators. An observer at the resource compares the states before
   * and after.
   */
  private ApplyResult apply(State state, LeaseCommand command) {
    LeaseTable table = fault.createTable(state.table);
    CommandResult result = table.apply(state.term, leaderClock(state), command);
    LeaseTableState after = table.state();
    TreeMap<String, String> outcomes = new TreeMap<>(state.outcomes);
    String violation = fencingViolation(state.table, after, command);
    if (!isSuperseded(result)) {
      String outcome = result.error() + " " + result.revision();
      String firstOutcome = outcomes.putIfAbsent(commandId(command), outcome);
      if (firstOutcome != null && !firstOutcome.equals(outcome)) {
        violation = commandId(command) + " got another result when it was repeated";
      }
    }
    return new ApplyResult(state.withApplied(after, outcomes, violation), result);
  }

  /**
   * Returns whether a command had no effect because it came after a newer one of its session or
   * from a session that is not a member's.
   */
  private static boolean isSuperseded(CommandResult result) {
    TidebankException.Details error = result.error();
    return error != null
        && (error.is(MembershipException.StaleSequenceNumber.class)
            || error.is(MembershipException.MemberUnknown.class)
            || error.is(MembershipException.NameTaken.class));
  }

  // ---- rules that must hold

  private static String fencingViolation(
      LeaseTableState before, LeaseTableState after, LeaseCommand command) {
    String violation = null;
    for (int i = 0; i < TASKS.size(); i++) {
      TaskLease oldLease = before.tasks().get(i);
      TaskLease newLease = after.tasks().get(i);
      boolean holderChanged =
          !newLease.session().isEmpty() && !newLease.session().equals(oldLease.session());
      if (newLease.fencingToken() < oldLease.fencingToken()
          || holderChanged && newLease.fencingToken() == oldLease.fencingToken()) {
        violation = newLease.task() + " was granted again with token " + newLease.fencingToken();
      }
      if (newLease.revision() > oldLease.revision()
          && (command.fencingToken() != oldLease.fencingToken()
              || !command.session().equals(oldLease.session()))) {
        violation = newLease.task() + " was published with stale token " + command.fencingToken();
      }
    }
    return violation;
  }

  @Override
  public String findViolation(State state) {
    if (state.violation != null) {
      return state.violation;
    }
    for (TaskLease lease : state.table.tasks()) {
      String violation = holderViolation(state, lease);
      if (violation != null) {
        return violation;
      }
    }
    return null;
  }

  private static String holderViolation(State state, TaskLease lease) {
    List<String> holders = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      long fencingToken = state.holders.get(i).tokenIfHeld(lease.task(), memberClock(state, i), 0);
      if (fencingToken > 0) {
        holders.add("m" + i + " with token " + fencingToken);
        if (fencingToken != lease.fencingToken()) {
          return lease.task()
              + ": "
              + holders
              + " while token "
              + lease.fencingToken()
              + " is granted";
        }
      }
    }
    return holders.size() > 1 ? lease.task() + " has two holders: " + holders : null;
  }

  // ---- comparing states

  @Override
  public String stateKey(State state) {
    return state.tick
        + " "
        + state.term
        + state.table
        + state.holders
        + state.delayedCommands
        + state.delayedResults.stream()
            .map(delayed -> delayed.session + delayed.sequence + delayed.result)
            .collect(Collectors.joining(","))
        + state.lost
        + state.disturbances
        + repeatableOutcomes(state);
  }

  /**
   * Returns the outcomes of commands that may still arrive or be answered again. Others do not
   * matter for comparing states.
   */
  private static TreeMap<String, String> repeatableOutcomes(State state) {
    TreeMap<String, String> outcomes = new TreeMap<>(state.outcomes);
    outcomes
        .keySet()
        .removeIf(
            id ->
                state.delayedCommands.stream().noneMatch(command -> id.equals(commandId(command)))
                    && state.delayedResults.stream()
                        .noneMatch(
                            delayed -> id.equals(commandId(delayed.session, delayed.sequence))));
    return outcomes;
  }

  private static String commandId(LeaseCommand command) {
    return commandId(command.session(), command.sequence());
  }

  private static String commandId(String session, long sequence) {
    return "command " + session + " " + sequence;
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

  static List<InjectedFault> faults() {
    return Arrays.stream(InjectedFault.values())
        .filter(fault -> fault != InjectedFault.NONE)
        .toList();
  }
}
