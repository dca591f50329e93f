package tidebank.testbed.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import tidebank.errors.MembershipException;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.lease.LeaseConfig;
import tidebank.lease.LeaseTableState;
import tidebank.lease.TaskLease;
import tidebank.testbed.chaos.History.RecordedCommand;
import tidebank.testbed.chaos.History.RecordedRead;

/**
 * The rules of leases that a recorded history must satisfy: the commands and reads of each task are
 * linearizable, and no task is granted while the previous holder may still consider its lease
 * valid. The check uses only the history, not the cluster. Stateless.
 */
public final class LeaseRules {
  /**
   * The part of a task's state that does not depend on time. An expired lease does not clear the
   * session of its holder; only a release or the next grant does.
   *
   * @param fencingToken fencing token of the last grant, or 0 before the first
   * @param session session of the last holder, or "" after it released the task
   * @param revision revision of the published value, or 0 before the first publication
   * @param value last published value, or ""
   */
  public record TaskState(long fencingToken, String session, long revision, String value) {
    static final TaskState INITIAL = new TaskState(0, "", 0, "");

    private boolean isHeldBy(LeaseCommand command) {
      return fencingToken == command.fencingToken() && session.equals(command.session());
    }

    private TaskState withoutHolder() {
      return new TaskState(fencingToken, "", revision, value);
    }

    private TaskState withGrantTo(String newSession) {
      return new TaskState(fencingToken + 1, newSession, revision, value);
    }

    private TaskState withPublication(String newValue) {
      return new TaskState(fencingToken, session, revision + 1, newValue);
    }

    private boolean accepts(LeaseCommand publication) {
      return isHeldBy(publication) && revision == publication.revision();
    }
  }

  private LeaseRules() {}

  /** Returns a description of each violation in a history; empty if every rule holds. */
  public static List<String> findViolations(History history, LeaseConfig config) {
    List<String> violations = new ArrayList<>(history.violations());
    TreeSet<String> tasks = new TreeSet<>();
    history.reads().forEach(read -> read.state().tasks().forEach(task -> tasks.add(task.task())));
    for (String task : tasks) {
      LinearizabilityChecker.Outcome outcome =
          LinearizabilityChecker.check(
              operationsOn(history.commands(), history.reads(), task), TaskState.INITIAL);
      if (!outcome.holds()) {
        violations.add(task + " is not linearizable: " + outcome.violation());
      }
      violations.addAll(findOverlappingGrants(history.commands(), task, config));
    }
    return violations;
  }

  // ---- linearizability

  /** Returns the commands and reads of a history that concern one task. */
  static List<LinearizabilityChecker.Operation<TaskState>> operationsOn(
      List<RecordedCommand> commands, List<RecordedRead> reads, String task) {
    List<LinearizabilityChecker.Operation<TaskState>> operations = new ArrayList<>();
    for (RecordedCommand recorded : commands) {
      UnaryOperator<TaskState> transition =
          recorded.result() == null
              ? transitionWithoutResult(recorded.command(), task)
              : transitionWithResult(recorded.command(), recorded.result(), task);
      if (transition != null) {
        operations.add(
            new LinearizabilityChecker.Operation<>(
                describe(recorded), recorded.calledAt(), recorded.returnedAt(), transition));
      }
    }
    for (RecordedRead read : reads) {
      TaskLease lease = findTask(read.state(), task);
      if (lease != null) {
        operations.add(readOperation(read, lease));
      }
    }
    return operations;
  }

  private static LinearizabilityChecker.Operation<TaskState> readOperation(
      RecordedRead read, TaskLease lease) {
    TaskState expected =
        new TaskState(lease.fencingToken(), lease.session(), lease.revision(), lease.value());
    return new LinearizabilityChecker.Operation<>(
        read.from() + " read " + expected,
        read.calledAt(),
        read.returnedAt(),
        state -> state.equals(expected) ? state : null);
  }

