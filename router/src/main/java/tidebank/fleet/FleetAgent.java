package tidebank.fleet;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.SortedMap;
import java.util.UUID;
import java.util.concurrent.Executor;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.StorageException;
import tidebank.errors.TidebankException;

/**
 * A query router's agent in the fleet. On a thread of its own, it keeps the router's membership and
 * leases, writes the router's counters, and runs the singleton tasks under its leases. It shares
 * only an {@link AgentMailbox} with the event loop, and neither waits for the other. If no
 * coordinator answers, the agent stops its tasks and keeps retrying; queries are not affected.
 */
public final class FleetAgent {
  private static final Logger LOG = LoggerFactory.getLogger(FleetAgent.class);

  /** How long the agent sleeps at a time while it has no command to send. */
  private static final long IDLE_SLEEP_MS = 20;

  /** How long a coordinator may delay its answer while there is no task to claim. */
  private static final int ASSIGNMENT_WAIT_MS = 5000;

  /**
   * The agent's configuration.
   *
   * @param coordinators the coordinators' addresses, as host:port
   * @param sharedFolder the folder that all members share
   * @param intervalUs the interval at which counters are written, a report is published and stored
   *     files are scanned, in microseconds
   * @param retention the limits on the stored files
   */
  public record Config(
      List<String> coordinators,
      Path sharedFolder,
      long intervalUs,
      RemovalList.RetentionLimits retention) {}

  private final Config config;
  private final String member;
  private final AgentMailbox mailbox = new AgentMailbox();
  private final AgentErrorLogger errorLogger = new AgentErrorLogger();
  private final LazySharedFolder folder;
  private final LeaseClient leases;
  private final CountersTask countersTask;
  private final ReportTask reportTask;
  private final RetentionTask retentionTask;
  private final Thread agentThread = new Thread(this::run, "fleet agent");
  private final Thread assignmentThread = new Thread(this::awaitAssignments, "fleet news");

  /**
   * Creates an agent without starting it.
   *
   * @param member the router's name
   * @param counters returns the router's counts since its start; called on the event loop
   * @param eventLoop the router's event loop
   */
  public FleetAgent(
      Config config,
      String member,
      Supplier<SortedMap<String, Long>> counters,
      Executor eventLoop) {
    this.config = config;
    this.member = member;
    folder = new LazySharedFolder(config.sharedFolder());
    String session = UUID.randomUUID().toString();
    leases = new LeaseClient(config.coordinators(), member, session, mailbox, errorLogger);
    countersTask =
        new CountersTask(member, session, config.intervalUs(), mailbox, counters, eventLoop);
    reportTask = new ReportTask(config.intervalUs(), leases);
    retentionTask = new RetentionTask(config.intervalUs(), config.retention(), leases);
    agentThread.setDaemon(true);
    assignmentThread.setDaemon(true);
  }

  /** Starts the agent's threads, which end with the process or once the agent has left. */
  public FleetAgent start() {
    agentThread.start();
    assignmentThread.start();
    return this;
  }

  /**
   * Requests that the agent release all leases because the router is draining, so that other
   * members need not wait for them to expire. Returns at once.
   */
  public void leave() {
    mailbox.requestLeave();
  }

  private void run() {
    while (!leases.hasLeft()) {
      try {
        runOnce();
      } catch (InterruptedException interrupted) {
        Thread.currentThread().interrupt();
        return;
      } catch (IOException exception) {
        errorLogger.log(toTidebankException(exception).details());
        LeaseClient.sleepBeforeRetry();
      } catch (RuntimeException exception) {
        // For example, counters were requested while the event loop was shutting down.
        LOG.warn("agent iteration failed", exception);
        LeaseClient.sleepBeforeRetry();
      }
    }
  }

  private void runOnce() throws IOException, InterruptedException {
    if (mailbox.leaveRequested()) {
      leases.leave();
    }
    if (mailbox.takeAssignmentNotice()) {
      leases.renewSoon();
    }
    boolean sent = leases.sendNextCommand();
    if (!sent && !mailbox.leaveRequested()) {
      runTasks();
      Thread.sleep(IDLE_SLEEP_MS);
    }
  }

  private void runTasks() throws IOException {
    countersTask.runIfDue(folder);
    reportTask.runIfDue(folder);
    retentionTask.runIfDue(folder);
  }

  private TidebankException toTidebankException(IOException exception) {
    return exception instanceof TidebankException known
        ? known
        : new StorageException.FleetFolderUnusable(
            config.sharedFolder().toString(), exception.toString());
  }

  /**
   * Waits at the coordinator for tasks to claim, so that the agent claims them at once instead of
   * after its next renewal.
   */
  private void awaitAssignments() {
    CoordinatorHttpClient coordinator = new CoordinatorHttpClient(config.coordinators());
    while (!mailbox.leaveRequested()) {
      try {
        if (coordinator.awaitUnclaimedTask(member, ASSIGNMENT_WAIT_MS)) {
          mailbox.notifyAssignment();
        }
      } catch (IOException | RuntimeException exception) {
        LOG.debug("could not wait for assignments", exception);
      }
      // Claiming the task takes a moment, and unreachable coordinators must not be polled without a
      // delay.
      LeaseClient.sleepBeforeRetry();
    }
  }
}
