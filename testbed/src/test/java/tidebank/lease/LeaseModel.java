package tidebank.lease;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import tidebank.errors.TidebankException;
import tidebank.testbed.explore.Explorer;

/**
 * Three members, two duties, stewards whose log is taken for granted (a library's), and a network
 * that loses, repeats and reorders whatever it likes: what was sent once may come at any time, any
 * number of times. A member that is not moved is paused. Clocks run 5% fast or slow, and begin
 * anywhere. The rules are the product's own classes.
 */
final class LeaseModel implements Explorer.Model<LeaseModel.World> {
  static final int MEMBERS = 3;
  static final List<String> DUTIES = List.of("probe", "report");
  private static final long TICK = 1_000_000;
  static final LeaseConfig TERMS = new LeaseConfig(3 * TICK, 0.05, 8, 64);

  /** How fast the clocks of the members and of the leaders by term run. */
  private static final double[] MEMBER_RATES = {0.95, 1.05, 1};

  private static final double[] LEADER_RATES = {1.05, 0.95};
  private static final long[] LEADER_STARTS = {50 * TICK, 90 * TICK};

  /** One rule left out. */
  enum Flaw {
    NONE,
    LEASE_COUNTED_FROM_THE_ANSWER,
    LEASE_COUNTED_FROM_THE_LAST_REPEAT,
    DRIFT_LEFT_OUT,
    DEADLINE_NOT_CHECKED,
    TOKEN_DOES_NOT_GROW,
    NEW_LEADER_FORGETS,
    NEW_LEADER_KEEPS_OLD_TIMES,
    TAKEN_OVER_TOO_EARLY,
    REPEATED_COMMAND_TAKES_EFFECT_AGAIN,
    ANY_ANSWER_TAKEN_FOR_THE_AWAITED,
    RELEASED_BUT_STILL_ACTING,
    TOKEN_NOT_COMPARED
  }

  /** All there is at a moment; what was sent stays on its way for good. */
  record World(
      int tick,
      int term,
      LeaseTable.State book,
      List<LeaseHolder> holders,
      List<LeaseCommand> commands,
      List<Sent> answers,
      int lost,
      int disturbed,
      TreeMap<String, String> ghosts,
      String wrong) {}

  record Sent(int to, String session, long number, CommandResult answer) {}

  private final Flaw flaw;
  private final int losses;
  private final boolean disturbed;

  /**
   * With one rule left out or none.
   *
   * @param losses commands or answers that do not come through at once
   * @param disturbed whether there may be one restart or move
   */
  LeaseModel(Flaw flaw, int losses, boolean disturbed) {
    this.flaw = flaw;
    this.losses = losses;
    this.disturbed = disturbed;
  }

  private final class Book extends LeaseTable {
    private long at;

    Book(State state) {
      super(state);
    }

    @Override
    public CommandResult apply(long in, long clock, LeaseCommand command) {
      at = clock;
      return super.apply(in, clock, command);
    }

    @Override
    protected void newLeader(long in, long clock) {
      if (flaw != Flaw.NEW_LEADER_KEEPS_OLD_TIMES) {
        super.newLeader(in, clock);
      }
    }

    @Override
    protected boolean over(TaskLease duty) {
      return super.over(duty) || flaw == Flaw.TAKEN_OVER_TOO_EARLY && at >= duty.expiresAt() - TICK;
    }

    @Override
    protected boolean repeated(long number, long last) {
      return flaw != Flaw.REPEATED_COMMAND_TAKES_EFFECT_AGAIN && super.repeated(number, last);
    }

    @Override
    protected long nextToken(TaskLease duty) {
      return flaw == Flaw.TOKEN_DOES_NOT_GROW ? 1 : super.nextToken(duty);
    }

    @Override
    protected boolean current(TaskLease duty, LeaseCommand command) {
      return flaw == Flaw.TOKEN_NOT_COMPARED || super.current(duty, command);
    }
  }

  private final class Member extends LeaseHolder {
    Member(String name, String session) {
      super(name, session);
    }

    @Override
    protected LeaseHolder blank(String called, String in) {
      return new Member(called, in);
    }

