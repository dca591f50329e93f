package tidebank.testbed.chaos;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;
import java.util.function.UnaryOperator;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.lease.LeaseConfig;
import tidebank.lease.LeaseTable;
import tidebank.testbed.chaos.History.Asked;
import tidebank.testbed.chaos.History.Read;

/**
 * What must hold for a duty, whatever happened, judged from a history alone: its commands and reads
 * are linearizable, and nobody is granted it before the lease of the one before can be over.
 */
public final class LeaseRules {
  /**
   * A duty as far as it does not depend on time. The owner stays named after its lease ended, until
   * another claims.
   */
  public record Cell(long token, String session, long revision, String value) {
    static final Cell NEW = new Cell(0, "", 0, "");

    private boolean by(LeaseCommand command) {
      return token == command.fencingToken() && session.equals(command.session());
    }

    private Cell let() {
      return new Cell(token, "", revision, value);
    }
  }

  private LeaseRules() {}

  /** All that is wrong; empty if nothing is. */
  public static List<String> broken(History history, LeaseConfig terms) {
    List<String> broken = new ArrayList<>(history.faults());
    TreeSet<String> duties = new TreeSet<>();
    history.reads().forEach(read -> read.state().tasks().forEach(duty -> duties.add(duty.task())));
    for (String duty : duties) {
      LinearizabilityChecker.Outcome outcome =
          LinearizabilityChecker.check(
              operations(history.asked(), history.reads(), duty), Cell.NEW);
      if (!outcome.holds()) {
        broken.add(duty + " is not linearizable: " + outcome.fault());
      }
      broken.addAll(early(history.asked(), duty, terms));
    }
    return broken;
  }

  /** What the history says of one duty. */
  static List<LinearizabilityChecker.Operation<Cell>> operations(
      List<Asked> asked, List<Read> reads, String duty) {
    List<LinearizabilityChecker.Operation<Cell>> operations = new ArrayList<>();
    for (Asked one : asked) {
      UnaryOperator<Cell> step =
          one.answer() == null
              ? unheard(one.command(), duty)
              : answered(one.command(), one.answer(), duty);
      if (step != null) {
        operations.add(
            new LinearizabilityChecker.Operation<>(said(one), one.call(), one.back(), step));
      }
    }
    for (Read read : reads) {
      read.state().tasks().stream()
          .filter(cell -> cell.task().equals(duty))
          .findFirst()
          .ifPresent(
              told -> {
                Cell cell =
                    new Cell(told.fencingToken(), told.session(), told.revision(), told.value());
                operations.add(
                    new LinearizabilityChecker.Operation<>(
                        read.from() + " read " + cell,
                        read.call(),
                        read.back(),
                        now -> now.equals(cell) ? now : null));
              });
    }
    return operations;
  }

  private static String said(Asked one) {
    LeaseCommand command = one.command();
    return command.member()
        + ' '
        + command.kind()
        + (command.fencingToken() == 0 ? "" : " by " + command.fencingToken())
        + (command.kind() == Kind.PUBLISH ? " after " + command.revision() : "")
        + " at "
        + one.call() / 1000
        + " ms: "
        + (one.answer() == null
            ? "no answer"
            : one.answer().error() == null
                ? "done, owns " + one.answer().leases()
                : one.answer().error().code());
  }

  /**
   * One that nobody knows the outcome of: where it fits it may have had its effect. Null if it has
   * none on the duty.
   */
  private static UnaryOperator<Cell> unheard(LeaseCommand command, String duty) {
    boolean about = command.task().equals(duty);
    if (command.kind() == Kind.LEAVE) {
      return now -> now.session().equals(command.session()) ? now.let() : now;
    } else if (about && command.kind() == Kind.CLAIM) {
      return now -> new Cell(now.token() + 1, command.session(), now.revision(), now.value());
    } else if (about && command.kind() == Kind.RELEASE) {
      return now -> now.by(command) ? now.let() : now;
    } else if (about && command.kind() == Kind.PUBLISH) {
      return now ->
          now.by(command) && now.revision() == command.revision()
              ? new Cell(now.token(), now.session(), now.revision() + 1, command.value())
              : now;
    }
    return null;
  }

  /** One with its answer. Null if the answer says nothing of the duty. */
  private static UnaryOperator<Cell> answered(
      LeaseCommand command, CommandResult answer, String duty) {
    UnaryOperator<Cell> step = effect(command, answer, duty);
    CommandResult.Grant grant =
        answer.leases() == null
            ? null
            : answer.leases().stream()
                .filter(one -> one.task().equals(duty))
                .findFirst()
                .orElse(null);
    if (grant == null) {
      return step;
    }
    return now -> {
      Cell after = step == null ? now : step.apply(now);
      return after != null
              && after.token() == grant.fencingToken()
              && after.session().equals(command.session())
          ? after
          : null;
    };
  }

