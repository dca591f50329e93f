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
 * Keeps a member's membership and leases: sends the commands of its {@link LeaseHolder} to the
 * coordinators until they are answered. Confined to the agent thread.
 */
final class LeaseClient {
  private static final Logger LOG = LoggerFactory.getLogger(FleetAgent.class);
  private static final long RETRY_DELAY_MS = 50;

  private final List<String> coordinators;
  private final AgentMailbox mailbox;
  private final AgentErrorLogger errorLogger;
  private final LeaseHolder holder;
  private final CoordinatorHttpClient coordinator;

  LeaseClient(
      List<String> coordinators,
      String member,
      String session,
      AgentMailbox mailbox,
      AgentErrorLogger errorLogger) {
    this.coordinators = coordinators;
    this.mailbox = mailbox;
    this.errorLogger = errorLogger;
    holder = new LeaseHolder(member, session);
    coordinator = new CoordinatorHttpClient(coordinators);
  }

  /** Returns the time of the monotonic clock that leases are measured by, in microseconds. */
  static long now() {
    return System.nanoTime() / 1000;
  }

  /** Sleeps before a retry. An interrupt ends the sleep and stays set. */
  static void sleepBeforeRetry() {
    try {
      Thread.sleep(RETRY_DELAY_MS);
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
  }

  /** Sends the next command. Returns false if none is due. */
  boolean sendNextCommand() throws IOException {
    LeaseCommand command = holder.nextCommand(now());
    if (command == null) {
      return false;
    }
    send(command);
    return true;
  }

  /**
   * Publishes a value for a task, if the task's lease is held.
   *
   * @param revision the revision that the value replaces
   * @return whether it was published
   */
  boolean publish(String task, long revision, String value) throws IOException {
    LeaseCommand command = holder.createPublishCommand(task, revision, value, now());
    return command != null && send(command).error() == null;
  }

  /**
   * Sends a command until it is answered. Throws CoordinatorUnavailable if it is not answered and
   * the member was asked to leave, unless the command is LEAVE.
   */
  private CommandResult send(LeaseCommand command) throws IOException {
    while (true) {
      Optional<CommandResult> result = coordinator.execute(command);
      if (result.isPresent() && result.get().config() != null) {
        holder.handleResult(command.sequence(), result.get(), now());
        logResult(command, result.get());
        return result.get();
      }
      if (mailbox.leaveRequested() && command.kind() != LeaseCommand.Kind.LEAVE) {
        throw new CoordinatorException.CoordinatorUnavailable(coordinators.toString());
      }
      sleepBeforeRetry();
    }
  }

  private void logResult(LeaseCommand command, CommandResult result) {
    if (result.error() != null) {
      errorLogger.log(result.error());
      return;
    }
    errorLogger.succeeded();
    if (command.kind() == LeaseCommand.Kind.CLAIM) {
      LOG.info(
          "acquired lease: task={}, fencing_token={}", command.task(), tokenIfHeld(command.task()));
    }
  }

  /** Returns the fencing token to act with for a task now, or 0 if its lease is not held. */
  long tokenIfHeld(String task) {
    return holder.tokenIfHeld(task, now(), 0);
  }

  /** Returns the state of the lease table, or empty if no coordinator answered. */
  Optional<LeaseTableState> fetchState() throws IOException {
    return coordinator.fetchState();
  }

  /** Returns the entry of a task in the lease table. */
  static Optional<TaskLease> findTask(LeaseTableState state, String task) {
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