    @Override
    protected long countsFrom(long asked, long answered) {
      return flaw == Flaw.LEASE_COUNTED_FROM_THE_ANSWER
          ? answered
          : super.countsFrom(asked, answered);
    }

    @Override
    protected long askedFrom(long first, long again) {
      return flaw == Flaw.LEASE_COUNTED_FROM_THE_LAST_REPEAT
          ? again
          : super.askedFrom(first, again);
    }

    @Override
    protected long lasts(LeaseConfig terms) {
      return flaw == Flaw.DRIFT_LEFT_OUT ? terms.leaseUs() : super.lasts(terms);
    }

    @Override
    protected boolean inTime(HeldLease one, long now, long margin) {
      return flaw == Flaw.DEADLINE_NOT_CHECKED || super.inTime(one, now, margin);
    }

    @Override
    protected boolean awaited(long call) {
      return flaw == Flaw.ANY_ANSWER_TAKEN_FOR_THE_AWAITED || super.awaited(call);
    }

    @Override
    protected void letGo(String duty) {
      if (flaw != Flaw.RELEASED_BUT_STILL_ACTING) {
        super.letGo(duty);
      }
    }
  }

  // ---- the model

  private static long memberClock(World world, int member) {
    return (10 + member) * TICK + Math.round(world.tick * TICK * MEMBER_RATES[member]);
  }

  private static long leaderClock(World world) {
    return LEADER_STARTS[world.term - 1]
        + Math.round(world.tick * TICK * LEADER_RATES[world.term - 1]);
  }

