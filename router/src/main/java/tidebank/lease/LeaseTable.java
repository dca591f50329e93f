package tidebank.lease;

import java.util.List;
import tidebank.errors.MembershipException;
import tidebank.errors.TidebankException;

/**
 * The coordinator's table of members, singleton tasks and their leases. It is a deterministic state
 * machine: the same commands in the same order give the same results and the same state. The leader
 * stamps each command with its term and with the time of its monotonic clock, in microseconds.
 */
public class LeaseTable {
  private final GrantRules rules;
  private final MemberTable members;
  private final TaskLeaseTable tasks;
  private final OperatorSessions operators = new OperatorSessions();
  private LeaseConfig config;
  private long term;
  private long leaderClock;

  /** Creates an empty table. */
  public LeaseTable(LeaseConfig config) {
    this(config, new GrantRules());
  }

  /** Creates a table from a stored state. */
  public LeaseTable(LeaseTableState state) {
    this(state, new GrantRules());
  }

  LeaseTable(LeaseTableState state, GrantRules rules) {
    this(state.config(), rules);
    term = state.term();
    leaderClock = state.leaderClock();
    members.restore(state.members());
    tasks.restore(state.tasks(), state.tokenFloor());
    operators.restore(state.operators());
  }

  private LeaseTable(LeaseConfig config, GrantRules rules) {
    this.config = config;
    this.rules = rules;
    members = new MemberTable(rules);
    tasks = new TaskLeaseTable(rules);
  }

  /** Returns the whole state. */
  public LeaseTableState state() {
    return new LeaseTableState(
        config,
        term,
        leaderClock,
        tasks.fencingTokenFloor(),
        members.all(),
        tasks.all(),
        operators.all());
  }

  /**
   * Applies a command and returns its result. A repeated command gets the result of the first one
   * and has no effect.
   *
   * @param commandTerm the term of the leader that stamped the command
   * @param clock the time of that leader's monotonic clock, in microseconds
   */
  public CommandResult apply(long commandTerm, long clock, LeaseCommand command) {
    if (commandTerm > term) {
      startTerm(commandTerm, clock);
    }
    leaderClock = Math.max(leaderClock, clock);
    LastCommand last = lastCommand(command);
    if (last.sequence() > 0 && rules.isDuplicate(command.sequence(), last.sequence())) {
      return last.result();
    }
    CommandResult result = execute(command, last.sequence());
    recordResult(command, result);
    return result;
  }

  /**
   * Adjusts all times to the clock of a new leader, which is unrelated to the previous leader's.
   */
  protected void startTerm(long newTerm, long newClock) {
    members.startTerm(leaderClock, newClock, config);
    tasks.startTerm(leaderClock, newClock, config);
    term = newTerm;
    leaderClock = newClock;
  }

  // ---- duplicate detection

  /** The last command of a session, with sequence number 0 if there was none. */
  private record LastCommand(long sequence, CommandResult result) {}

  private LastCommand lastCommand(LeaseCommand command) {
    if (command.sentByMember()) {
      Member member = members.find(command.member());
      return member != null && member.isJoinedBy(command.session())
          ? new LastCommand(member.lastSequence(), member.lastResult())
          : new LastCommand(0, null);
    }
    OperatorSession operator = operators.find(command.session());
    return operator == null
        ? new LastCommand(0, null)
        : new LastCommand(operator.lastSequence(), operator.lastResult());
  }

  private void recordResult(LeaseCommand command, CommandResult result) {
    if (!command.sentByMember()) {
      operators.recordResult(command, result);
      return;
    }
    Member member = members.find(command.member());
    if (member != null
        && member.isJoinedBy(command.session())
        && command.sequence() > member.lastSequence()) {
      members.recordResult(member, command.sequence(), result);
    }
  }

  // ---- execution

  private CommandResult execute(LeaseCommand command, long lastSequence) {
    TidebankException.Details error = null;
    long revision = 0;
    try {
      if (command.sequence() < lastSequence) {
        throw new MembershipException.StaleSequenceNumber(
            command.session(), command.sequence(), lastSequence);
      }
      revision = command.sentByMember() ? executeForMember(command) : executeForOperator(command);
    } catch (TidebankException exception) {
      error = exception.details();
    }
    assignTasks();
    return new CommandResult(
        error,
        tasks.grantsOf(command.session(), leaderClock),
        command.sentByMember() ? tasks.claimableTasks(command, leaderClock) : List.of(),
        config,
        revision);
  }

  /** Executes a member's command and returns the revision that it published, or 0. */
  private long executeForMember(LeaseCommand command) throws TidebankException {
    if (command.kind() == LeaseCommand.Kind.JOIN) {
      members.join(command, leaderClock, config);
      return 0;
    }
    Member sender = members.requireSender(command);
    switch (command.kind()) {
      case RENEW -> {
        long expiresAt = leaderClock + config.leaseUs();
        members.renew(sender, expiresAt);
        tasks.renewAll(command.session(), leaderClock, expiresAt);
      }
      case LEAVE -> {
        members.leave(sender, leaderClock);
        tasks.releaseAll(command.session());
      }
      case CLAIM -> {
        assignTasks();
        tasks.claim(command, leaderClock, config);
      }
      case RELEASE -> tasks.release(command, leaderClock);
      case PUBLISH -> {
        return tasks.publish(command, leaderClock, config);
      }
      default -> throw new IllegalStateException("not a member's command: " + command.kind());
    }
    return 0;
  }

  /** Executes a command of an operator or a leader and returns 0, as it publishes nothing. */
  private long executeForOperator(LeaseCommand command) throws TidebankException {
    switch (command.kind()) {
      case MOVE -> {
        TaskLease lease = tasks.requireTask(command.task());
        if (!command.member().isEmpty()) {
          members.requireNamed(command.member());
        }
        tasks.setStickyMember(lease, command.member());
      }
      case DRAIN -> members.setDraining(members.requireNamed(command.member()), true);
      case ADMIT -> members.setDraining(members.requireNamed(command.member()), false);
      case RETIRE -> members.retire(members.requireNamed(command.member()));
      case PLAN -> {
        config = command.plan().config();
        tasks.setTasks(command.plan().tasks(), leaderClock);
      }
      default -> throw new IllegalStateException("not an operator's command: " + command.kind());
    }
    return 0;
  }

  private void assignTasks() {
    tasks.assign(members.eligibleNames(leaderClock), leaderClock);
  }
}
