package tidebank.errors;

import java.io.IOException;
import java.io.Serial;
import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/**
 * What can go wrong, each condition a type of its own: a code that stays, what happened with the
 * values involved (the message), whether trying again can help, and what an operator can do. {@code
 * docs/errors.md} has an entry for each, and a test holds the two to each other.
 */
public abstract sealed class TidebankException extends IOException {
  @Serial private static final long serialVersionUID = 1L;

  /** Whether the same call may go through without anybody's doing. */
  public enum Retry {
    NO,
    LATER,
    ELSEWHERE
  }

  /** What is the same for every case of a condition. */
  @Retention(RetentionPolicy.RUNTIME)
  @Target(ElementType.TYPE)
  public @interface Entry {
    String code();

    Retry retry();

    /** What an operator can do: a command, a key, a file or a limit. */
    String advice();
  }

  /** A fault as it is told over a wire, where only its fields are left of it. */
  public record Details(String code, String message, Retry retry, String advice) {
    public boolean is(Class<? extends TidebankException> type) {
      return type.getAnnotation(Entry.class).code().equals(code);
    }

    /** For people, one line a field. */
    public String lines() {
      String retryAdvice =
          switch (retry) {
            case NO -> "does not help";
            case LATER -> "later may help";
            case ELSEWHERE -> "elsewhere may help";
          };
      return "tidebank: "
          + code
          + ": "
          + message
          + "\n  trying again: "
          + retryAdvice
          + "\n  what to do: "
          + advice;
    }
  }

  protected TidebankException(String what) {
    super(what);
  }

  /** A fault that was told over a wire, as it was told there. */
  public static final class RequestRejected extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;
    private final transient Details told;

    public RequestRejected(Details told) {
      super(told.message());
      this.told = told;
    }