  private static String describe(RecordedCommand recorded) {
    LeaseCommand command = recorded.command();
    return command.member()
        + ' '
        + command.kind()
        + (command.fencingToken() == 0 ? "" : " with token " + command.fencingToken())
        + (command.kind() == Kind.PUBLISH ? " after revision " + command.revision() : "")
        + " sent at "
        + recorded.calledAt() / 1000
        + " ms: "
        + describe(recorded.result());
  }

  private static String describe(CommandResult result) {
    if (result == null) {
      return "no result";
    }
    return result.error() == null ? "succeeded, leases " + result.leases() : result.error().code();
  }

  /**
   * Returns the transition of a command without a result, which may also never have taken effect;
   * null if the command can't affect the task.
   */
  private static UnaryOperator<TaskState> transitionWithoutResult(
      LeaseCommand command, String task) {
    if (command.kind() == Kind.LEAVE) {
      return leaveTransition(command);
    }
    if (!command.task().equals(task)) {
      return null;
    }
    return switch (command.kind()) {
      case CLAIM -> state -> state.withGrantTo(command.session());
      case RELEASE -> state -> state.isHeldBy(command) ? state.withoutHolder() : state;
      case PUBLISH ->
          state -> state.accepts(command) ? state.withPublication(command.value()) : state;
      default -> null;
    };
  }

  private static UnaryOperator<TaskState> leaveTransition(LeaseCommand command) {
    return state -> state.session().equals(command.session()) ? state.withoutHolder() : state;
  }

  /**
   * Returns the transition of a command with a result. If the result lists a lease of the task, the
   * state after the command must have its fencing token and the command's session. Returns null if
   * the result implies nothing about the task.
   */
  private static UnaryOperator<TaskState> transitionWithResult(
      LeaseCommand command, CommandResult result, String task) {
    UnaryOperator<TaskState> transition = transitionWithoutGrantCheck(command, result, task);
    long token = grantedToken(result, task);
    if (token == 0) {
      return transition;
    }
    return state -> {
      TaskState after = transition == null ? state : transition.apply(state);
      return after != null
              && after.fencingToken() == token
              && after.session().equals(command.session())
          ? after
          : null;
    };
  }

  private static UnaryOperator<TaskState> transitionWithoutGrantCheck(
      LeaseCommand command, CommandResult result, String task) {
    TidebankException.Details error = result.error();
    if (command.kind() == Kind.LEAVE && error == null) {
      return leaveTransition(command);
    }
    if (!command.task().equals(task)) {
      return null;
    }
    return switch (command.kind()) {
      case CLAIM -> claimTransition(command, result, task);
      case RELEASE ->
          error == null
              ? state -> state.isHeldBy(command) ? state.withoutHolder() : null
              : rejectionTransition(command, error);
      case PUBLISH -> publishTransition(command, result);
      default -> null;
    };
  }

  private static UnaryOperator<TaskState> claimTransition(
      LeaseCommand command, CommandResult result, String task) {
    TidebankException.Details error = result.error();
    if (error == null) {
      return state -> applyClaim(state, command, grantedToken(result, task));
    }
    if (error.is(MembershipException.LeaseHeldByOther.class)) {
      return state ->
          state.session().equals(command.session()) || state.session().isEmpty() ? null : state;
    }
    return null;
  }

  /**
   * Returns the state after a successful claim: unchanged if the result repeats the claimer's
   * current grant, otherwise with a new grant. Returns null if the token fits neither.
   */
  private static TaskState applyClaim(TaskState state, LeaseCommand command, long token) {
    if (token == state.fencingToken() && state.session().equals(command.session())) {
      return state;
    }
    return token == state.fencingToken() + 1 ? state.withGrantTo(command.session()) : null;
  }

  private static UnaryOperator<TaskState> publishTransition(
      LeaseCommand command, CommandResult result) {
    TidebankException.Details error = result.error();
    if (error == null) {
      return state ->
          state.accepts(command) && result.revision() == state.revision() + 1
              ? state.withPublication(command.value())
              : null;
    }
    if (error.is(MembershipException.RevisionConflict.class)) {
      return state ->
          state.isHeldBy(command) && state.revision() != command.revision() ? state : null;
    }
    return rejectionTransition(command, error);
  }

