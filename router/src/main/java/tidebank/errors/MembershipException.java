package tidebank.errors;

import java.io.Serial;
import tidebank.errors.TidebankException.Retry;

/** Error conditions of fleet members, their leases and the values that they publish. */
public abstract sealed class MembershipException extends TidebankException {
  @Serial private static final long serialVersionUID = 1L;

  private MembershipException(String message) {
    super(message);
  }

  /** No singleton task with this name is configured. */
  @ErrorCondition(
      code = "TB-1001",
      retry = Retry.NO,
      advice =
          "Compare the name with duties.names in deploy/steward.toml. To add a task, add"
              + " its name there and restart the coordinators one at a time.")
  public static final class TaskNotFound extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public TaskNotFound(String task) {
      super("no singleton task is named '" + task + "'");
    }
  }

  /** Another member holds the lease of the singleton task. */
  @ErrorCondition(
      code = "TB-1002",
      retry = Retry.LATER,
      advice =
          "No action is needed: a member that stops loses the lease when it expires."
              + " tidebank fleet duties shows the holder of each task.")
  public static final class LeaseHeldByOther extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public LeaseHeldByOther(String task, String holder, long remainingUs) {
      super(
          "singleton task '"
              + task
              + "' is held by "
              + holder
              + " for up to "
              + remainingUs / 1000
              + " ms more");
    }
  }

  /** The singleton task is assigned to another member, or to none. */
  @ErrorCondition(
      code = "TB-1003",
      retry = Retry.NO,
      advice =
          "No action is needed if the task was moved. To assign it to a member of your"
              + " choice: tidebank fleet move DUTY --to NAME.")
  public static final class TaskAssignedElsewhere extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public TaskAssignedElsewhere(String task, String assignedMember, String requester) {
      super(
          "singleton task '"
              + task
              + "' is assigned to "
              + (assignedMember.isEmpty() ? "no member" : assignedMember)
              + ", not to "
              + requester);
    }
  }

  /** A command has an old fencing token or comes from a session that was not granted the lease. */
  @ErrorCondition(
      code = "TB-1004",
      retry = Retry.NO,
      advice =
          "No action is needed: another member has taken over the task, and the request of"
              + " the previous holder had no effect. If it happens often, find out why holders"
              + " stall: check their logs and their share of the CPU.")
  public static final class StaleFencingToken extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public StaleFencingToken(String task, long givenToken, long currentToken) {
      super(
          "fencing token "
              + givenToken
              + " of singleton task '"
              + task
              + "' is not valid for this session; the current token is "
              + currentToken);
    }
  }

  /** The lease with this fencing token has expired or was released. */
  @ErrorCondition(
      code = "TB-1005",
      retry = Retry.LATER,
      advice =
          "No action is needed: the task is claimed again with a new fencing token. If it"
              + " happens often, renewals take longer than the lease: raise lease.ms in"
              + " deploy/steward.toml, or find out what slows the coordinators down.")
  public static final class LeaseExpired extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public LeaseExpired(String task, long fencingToken) {
      super(
          "the lease of singleton task '"
              + task
              + "' with fencing token "
              + fencingToken
              + " has expired or was released");
    }
  }

  /** Another process is a member under the same name, and its lease has not expired. */
  @ErrorCondition(
      code = "TB-1006",
      retry = Retry.LATER,
      advice =
          "A restarted member gets its name back when the lease of its old process has"
              + " expired. If the error persists, two processes use the same name: give one of"
              + " them another NODE_NAME.")
  public static final class NameTaken extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public NameTaken(String name, long remainingUs) {
      super(
          "another process is a member under the name '"
              + name
              + "' for at least "
              + remainingUs / 1000
              + " ms more");
    }
  }

  /** The member is not registered, or its session was replaced. */
  @ErrorCondition(
      code = "TB-1007",
      retry = Retry.LATER,
      advice =
          "No action is needed: the member joins again. If it happens often, its requests"
              + " take longer than the lease: check its log and the network between it and the"
              + " coordinators.")
  public static final class MemberUnknown extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public MemberUnknown(String name) {
      super("'" + name + "' is not a member, or its session was replaced");
    }
  }

  /** An operator retired the member. */
  @ErrorCondition(
      code = "TB-1008",
      retry = Retry.NO,
      advice =
          "An operator retired the name. Start the process under another NODE_NAME, or stop"
              + " it.")
  public static final class MemberRetired extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public MemberRetired(String name) {
      super("member '" + name + "' has been retired");
    }
  }

  /** The configured maximum number of members is reached. */
  @ErrorCondition(
      code = "TB-1009",
      retry = Retry.LATER,
      advice =
          "Raise limits.members in deploy/steward.toml and restart the coordinators one at"
              + " a time. Expired members are removed to make room; retired members are not.")
  public static final class MemberLimitReached extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public MemberLimitReached(int maxMembers) {
      super("the maximum number of members, " + maxMembers + ", is reached");
    }
  }

  /** A command of a session arrived after a newer one of the same session. */
  @ErrorCondition(
      code = "TB-1010",
      retry = Retry.NO,
      advice =
          "An older command of a session arrived after a newer one. If it is not a delayed"
              + " duplicate, two processes share a session: restart one of them.")
  public static final class StaleSequenceNumber extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public StaleSequenceNumber(String session, long sequence, long lastSequence) {
      super(
          "command "
              + sequence
              + " of session "
              + session
              + " arrived after command "
              + lastSequence);
    }
  }

  /** A conditional write named a revision other than the current one. */
  @ErrorCondition(
      code = "TB-1011",
      retry = Retry.NO,
      advice =
          "Read the published value and decide again: tidebank fleet duties --json shows"
              + " the revision and the value.")
  public static final class RevisionConflict extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public RevisionConflict(String task, long givenRevision, long currentRevision) {
      super(
          "the published value of singleton task '"
              + task
              + "' is at revision "
              + currentRevision
              + ", not "
              + givenRevision);
    }
  }

  /** A field of a command is longer than allowed. */
  @ErrorCondition(
      code = "TB-1012",
      retry = Retry.NO,
      advice =
          "Shorten the field. A published value should be the name of a file in the shared"
              + " folder, not its content.")
  public static final class ValueTooLarge extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public ValueTooLarge(String field, int length, int maxLength) {
      super("field '" + field + "' has " + length + " characters; the maximum is " + maxLength);
    }
  }

  /** The name of a member contains characters that are not allowed. */
  @ErrorCondition(
      code = "TB-1013",
      retry = Retry.NO,
      advice =
          "Give the router a NODE_NAME that starts with a letter or digit and contains only"
              + " letters, digits, and . _ -, because a file in the shared folder is named"
              + " after it.")
  public static final class InvalidName extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public InvalidName(String name) {
      super("'" + name + "' is not a valid member name");
    }
  }

  /** An operator's command names a member that does not exist. */
  @ErrorCondition(
      code = "TB-1015",
      retry = Retry.NO,
      advice = "Compare the name with the list that tidebank fleet members shows.")
  public static final class MemberNotFound extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public MemberNotFound(String name) {
      super("no member is named '" + name + "'");
    }
  }
}