    @Override
    public Details details() {
      return told;
    }
  }

  public Details details() {
    Entry entry = getClass().getAnnotation(Entry.class);
    return new Details(entry.code(), getMessage(), entry.retry(), entry.advice());
  }

  /** The entry of a code, if there is such a condition. */
  public static Optional<Entry> entry(String code) {
    return entries().stream().filter(entry -> entry.code().equals(code)).findFirst();
  }

  /** All conditions there are, but for {@link RequestRejected}, which stands for any. */
  public static List<Entry> entries() {
    return Arrays.stream(TidebankException.class.getPermittedSubclasses())
        .filter(type -> type != RequestRejected.class)
        .map(type -> type.getAnnotation(Entry.class))
        .toList();
  }

  // ---- members and duties

  /** No duty of this name is configured. */
  @Entry(
      code = "TB-1001",
      retry = Retry.NO,
      advice =
          "Compare the name with those under duties.names in deploy/steward.toml; add it there and"
              + " restart the stewards one after the other.")
  public static final class TaskNotFound extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public TaskNotFound(String duty) {
      super("no duty is called '" + duty + "'");
    }
  }

  /** Another member holds the lease of the duty. */
  @Entry(
      code = "TB-1002",
      retry = Retry.LATER,
      advice =
          "Nothing needs doing: an owner that has gone loses the duty when its lease ends. tidebank"
              + " fleet duties shows who holds it.")
  public static final class LeaseHeldByOther extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public LeaseHeldByOther(String duty, String owner, long leftUs) {
      super("duty '" + duty + "' is held by " + owner + " for up to " + leftUs / 1000 + " ms more");
    }
  }

  /** The duty is assigned to another member. */
  @Entry(
      code = "TB-1003",
      retry = Retry.NO,
      advice =
          "Nothing needs doing where a duty was moved. To have it at a member of your choice:"
              + " tidebank fleet move DUTY --to NAME.")
  public static final class TaskAssignedElsewhere extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

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
  @Entry(
      code = "TB-1004",
      retry = Retry.NO,
      advice =
          "Nothing needs doing: a successor is at work, and what the old owner wanted to do was"
              + " kept from taking effect. If it comes often, see why owners stall: their log,"
              + " their processor share.")
  public static final class StaleFencingToken extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public StaleFencingToken(String duty, long given, long current) {
      super("token " + given + " of duty '" + duty + "' is not the current one, " + current);
    }
  }

  /** The lease under this token has expired. */
  @Entry(
      code = "TB-1005",
      retry = Retry.LATER,
      advice =
          "Nothing needs doing: the duty is claimed anew with a new token. If it comes often,"
              + " renewals take longer than the lease: raise lease.ms in deploy/steward.toml, or"
              + " see what slows the stewards.")
  public static final class LeaseExpired extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public LeaseExpired(String duty, long token) {
      super("the lease of duty '" + duty + "' under token " + token + " is over");
    }
  }

  /** Another live process is a member under the same name. */
  @Entry(
      code = "TB-1006",
      retry = Retry.LATER,
      advice =
          "A member that was restarted gets its name once the old process's lease has ended. If it"
              + " lasts, two processes run under one name: give one of them another NODE_NAME.")
  public static final class NameTaken extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public NameTaken(String name, long leftUs) {
      super(
          "another process is member under the name '"
              + name
              + "', for "
              + leftUs / 1000
              + " ms more at least");
    }
  }

  /** The member is not registered, or its session was replaced. */
  @Entry(
      code = "TB-1007",
      retry = Retry.LATER,
      advice =
          "Nothing needs doing: the member joins again. If it comes often, its calls take longer"
              + " than the lease: see its log and the way between it and the stewards.")
  public static final class MemberUnknown extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public MemberUnknown(String name) {
      super("'" + name + "' is no member, or its session was replaced");
    }
  }

  /** An operator retired the member. */
  @Entry(
      code = "TB-1008",
      retry = Retry.NO,
      advice =
          "The name was retired by an operator. Start the process under another NODE_NAME, or stop"
              + " it.")
  public static final class MemberRetired extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public MemberRetired(String name) {
      super("'" + name + "' has been retired");
    }
  }

  /** The configured limit of members is reached. */
  @Entry(
      code = "TB-1009",
      retry = Retry.LATER,
      advice =
          "Raise limits.members in deploy/steward.toml and restart the stewards one after the"
              + " other. Names that fell silent make room by themselves, retired ones do not.")
  public static final class MemberLimitReached extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public MemberLimitReached(int most) {
      super("there are " + most + " members, as many as may be");
    }
  }

  /** A call of a session arrived after a newer one of the same session. */
  @Entry(
      code = "TB-1010",
      retry = Retry.NO,
      advice =
          "An older call of a session came after a newer one. If it is not a late copy, two"
              + " processes share a session: restart one.")
  public static final class StaleSequenceNumber extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public StaleSequenceNumber(String session, long number, long last) {
      super("call " + number + " of session " + session + " came after call " + last);
    }
  }

  /** A conditional write named a revision that is no longer current. */
  @Entry(
      code = "TB-1011",
      retry = Retry.NO,
      advice =
          "Read what is published now, and decide again: tidebank fleet duties --json shows"
              + " revision and value.")
  public static final class RevisionConflict extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

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
  @Entry(
      code = "TB-1012",
      retry = Retry.NO,
      advice =
          "Shorten what is published: it is to name a file of the fleet's folder, not to hold it.")
  public static final class ValueTooLarge extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public ValueTooLarge(String field, int length, int most) {
      super("field '" + field + "' has " + length + " characters, " + most + " at most may be");
    }
  }

  /** The name is not allowed for a member. */
  @Entry(
      code = "TB-1013",
      retry = Retry.NO,
      advice =
          "Give the gatherer a NODE_NAME of letters, digits, and . _ - within, as a file of the"
              + " fleet's folder is named after it.")
  public static final class InvalidName extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public InvalidName(String name) {
      super("'" + name + "' can't be a member's name");
    }
  }

  /** The fleet's shared folder cannot be read or written. */
  @Entry(
      code = "TB-1014",
      retry = Retry.LATER,
      advice =
          "See that fleet.folder in deploy/gatherer.toml is there, the same for all members,"
              + " writable for the gatherer's user, and has space. Scans are served meanwhile; the"
              + " fleet's report waits.")
  public static final class FleetFolderUnusable extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public FleetFolderUnusable(String folder, String what) {
      super("the fleet's folder " + folder + " can't be used: " + what);
    }
  }

  /** A command names a member that does not exist. */
  @Entry(
      code = "TB-1015",
      retry = Retry.NO,
      advice = "Compare the name with those that tidebank fleet members lists.")
  public static final class MemberNotFound extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public MemberNotFound(String name) {
      super("no member is called '" + name + "'");
    }
  }

  // ---- stewards

  /** The steward that was asked is not the leader. */
  @Entry(
      code = "TB-1101",
      retry = Retry.ELSEWHERE,
      advice =
          "Ask the steward that is named; the fleet commands do so by themselves. If none is named,"
              + " an election is under way: ask again within some seconds.")
  public static final class NotLeading extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public NotLeading(String steward, String leader) {
      super(
          "steward "
              + steward
              + " does not lead; "
              + (leader.isEmpty() ? "nobody is known to" : leader + " does"));
    }
  }

  /** The stewards did not reach a quorum in time. */
  @Entry(
      code = "TB-1102",
      retry = Retry.LATER,
      advice =
          "Most of the stewards have to run and reach each other. Start those that are down; see"
              + " each one's log for its peers. Serving goes on meanwhile.")
  public static final class NoMajority extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public NoMajority(String what) {
      super("the stewards did not agree in time: " + what);
    }
  }

  /** The leader changed between taking a call and committing it. */
  @Entry(
      code = "TB-1103",
      retry = Retry.LATER,
      advice = "Nothing needs doing: the same call, sent again, takes effect once.")
  public static final class LeaderChanged extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public LeaderChanged(long stamped, long term) {
      super("the call was taken in term " + stamped + " and came into the log in term " + term);
    }
  }

  /** The body of a call cannot be parsed. */
  @Entry(
      code = "TB-1104",
      retry = Retry.NO,
      advice =
          "Correct the body: docs/fleet-control.md shows one of each kind. A body has 64 KiB at"
              + " most.")
  public static final class MalformedRequest extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public MalformedRequest(String what) {
      super("the call can't be read: " + what);
    }
  }

  /** The steward has no resource at this method and path. */
  @Entry(
      code = "TB-1105",
      retry = Retry.NO,
      advice =
          "Use POST /fleet/command, GET /fleet/state, GET /fleet/history, GET"
              + " /fleet/wanted?name=NAME&wait_ms=MS or GET /health/ready.")
  public static final class PathUnknown extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public PathUnknown(String method, String path) {
      super("nothing answers to " + method + " " + path);
    }
  }

  /** No steward accepted a connection. */
  @Entry(
      code = "TB-1106",
      retry = Retry.ELSEWHERE,
      advice =
          "See that the stewards run and that the addresses given by --stewards are those of http"
              + " in deploy/steward.toml.")
  public static final class CoordinatorUnavailable extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public CoordinatorUnavailable(String tried) {
      super("no steward could be reached: " + tried);
    }
  }

  /** A snapshot of the replicated log's state is unreadable. */
  @Entry(
      code = "TB-1107",
      retry = Retry.NO,
      advice =
          "Bring the folder back from a copy. Without one, and only while all other stewards run:"
              + " move it away, start this steward empty, then restart the one that leads, and wait"
              + " until this one has written a snapshot.")
  public static final class CorruptSnapshot extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public CorruptSnapshot(String file, String what) {
      super("snapshot " + file + " can't be used: " + what);
    }
  }

  /** The steward's storage folder cannot be read or written. */
  @Entry(
      code = "TB-1108",
      retry = Retry.NO,
      advice =
          "Make the folder of deploy/steward.toml writable for the steward's user, free some space"
              + " in it, or name another one; and end any other steward that uses it.")
  public static final class DataDirectoryUnusable extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public DataDirectoryUnusable(String folder, String what) {
      super("folder " + folder + " can't be used: " + what);
    }
  }

  /** The address to listen on is in use or not available. */
  @Entry(
      code = "TB-1109",
      retry = Retry.NO,
      advice =
          "End the other program, or give the address of http or of the steward's own line under"
              + " peers in deploy/steward.toml another port.")
  public static final class AddressTaken extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public AddressTaken(String address, String what) {
      super("cannot listen on " + address + ": " + what);
    }
  }

  // ---- the rig

  /** No chaos script has this name. */
  @Entry(
      code = "TB-1201",
      retry = Retry.NO,
      advice =
          "Give the path of a script's file, or one of the names that tidebank chaos list shows.")
  public static final class ScriptUnknown extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public ScriptUnknown(String name, List<String> known) {
      super("'" + name + "' is no file and no script; there are " + String.join(", ", known));
    }
  }

  /** The folder does not hold a recorded chaos run. */
  @Entry(
      code = "TB-1202",
      retry = Retry.NO,
      advice =
          "Give the folder of a run, as tidebank chaos run named it; runs that held leave none"
              + " unless it is asked to keep them by --keep.")
  public static final class RunUnknown extends TidebankException {
    @Serial private static final long serialVersionUID = 1L;

    public RunUnknown(String folder) {
      super(folder + " holds no verdict of a run");
    }
  }
}