  private static UnaryOperator<TaskState> rejectionTransition(
      LeaseCommand command, TidebankException.Details error) {
    if (error.is(MembershipException.StaleFencingToken.class)) {
      return state -> state.isHeldBy(command) ? null : state;
    }
    if (error.is(MembershipException.LeaseExpired.class)) {
      return state -> state.isHeldBy(command) ? state : null;
    }
    return null;
  }

  // ---- overlapping leases

  /**
   * Returns a description of each grant that came too early. A member whose claim or renewal was
   * sent at time c considers its lease valid until c + lease / (1 + drift) at the latest: it counts
   * lease x (1 - drift) / (1 + drift) from before it sent the command, on a clock with a rate of at
   * least 1 - drift. Until then no other member may get a result that grants it the task, unless
   * the holder released it.
   */
  static List<String> findOverlappingGrants(
      List<RecordedCommand> commands, String task, LeaseConfig config) {
    List<String> violations = new ArrayList<>();
    long maxValidityUs = (long) (config.leaseUs() / (1 + config.maxClockDrift()));
    for (RecordedCommand claim : commands) {
      long token = claim.command().kind() == Kind.CLAIM ? grantedToken(claim, task) : 0;
      if (token == 0) {
        continue;
      }
      for (RecordedCommand earlier : commands) {
        long earlierToken = extendsLease(earlier.command(), task) ? grantedToken(earlier, task) : 0;
        if (earlierToken > 0
            && earlierToken < token
            && claim.returnedAt() < earlier.calledAt() + maxValidityUs
            && !wasReleased(commands, earlier, earlierToken, task, claim.returnedAt())) {
          violations.add(describeOverlap(task, earlier, earlierToken, claim, token, maxValidityUs));
        }
      }
    }
    return violations;
  }

  private static boolean extendsLease(LeaseCommand command, String task) {
    return command.kind() == Kind.RENEW
        || (command.kind() == Kind.CLAIM && command.task().equals(task));
  }

  private static String describeOverlap(
      String task,
      RecordedCommand earlier,
      long earlierToken,
      RecordedCommand claim,
      long token,
      long maxValidityUs) {
    return task
        + ": token "
        + token
        + " of "
        + claim.command().member()
        + " was granted at "
        + claim.returnedAt() / 1000
        + " ms, but the lease with token "
        + earlierToken
        + " of "
        + earlier.command().member()
        + " is valid until "
        + (earlier.calledAt() + maxValidityUs) / 1000
        + " ms";
  }

  /** Returns whether the holder had sent a release of this grant, or a leave, before a time. */
  private static boolean wasReleased(
      List<RecordedCommand> commands,
      RecordedCommand holder,
      long token,
      String task,
      long before) {
    return commands.stream()
        .filter(recorded -> recorded.command().session().equals(holder.command().session()))
        .filter(recorded -> recorded.calledAt() < before)
        .map(RecordedCommand::command)
        .anyMatch(
            command ->
                command.kind() == Kind.LEAVE
                    || (command.kind() == Kind.RELEASE
                        && command.task().equals(task)
                        && command.fencingToken() == token));
  }

  /** Returns the fencing token of the task's lease in a successful result; 0 if there is none. */
  private static long grantedToken(RecordedCommand recorded, String task) {
    return recorded.result() == null || recorded.result().error() != null
        ? 0
        : grantedToken(recorded.result(), task);
  }

  private static long grantedToken(CommandResult result, String task) {
    return result.leases() == null
        ? 0
        : result.leases().stream()
            .filter(lease -> lease.task().equals(task))
            .mapToLong(CommandResult.Grant::fencingToken)
            .findFirst()
            .orElse(0);
  }

  /** Returns the lease of a task; null if the state is null or does not contain the task. */
  static TaskLease findTask(LeaseTableState state, String task) {
    return state == null
        ? null
        : state.tasks().stream()
            .filter(lease -> lease.task().equals(task))
            .findFirst()
            .orElse(null);
  }
}