  private static UnaryOperator<Cell> effect(
      LeaseCommand command, CommandResult answer, String duty) {
    TidebankException.Details fault = answer.error();
    if (command.kind() == Kind.LEAVE && fault == null) {
      return now -> now.session().equals(command.session()) ? now.let() : now;
    }
    if (!command.task().equals(duty)) {
      return null;
    }
    return switch (command.kind()) {
      case CLAIM ->
          fault == null
              ? now -> claimed(now, command, answer, duty)
              : fault.is(TidebankException.LeaseHeldByOther.class)
                  ? now ->
                      now.session().equals(command.session()) || now.session().isEmpty()
                          ? null
                          : now
                  : null;
      case RELEASE ->
          fault == null ? now -> now.by(command) ? now.let() : null : refused(command, fault);
      case PUBLISH ->
          fault == null
              ? now ->
                  now.by(command)
                          && now.revision() == command.revision()
                          && answer.revision() == now.revision() + 1
                      ? new Cell(now.token(), now.session(), now.revision() + 1, command.value())
                      : null
              : fault.is(TidebankException.RevisionConflict.class)
                  ? now -> now.by(command) && now.revision() != command.revision() ? now : null
                  : refused(command, fault);
      default -> null;
    };
  }

  private static Cell claimed(Cell now, LeaseCommand command, CommandResult answer, String duty) {
    long token =
        answer.leases().stream()
            .filter(grant -> grant.task().equals(duty))
            .mapToLong(CommandResult.Grant::fencingToken)
            .findFirst()
            .orElse(-1);
    boolean again = token == now.token() && now.session().equals(command.session());
    return again
        ? now
        : token == now.token() + 1
            ? new Cell(token, command.session(), now.revision(), now.value())
            : null;
  }

  private static UnaryOperator<Cell> refused(
      LeaseCommand command, TidebankException.Details fault) {
    return fault.is(TidebankException.StaleFencingToken.class)
        ? now -> now.by(command) ? null : now
        : fault.is(TidebankException.LeaseExpired.class)
            ? now -> now.by(command) ? now : null
            : null;
  }

  /**
   * Grants that came too early. A claim or renewal that was called at c leaves its owner believing
   * until c + lease / (1 + drift) at the most: it counts lease x (1 - drift) / (1 + drift) from
   * before, by a clock that is 1 - drift slow at the worst. No successor may have its answer
   * before, unless the owner let go.
   */
  static List<String> early(List<Asked> asked, String duty, LeaseConfig terms) {
    List<String> early = new ArrayList<>();
    long lasts = (long) (terms.leaseUs() / (1 + terms.maxClockDrift()));
    for (Asked next : asked) {
      long token = next.command().kind() == Kind.CLAIM ? granted(next, duty) : 0;
      for (Asked before : token == 0 ? List.<Asked>of() : asked) {
        boolean sets =
            before.command().kind() == Kind.RENEW
                || before.command().kind() == Kind.CLAIM && before.command().task().equals(duty);
        long held = sets ? granted(before, duty) : 0;
        if (held > 0
            && held < token
            && next.back() < before.call() + lasts
            && !let(asked, before, held, duty, next.back())) {
          early.add(
              duty
                  + ": token "
                  + token
                  + " of "
                  + next.command().member()
                  + " was granted at "
                  + next.back() / 1000
                  + " ms, the lease of token "
                  + held
                  + " of "
                  + before.command().member()
                  + " lasts to "
                  + (before.call() + lasts) / 1000
                  + " ms");
        }
      }
    }
    return early;
  }

  private static long granted(Asked one, String duty) {
    return one.answer() == null || one.answer().error() != null || one.answer().leases() == null
        ? 0
        : one.answer().leases().stream()
            .filter(grant -> grant.task().equals(duty))
            .mapToLong(CommandResult.Grant::fencingToken)
            .findFirst()
            .orElse(0);
  }

  private static boolean let(List<Asked> asked, Asked owner, long token, String duty, long until) {
    return asked.stream()
        .anyMatch(
            one ->
                one.command().session().equals(owner.command().session())
                    && one.call() < until
                    && (one.command().kind() == Kind.LEAVE
                        || one.command().kind() == Kind.RELEASE
                            && one.command().task().equals(duty)
                            && one.command().fencingToken() == token));
  }

  /** A duty in a state, if it is there. */
  static LeaseTable.TaskLease duty(LeaseTable.State state, String name) {
    return state == null
        ? null
        : state.tasks().stream().filter(duty -> duty.task().equals(name)).findFirst().orElse(null);
  }
}
