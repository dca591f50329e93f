package tidebank.errors;

import java.io.Serial;
import tidebank.errors.TidebankException.Retry;

/** Error conditions of the lease coordinator and of requests to it. */
public abstract sealed class CoordinatorException extends TidebankException {
  @Serial private static final long serialVersionUID = 1L;

  private CoordinatorException(String message) {
    super(message);
  }

  /** The coordinator that received the request is not the leader. */
  @ErrorCondition(
      code = "TB-1101",
      retry = Retry.ELSEWHERE,
      advice =
          "Send the request to the named leader; the fleet commands do so by themselves. If"
              + " none is named, an election is in progress: try again after a few seconds.")
  public static final class NotLeading extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public NotLeading(String coordinator, String leader) {
      super(
          "coordinator "
              + coordinator
              + " is not the leader; "
              + (leader.isEmpty() ? "no leader is known" : "the leader is " + leader));
    }
  }

  /** The coordinators did not reach a majority in time. */
  @ErrorCondition(
      code = "TB-1102",
      retry = Retry.LATER,
      advice =
          "A majority of the coordinators must be running and able to reach each other."
              + " Start those that are down, and check the log of each one for its peers."
              + " Queries are still served in the meantime.")
  public static final class NoMajority extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public NoMajority(String reason) {
      super("no majority of the coordinators agreed in time: " + reason);
    }
  }

  /** The leader changed between accepting a command and appending it to the replicated log. */
  @ErrorCondition(
      code = "TB-1103",
      retry = Retry.LATER,
      advice =
          "No action is needed: the same command can be sent again and takes effect only"
              + " once.")
  public static final class LeaderChanged extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public LeaderChanged(long acceptedTerm, long loggedTerm) {
      super(
          "the command was accepted in term "
              + acceptedTerm
              + " but appended to the log in term "
              + loggedTerm);
    }
  }

  /** A request cannot be parsed, or has an invalid parameter. */
  @ErrorCondition(
      code = "TB-1104",
      retry = Retry.NO,
      advice =
          "Correct the body: docs/fleet-control.md shows an example of each kind. A body"
              + " may have at most 64 KiB.")
  public static final class MalformedRequest extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public MalformedRequest(String reason) {
      super("malformed request: " + reason);
    }
  }

  /** The coordinator has no resource for this method and path. */
  @ErrorCondition(
      code = "TB-1105",
      retry = Retry.NO,
      advice =
          "Use POST /fleet/command, GET /fleet/state, GET /fleet/history, GET"
              + " /fleet/wanted?name=NAME&wait_ms=MS or GET /health/ready.")
  public static final class PathUnknown extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public PathUnknown(String method, String path) {
      super("there is no resource for " + method + " " + path);
    }
  }

  /** No coordinator could be reached. */
  @ErrorCondition(
      code = "TB-1106",
      retry = Retry.ELSEWHERE,
      advice =
          "Check that the coordinators are running and that the addresses given by"
              + " --stewards are those of http in deploy/steward.toml.")
  public static final class CoordinatorUnavailable extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public CoordinatorUnavailable(String addresses) {
      super("no coordinator could be reached: " + addresses);
    }
  }

  /** The address to listen on is in use or cannot be bound. */
  @ErrorCondition(
      code = "TB-1109",
      retry = Retry.NO,
      advice =
          "Stop the other program, or change the port of raft or http in the coordinator's"
              + " own entry under peers, or under listen, in deploy/steward.toml.")
  public static final class AddressTaken extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public AddressTaken(String address, String reason) {
      super("cannot listen on " + address + ": " + reason);
    }
  }

  /** The coordinator's replica has closed after an error, and its process ends. */
  @ErrorCondition(
      code = "TB-1110",
      retry = Retry.ELSEWHERE,
      advice =
          "Start the coordinator again with its folder. Its log names the error before this"
              + " one; keep it and report it. Meanwhile a majority of the others has to run.")
  public static final class ReplicaClosed extends CoordinatorException {
    @Serial private static final long serialVersionUID = 1L;

    /** Creates an error that names the values involved. */
    public ReplicaClosed(String coordinator, String reason) {
      super("the replica of coordinator " + coordinator + " has closed: " + reason);
    }
  }
}
