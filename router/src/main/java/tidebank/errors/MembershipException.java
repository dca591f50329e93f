package tidebank.errors;

import java.io.Serial;
import tidebank.errors.TidebankException.Retry;

/** Conditions of members of the fleet, their leases and what they publish under them. */
public abstract sealed class MembershipException extends TidebankException {
  @Serial private static final long serialVersionUID = 1L;

  private MembershipException(String message) {
    super(message);
  }

  /** No duty of this name is configured. */
  @ErrorCondition(
      code = "TB-1001",
      retry = Retry.NO,
      advice =
          "Compare the name with those under duties.names in deploy/steward.toml; add it there and"
              + " restart the stewards one after the other.")
  public static final class TaskNotFound extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public TaskNotFound(String duty) {
      super("no duty is called '" + duty + "'");
    }
  }

  /** Another member holds the lease of the duty. */
  @ErrorCondition(
      code = "TB-1002",
      retry = Retry.LATER,
      advice =
          "Nothing needs doing: an owner that has gone loses the duty when its lease ends. tidebank"
              + " fleet duties shows who holds it.")
  public static final class LeaseHeldByOther extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public LeaseHeldByOther(String duty, String owner, long remainingUs) {
      super(
          "duty '"
              + duty
              + "' is held by "
              + owner
              + " for up to "
              + remainingUs / 1000
              + " ms more");
    }
  }

  /** The duty is assigned to another member. */
  @ErrorCondition(
      code = "TB-1003",
      retry = Retry.NO,
      advice =
          "Nothing needs doing where a duty was moved. To have it at a member of your choice:"
              + " tidebank fleet move DUTY --to NAME.")
  public static final class TaskAssignedElsewhere extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public TaskAssignedElsewhere(String duty, String wanted, String asker) {
      super(
          "duty '"
              + duty
              + "' is meant for "
              + (wanted.isEmpty() ? "nobody" : wanted)
              + ", not for "
              + asker);
    }
  }

  /** The fencing token is not the current one of the duty. */
  @ErrorCondition(
      code = "TB-1004",
      retry = Retry.NO,
      advice =
          "Nothing needs doing: a successor is at work, and what the old owner wanted to do was"
              + " kept from taking effect. If it comes often, see why owners stall: their log,"
              + " their processor share.")
  public static final class StaleFencingToken extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public StaleFencingToken(String duty, long given, long current) {
      super("token " + given + " of duty '" + duty + "' is not the current one, " + current);
    }
  }

  /** The lease under this token has expired. */
  @ErrorCondition(
      code = "TB-1005",
      retry = Retry.LATER,
      advice =
          "Nothing needs doing: the duty is claimed anew with a new token. If it comes often,"
              + " renewals take longer than the lease: raise lease.ms in deploy/steward.toml, or"
              + " see what slows the stewards.")
  public static final class LeaseExpired extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public LeaseExpired(String duty, long token) {
      super("the lease of duty '" + duty + "' under token " + token + " is over");
    }
  }

  /** Another live process is a member under the same name. */
  @ErrorCondition(
      code = "TB-1006",
      retry = Retry.LATER,
      advice =
          "A member that was restarted gets its name once the old process's lease has ended. If it"
              + " lasts, two processes run under one name: give one of them another NODE_NAME.")
  public static final class NameTaken extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public NameTaken(String name, long remainingUs) {
      super(
          "another process is member under the name '"
              + name
              + "', for "
              + remainingUs / 1000
              + " ms more at least");
    }
  }

  /** The member is not registered, or its session was replaced. */
  @ErrorCondition(
      code = "TB-1007",
      retry = Retry.LATER,
      advice =
          "Nothing needs doing: the member joins again. If it comes often, its calls take longer"
              + " than the lease: see its log and the way between it and the stewards.")
  public static final class MemberUnknown extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public MemberUnknown(String name) {
      super("'" + name + "' is no member, or its session was replaced");
    }
  }

  /** An operator retired the member. */
  @ErrorCondition(
      code = "TB-1008",
      retry = Retry.NO,
      advice =
          "The name was retired by an operator. Start the process under another NODE_NAME, or stop"
              + " it.")
  public static final class MemberRetired extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public MemberRetired(String name) {
      super("'" + name + "' has been retired");
    }
  }

  /** The configured limit of members is reached. */
  @ErrorCondition(
      code = "TB-1009",
      retry = Retry.LATER,
      advice =
          "Raise limits.members in deploy/steward.toml and restart the stewards one after the"
              + " other. Names that fell silent make room by themselves, retired ones do not.")
  public static final class MemberLimitReached extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public MemberLimitReached(int maxMembers) {
      super("there are " + maxMembers + " members, as many as may be");
    }
  }

  /** A call of a session arrived after a newer one of the same session. */
  @ErrorCondition(
      code = "TB-1010",
      retry = Retry.NO,
      advice =
          "An older call of a session came after a newer one. If it is not a late copy, two"
              + " processes share a session: restart one.")
  public static final class StaleSequenceNumber extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public StaleSequenceNumber(String session, long number, long last) {
      super("call " + number + " of session " + session + " came after call " + last);
    }
  }

  /** A conditional write named a revision that is no longer current. */
  @ErrorCondition(
      code = "TB-1011",
      retry = Retry.NO,
      advice =
          "Read what is published now, and decide again: tidebank fleet duties --json shows"
              + " revision and value.")
  public static final class RevisionConflict extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public RevisionConflict(String duty, long given, long current) {
      super(
          "what is published under duty '"
              + duty
              + "' is at revision "
              + current
              + ", not "
              + given);
    }
  }

  /** A field is longer than allowed. */
  @ErrorCondition(
      code = "TB-1012",
      retry = Retry.NO,
      advice =
          "Shorten what is published: it is to name a file of the fleet's folder, not to hold it.")
  public static final class ValueTooLarge extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public ValueTooLarge(String field, int length, int maxLength) {
      super(
          "field '" + field + "' has " + length + " characters, " + maxLength + " at most may be");
    }
  }

  /** The name is not allowed for a member. */
  @ErrorCondition(
      code = "TB-1013",
      retry = Retry.NO,
      advice =
          "Give the gatherer a NODE_NAME of letters, digits, and . _ - within, as a file of the"
              + " fleet's folder is named after it.")
  public static final class InvalidName extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public InvalidName(String name) {
      super("'" + name + "' can't be a member's name");
    }
  }

  /** A command names a member that does not exist. */
  @ErrorCondition(
      code = "TB-1015",
      retry = Retry.NO,
      advice = "Compare the name with those that tidebank fleet members lists.")
  public static final class MemberNotFound extends MembershipException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public MemberNotFound(String name) {
      super("no member is called '" + name + "'");
    }
  }
}
