package tidebank.errors;

import java.io.Serial;
import tidebank.errors.TidebankException.Retry;

/** Conditions of calls to the lease coordinator. */
public abstract sealed class CoordinatorException extends TidebankException {
  @Serial private static final long serialVersionUID = 1L;

  private CoordinatorException(String message) {
    super(message);
  }

  /** The steward that was asked is not the leader. */
  @ErrorCondition(
      code = "TB-1101",
      retry = Retry.ELSEWHERE,
      advice =
          "Ask the steward that is named; the fleet commands do so by themselves. If none is named,"
              + " an election is under way: ask again within some seconds.")
  public static final class NotLeading extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public NotLeading(String steward, String leader) {
      super(
          "steward "
              + steward
              + " does not lead; "
              + (leader.isEmpty() ? "nobody is known to" : leader + " does"));
    }
  }

  /** The stewards did not reach a quorum in time. */
  @ErrorCondition(
      code = "TB-1102",
      retry = Retry.LATER,
      advice =
          "Most of the stewards have to run and reach each other. Start those that are down; see"
              + " each one's log for its peers. Serving goes on meanwhile.")
  public static final class NoMajority extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public NoMajority(String reason) {
      super("the stewards did not agree in time: " + reason);
    }
  }

  /** The leader changed between taking a call and committing it. */
  @ErrorCondition(
      code = "TB-1103",
      retry = Retry.LATER,
      advice = "Nothing needs doing: the same call, sent again, takes effect once.")
  public static final class LeaderChanged extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public LeaderChanged(long stamped, long term) {
      super("the call was taken in term " + stamped + " and came into the log in term " + term);
    }
  }

  /** The body of a call cannot be parsed. */
  @ErrorCondition(
      code = "TB-1104",
      retry = Retry.NO,
      advice =
          "Correct the body: docs/fleet-control.md shows one of each kind. A body has 64 KiB at"
              + " most.")
  public static final class MalformedRequest extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public MalformedRequest(String reason) {
      super("the call can't be read: " + reason);
    }
  }

  /** The steward has no resource at this method and path. */
  @ErrorCondition(
      code = "TB-1105",
      retry = Retry.NO,
      advice =
          "Use POST /fleet/command, GET /fleet/state, GET /fleet/history, GET"
              + " /fleet/wanted?name=NAME&wait_ms=MS or GET /health/ready.")
  public static final class PathUnknown extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public PathUnknown(String method, String path) {
      super("nothing answers to " + method + " " + path);
    }
  }

  /** No steward accepted a connection. */
  @ErrorCondition(
      code = "TB-1106",
      retry = Retry.ELSEWHERE,
      advice =
          "See that the stewards run and that the addresses given by --stewards are those of http"
              + " in deploy/steward.toml.")
  public static final class CoordinatorUnavailable extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public CoordinatorUnavailable(String tried) {
      super("no steward could be reached: " + tried);
    }
  }

  /** The address to listen on is in use or not available. */
  @ErrorCondition(
      code = "TB-1109",
      retry = Retry.NO,
      advice =
          "End the other program, or give the address of http or of the steward's own line under"
              + " peers in deploy/steward.toml another port.")
  public static final class AddressTaken extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates the error with the values involved. */
    public AddressTaken(String address, String reason) {
      super("cannot listen on " + address + ": " + reason);
    }
  }
}