  @Override
  public World start() {
    World world =
        new World(
            0,
            1,
            new LeaseTable(TERMS).state(),
            List.of(),
            List.of(),
            List.of(),
            0,
            0,
            new TreeMap<>(),
            null);
    Book book = new Book(world.book);
    book.apply(
        1,
        leaderClock(world),
        new LeaseCommand(
            LeaseCommand.Kind.PLAN,
            "steward",
            1,
            "",
            "",
            0,
            0,
            "",
            new LeaseCommand.Plan(TERMS, DUTIES)));
    List<LeaseHolder> holders = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      LeaseHolder holder = new Member("m" + i, "s" + i);
      LeaseCommand join = holder.nextCommand(memberClock(world, i));
      holder.handleResult(
          join.sequence(), book.apply(1, leaderClock(world), join), memberClock(world, i));
      holders.add(holder);
    }
    return new World(
        0,
        1,
        book.state(),
        holders,
        List.of(),
        List.of(),
        0,
        disturbed ? 0 : 1,
        new TreeMap<>(),
        null);
  }

  @Override
  public void moves(World world, BiConsumer<String, World> next) {
    if (world.wrong != null) {
      return;
    }
    next.accept(
        "a second passes",
        new World(
            world.tick + 1,
            world.term,
            world.book,
            world.holders,
            world.commands,
            world.answers,
            world.lost,
            world.disturbed,
            world.ghosts,
            null));
    if (world.term < LEADER_STARTS.length) {
      next.accept(
          "another steward leads",
          new World(
              world.tick,
              world.term + 1,
              world.book,
              world.holders,
              world.commands,
              world.answers,
              world.lost,
              world.disturbed,
              world.ghosts,
              null));
    }
    if (world.disturbed == 0) {
      World moved =
          taken(
                  world,
                  new LeaseCommand(
                      LeaseCommand.Kind.MOVE, "operator", 1, "m1", DUTIES.get(0), 0, 0, "", null),
                  null)
              .world;
      next.accept(
          "an operator moves probe to m1",
          new World(
              world.tick,
              world.term,
              moved.book,
              moved.holders,
              moved.commands,
              moved.answers,
              moved.lost,
              1,
              moved.ghosts,
              moved.wrong));
    }
    for (int i = 0; i < MEMBERS; i++) {
      asks(world, i, next);
      if (world.disturbed == 0) {
        List<LeaseHolder> holders = new ArrayList<>(world.holders);
        holders.set(i, new Member("m" + i, "s" + i + "'"));
        next.accept(
            "m" + i + " is killed and starts again",
            new World(
                world.tick,
                world.term,
                world.book,
                holders,
                world.commands,
                world.answers,
                world.lost,
                1,
                world.ghosts,
                null));
      }
    }
    for (LeaseCommand command : world.commands) {
      next.accept("late: " + text(command) + " comes", taken(world, command, null).world);
    }
    for (Sent sent : world.answers) {
      List<LeaseHolder> holders = new ArrayList<>(world.holders);
      LeaseHolder holder = holders.get(sent.to).copy();
      if (holder.toString().startsWith("m" + sent.to + sent.session)) {
        holder.handleResult(sent.number, sent.answer, memberClock(world, sent.to));
        holders.set(sent.to, holder);
        next.accept(
            "late: m" + sent.to + " hears the answer to " + sent.number,
            new World(
                world.tick,
                world.term,
                world.book,
                holders,
                world.commands,
                world.answers,
                world.lost,
                world.disturbed,
                world.ghosts,
                null));
      }
    }
  }

  /**
   * What member i asks next, and the ways it may go: answered, answer on its way, command on its
   * way.
   */
  private void asks(World world, int i, BiConsumer<String, World> next) {
    for (boolean publish : new boolean[] {false, true}) {
      LeaseHolder asking = world.holders.get(i).copy();
      long clock = memberClock(world, i);
      LeaseCommand command = null;
      if (!publish) {
        command = asking.nextCommand(clock);
      } else if (asking.tokenIfHeld(DUTIES.get(0), clock, 0) > 0) {
        long revision = world.book.tasks().get(0).revision();
        LeaseCommand before = asking.copy().nextCommand(clock);
        command = asking.publish(DUTIES.get(0), revision, "by m" + i, clock);
        command = command == null || command.equals(before) ? null : command;
      }
      if (command == null) {
        continue;
      }
      List<LeaseHolder> holders = new ArrayList<>(world.holders);
      Taken taken = taken(world, command, null);
      LeaseHolder answered = asking.copy();
      answered.handleResult(command.sequence(), taken.answer, clock);
      holders.set(i, answered);
      next.accept("m" + i + ": " + text(command) + ", answered", with(taken.world, holders));
      if (world.lost < losses) {
        List<LeaseHolder> waiting = new ArrayList<>(world.holders);
        waiting.set(i, asking);
        Sent sent = new Sent(i, command.session(), command.sequence(), taken.answer);
        World lost = taken(world, command, sent).world;
        next.accept(
            "m" + i + ": " + text(command) + ", answer on its way",
            new World(
                lost.tick,
                lost.term,
                lost.book,
                waiting,
                lost.commands,
                lost.answers,
                world.lost + 1,
                lost.disturbed,
                lost.ghosts,
                lost.wrong));
        List<LeaseCommand> commands = new ArrayList<>(world.commands);
        commands.add(command);
        next.accept(
            "m" + i + ": " + text(command) + ", on its way",
            new World(
                world.tick,
                world.term,
                world.book,
                waiting,
                commands,
                world.answers,
                world.lost + 1,
                world.disturbed,
                world.ghosts,
                null));
      }
    }
  }

  private static World with(World world, List<LeaseHolder> holders) {
    return new World(
        world.tick,
        world.term,
        world.book,
        holders,
        world.commands,
        world.answers,
        world.lost,
        world.disturbed,
        world.ghosts,
        world.wrong);
  }

  /** Calls that may come again; no others are worth noting down. */
  private static TreeMap<String, String> mayRepeat(World world) {
    TreeMap<String, String> ghosts = new TreeMap<>(world.ghosts);
    ghosts
        .keySet()
        .removeIf(
            call ->
                world.commands.stream().noneMatch(command -> call.equals(call(command)))
                    && world.answers.stream()
                        .noneMatch(sent -> call.equals(call(sent.session, sent.number))));
    return ghosts;
  }

  private static String call(LeaseCommand command) {
    return call(command.session(), command.sequence());
  }

  private static String call(String session, long number) {
    return "call " + session + " " + number;
  }

  private static String text(LeaseCommand command) {
    return command.kind()
        + (command.task().isEmpty() ? "" : " " + command.task())
        + " ("
        + command.session()
        + " "
        + command.sequence()
        + ")";
  }

  private record Taken(World world, CommandResult answer) {}

  /** The stewards take a command. Beside it, what an observer at the resource notes down. */
  private Taken taken(World world, LeaseCommand command, Sent sent) {
    Book book =
        new Book(
            flaw == Flaw.NEW_LEADER_FORGETS && world.term > world.book.term()
                ? forgotten(world.book)
                : world.book);
    CommandResult answer = book.apply(world.term, leaderClock(world), command);
    LeaseTable.State after = book.state();
    TreeMap<String, String> ghosts = new TreeMap<>(world.ghosts);
    String wrong = null;
    for (int i = 0; i < DUTIES.size(); i++) {
      LeaseTable.TaskLease was = world.book.tasks().get(i);
      LeaseTable.TaskLease is = after.tasks().get(i);
      if (is.fencingToken() < was.fencingToken()
          || !is.session().isEmpty()
              && !is.session().equals(was.session())
              && is.fencingToken() == was.fencingToken()) {
        wrong = is.task() + " was granted by token " + is.fencingToken() + " again";
      }
      if (is.revision() > was.revision()
          && (command.fencingToken() != was.fencingToken()
              || !command.session().equals(was.session()))) {
        wrong = is.task() + " was published under the old token " + command.fencingToken();
      }
    }
    String call = call(command);
    String outcome = answer.error() + " " + answer.revision();
    // One that came after its session's next, or outside of its session, is refused as such,
    // without effect.
    boolean past =
        answer.error() != null
            && (answer.error().is(TidebankException.StaleSequenceNumber.class)
                || answer.error().is(TidebankException.MemberUnknown.class)
                || answer.error().is(TidebankException.NameTaken.class));
    if (!past && !outcome.equals(ghosts.getOrDefault(call, outcome))) {
      wrong = call + " was answered differently when repeated";
    }
    if (!past) {
      ghosts.putIfAbsent(call, outcome);
    }
    List<Sent> answers = new ArrayList<>(world.answers);
    if (sent != null) {
      answers.add(sent);
    }
    return new Taken(
        new World(
            world.tick,
            world.term,
            after,
            world.holders,
            world.commands,
            answers,
            world.lost,
            world.disturbed,
            ghosts,
            wrong),
        answer);
  }

  /** The state with every lease over. */
  private static LeaseTable.State forgotten(LeaseTable.State state) {
    return new LeaseTable.State(
        state.config(),
        state.term(),
        state.leaderClock(),
        state.tokenFloor(),
        state.members(),
        state.tasks().stream()
            .map(
                duty ->
                    new LeaseTable.TaskLease(
                        duty.task(),
                        duty.fencingToken(),
                        duty.holder(),
                        duty.session(),
                        0,
                        duty.assignedMember(),
                        duty.stickyMember(),
                        duty.revision(),
                        duty.publishingToken(),
                        duty.value()))
            .toList(),
        state.operators());
  }

  @Override
  public String broken(World world) {
    if (world.wrong != null) {
      return world.wrong;
    }
    for (int duty = 0; duty < DUTIES.size(); duty++) {
      String name = DUTIES.get(duty);
      List<String> acting = new ArrayList<>();
      for (int i = 0; i < MEMBERS; i++) {
        long token = world.holders.get(i).tokenIfHeld(name, memberClock(world, i), 0);
        if (token > 0) {
          acting.add("m" + i + " by token " + token);
          if (token != world.book.tasks().get(duty).fencingToken()) {
            return name
                + ": "
                + acting
                + " while token "
                + world.book.tasks().get(duty).fencingToken()
                + " is granted";
          }
        }
      }
      if (acting.size() > 1) {
        return name + " has two owners: " + acting;
      }
    }
    return null;
  }

  @Override
  public String key(World world) {
    return world.tick
        + " "
        + world.term
        + world.book
        + world.holders
        + world.commands
        + world.answers.stream()
            .map(sent -> sent.session + sent.number + sent.answer)
            .collect(Collectors.joining(","))
        + world.lost
        + world.disturbed
        + mayRepeat(world);
  }

  static List<Flaw> flaws() {
    return Arrays.stream(Flaw.values()).filter(flaw -> flaw != Flaw.NONE).toList();
  }
}
