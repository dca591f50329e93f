package tidebank.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.CoordinatorException;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseHolder;
import tidebank.lease.LeaseTableState;
import tidebank.lease.TaskLease;

/**
 * Keeps a member's membership and leases: sends the holder's commands to the coordinators until
 * they are answered. Owned by the agent's thread.
 */
final class LeaseClient {
  private static final Logger LOG = LoggerFactory.getLogger(FleetAgent.class);
  private static final long RETRY_PAUSE_MS = 50;

  private final List<String> coordinators;
  private final AgentMailbox mailbox;
  private final AgentErrorLogger errors;
  private final LeaseHolder holder;
  private final CoordinatorSession coordinator;

  LeaseClient(
      List<String> coordinators,
      String member,
      String session,
      AgentMailbox mailbox,
      AgentErrorLogger errors) {
    this.coordinators = coordinators;
    this.mailbox = mailbox;
    this.errors = errors;
    holder = new LeaseHolder(member, session);
    coordinator = new CoordinatorSession(coordinators);
  }

  /** Returns the monotonic clock that leases are counted by, in microseconds. */
  static long now() {
    return System.nanoTime() / 1000;
  }

  /** Waits before a retry; an interrupt ends it and stays set. */
  static void pause() {
    try {
      Thread.sleep(RETRY_PAUSE_MS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends the next command; returns false if there is none. */
  boolean sendNextCommand() throws IOException {
    LeaseCommand command = holder.nextCommand(now());
    if (command == null) {
      return false;
    }
    send(command);
    return true;
  }

  /**
   * Publishes a value under a task whose lease is held.
   *
   * @param revision the revision that it replaces
   * @return whether it was published
   */
  boolean publish(String task, long revision, String value) throws IOException {
    LeaseCommand command = holder.publish(task, revision, value, now());
    return command != null && send(command).error() == null;
  }

  /** Repeats a command until it is answered. */
  private CommandResult send(LeaseCommand command) throws IOException {
    while (true) {
      Optional<CommandResult> answer = coordinator.command(command);
      if (answer.isPresent() && answer.get().config() != null) {
        holder.handleResult(command.sequence(), answer.get(), now());
        logResult(command, answer.get());
        return answer.get();
      }
      if (mailbox.leaveRequested() && command.kind() != LeaseCommand.Kind.LEAVE) {
        throw new CoordinatorException.CoordinatorUnavailable(coordinators.toString());
      }
      pause();
    }
  }

  private void logResult(LeaseCommand command, CommandResult result) {
    if (result.error() != null) {
      errors.log(result.error());
      return;
    }
    errors.succeeded();
    if (command.kind() == LeaseCommand.Kind.CLAIM) {
      LOG.info(
          "acquired lease: task={}, fencing_token={}", command.task(), tokenIfHeld(command.task()));
    }
  }

  /** Returns the fencing token to act with for a task now, or 0 if its lease is not held. */
  long tokenIfHeld(String task) {
    return holder.tokenIfHeld(task, now(), 0);
  }

  /** Returns the state of the lease table, if a coordinator answers. */
  Optional<LeaseTableState> state() throws IOException {
    return coordinator.state();
  }

  /** Returns a task of the lease table. */
  static Optional<TaskLease> find(LeaseTableState state, String task) {
    return state.tasks().stream().filter(lease -> lease.task().equals(task)).findFirst();
  }

  void renewSoon() {
    holder.renewSoon(now());
  }

  void leave() {
    holder.leave();
  }

  boolean hasLeft() {
    return holder.hasLeft();
  }
}
