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
 * The rules of leases, checked on a history alone: commands and reads of each task are
 * linearizable, and no task is granted before the lease of the previous holder can be over. Pure.
 */
public final class LeaseRules {
  /**
   * The state of a task as far as it does not depend on time. The holder stays named after its
   * lease has ended, until another member claims the task.
   *
   * @param fencingToken of the last grant
   * @param session of the holder, or "" after it released the task
   * @param revision of what is published
   * @param value that is published
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

  /** Returns all violations in a history; empty if every rule holds. */
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

  /** Returns the operations of a history on one task. */
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
    TaskState state =
        new TaskState(lease.fencingToken(), lease.session(), lease.revision(), lease.value());
    return new LinearizabilityChecker.Operation<>(
        read.from() + " read " + state,
        read.calledAt(),
        read.returnedAt(),
        now -> now.equals(state) ? now : null);
  }

  private static String describe(RecordedCommand recorded) {
    LeaseCommand command = recorded.command();
    return command.member()
        + ' '
        + command.kind()
        + (command.fencingToken() == 0 ? "" : " by " + command.fencingToken())
        + (command.kind() == Kind.PUBLISH ? " after " + command.revision() : "")
        + " at "
        + recorded.calledAt() / 1000
        + " ms: "
        + describe(recorded.result());
  }

  private static String describe(CommandResult result) {
    if (result == null) {
      return "no answer";
    }
    return result.error() == null ? "done, owns " + result.leases() : result.error().code();
  }

  /**
   * Returns the effect that a command without a result may have had, wherever it fits; null if it
   * has none on the task.
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
      case CLAIM -> now -> now.withGrantTo(command.session());
      case RELEASE -> now -> now.isHeldBy(command) ? now.withoutHolder() : now;
      case PUBLISH -> now -> now.accepts(command) ? now.withPublication(command.value()) : now;
      default -> null;
    };
  }

  private static UnaryOperator<TaskState> leaveTransition(LeaseCommand command) {
    return now -> now.session().equals(command.session()) ? now.withoutHolder() : now;
  }

  /**
   * Returns the effect of a command, after which the task must be as the leases in its result say;
   * null if the result says nothing of the task.
   */
  private static UnaryOperator<TaskState> transitionWithResult(
      LeaseCommand command, CommandResult result, String task) {
    UnaryOperator<TaskState> effect = transitionWithoutGrantCheck(command, result, task);
    long token = grantedToken(result, task);
    if (token == 0) {
      return effect;
    }
    return now -> {
      TaskState after = effect == null ? now : effect.apply(now);
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
              ? now -> now.isHeldBy(command) ? now.withoutHolder() : null
              : rejectionTransition(command, error);
      case PUBLISH -> publishTransition(command, result);
      default -> null;
    };
  }

  private static UnaryOperator<TaskState> claimTransition(
      LeaseCommand command, CommandResult result, String task) {
    TidebankException.Details error = result.error();
    if (error == null) {
      return now -> applyClaim(now, command, grantedToken(result, task));
    }
    if (error.is(MembershipException.LeaseHeldByOther.class)) {
      return now -> now.session().equals(command.session()) || now.session().isEmpty() ? null : now;
    }
    return null;
  }

  private static TaskState applyClaim(TaskState now, LeaseCommand command, long token) {
    if (token == now.fencingToken() && now.session().equals(command.session())) {
      return now;
    }
    return token == now.fencingToken() + 1 ? now.withGrantTo(command.session()) : null;
  }

  private static UnaryOperator<TaskState> publishTransition(
      LeaseCommand command, CommandResult result) {
    TidebankException.Details error = result.error();
    if (error == null) {
      return now ->
          now.accepts(command) && result.revision() == now.revision() + 1
              ? now.withPublication(command.value())
              : null;
    }
    if (error.is(MembershipException.RevisionConflict.class)) {
      return now -> now.isHeldBy(command) && now.revision() != command.revision() ? now : null;
    }
    return rejectionTransition(command, error);
  }

  private static UnaryOperator<TaskState> rejectionTransition(
      LeaseCommand command, TidebankException.Details error) {
    if (error.is(MembershipException.StaleFencingToken.class)) {
      return now -> now.isHeldBy(command) ? null : now;
    }
    if (error.is(MembershipException.LeaseExpired.class)) {
      return now -> now.isHeldBy(command) ? now : null;
    }
    return null;
  }

  // ---- leases that must not overlap

  /**
   * Returns the grants that came too early. A claim or renewal that was called at c lets its holder
   * believe in its lease until c + lease / (1 + drift) at the latest: it counts lease x (1 - drift)
   * / (1 + drift) from before, by a clock that is 1 - drift slow at the worst. No successor may
   * have its result before, unless the holder released the task.
   */
  static List<String> findOverlappingGrants(
      List<RecordedCommand> commands, String task, LeaseConfig config) {
    List<String> violations = new ArrayList<>();
    long leaseUs = (long) (config.leaseUs() / (1 + config.maxClockDrift()));
    for (RecordedCommand next : commands) {
      long token = next.command().kind() == Kind.CLAIM ? grantedToken(next, task) : 0;
      if (token == 0) {
        continue;
      }
      for (RecordedCommand before : commands) {
        long held = extendsLease(before.command(), task) ? grantedToken(before, task) : 0;
        if (held > 0
            && held < token
            && next.returnedAt() < before.calledAt() + leaseUs
            && !wasReleased(commands, before, held, task, next.returnedAt())) {
          violations.add(describeOverlap(task, before, held, next, token, leaseUs));
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
      RecordedCommand before,
      long held,
      RecordedCommand next,
      long token,
      long leaseUs) {
    return task
        + ": token "
        + token
        + " of "
        + next.command().member()
        + " was granted at "
        + next.returnedAt() / 1000
        + " ms, the lease of token "
        + held
        + " of "
        + before.command().member()
        + " lasts to "
        + (before.calledAt() + leaseUs) / 1000
        + " ms";
  }

  private static boolean wasReleased(
      List<RecordedCommand> commands, RecordedCommand holder, long token, String task, long until) {
    return commands.stream()
        .filter(one -> one.command().session().equals(holder.command().session()))
        .filter(one -> one.calledAt() < until)
        .map(RecordedCommand::command)
        .anyMatch(
            command ->
                command.kind() == Kind.LEAVE
                    || (command.kind() == Kind.RELEASE
                        && command.task().equals(task)
                        && command.fencingToken() == token));
  }

  /** Returns the token by which a successful command left its sender the task, or 0. */
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

  /** Returns a task in a state; null if the state is null or has no such task. */
  static TaskLease findTask(LeaseTableState state, String task) {
    return state == null
        ? null
        : state.tasks().stream()
            .filter(lease -> lease.task().equals(task))
            .findFirst()
            .orElse(null);
  }
}
