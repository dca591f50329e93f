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
 * A query router's part in the fleet, on a thread of its own: keeps its membership and leases, and
 * does the tasks whose lease it holds. It shares nothing with the event loop but an {@link
 * AgentMailbox}; neither waits for the other. If no coordinator answers it stops its tasks and goes
 * on retrying; queries are not affected.
 */
public final class FleetAgent {
  private static final Logger LOG = LoggerFactory.getLogger(FleetAgent.class);

  /** The most the agent sleeps at a time where there is nothing to do. */
  private static final long IDLE_PAUSE_MS = 20;

  /** How long the coordinator may let a request wait that has no task to claim. */
  private static final int ASSIGNMENT_WAIT_MS = 5000;

  /**
   * How a router takes part.
   *
   * @param coordinators where they listen, as host:port
   * @param sharedFolder the folder that all members share
   * @param intervalUs how often counters are written, a report is published and stored files are
   *     looked through, in microseconds
   * @param retention how long and how much is stored
   */
  public record Plan(
      List<String> coordinators, Path sharedFolder, long intervalUs, Retention.Bounds retention) {}

  private final Plan plan;
  private final String member;
  private final AgentMailbox mailbox = new AgentMailbox();
  private final AgentErrorLogger errors = new AgentErrorLogger();
  private final LazySharedFolder folder;
  private final LeaseClient leases;
  private final CountersTask countersTask;
  private final ReportTask reportTask;
  private final RetentionTask retentionTask;
  private final Thread agentThread = new Thread(this::run, "fleet agent");
  private final Thread assignmentThread = new Thread(this::awaitAssignments, "fleet news");

  /**
   * Creates an agent that is not started.
   *
   * @param member the router's name
   * @param counters returns what the router has counted since its start; called on its event loop
   * @param eventLoop that event loop
   */
  public FleetAgent(
      Plan plan, String member, Supplier<SortedMap<String, Long>> counters, Executor eventLoop) {
    this.plan = plan;
    this.member = member;
    folder = new LazySharedFolder(plan.sharedFolder());
    String session = UUID.randomUUID().toString();
    leases = new LeaseClient(plan.coordinators(), member, session, mailbox, errors);
    countersTask =
        new CountersTask(member, session, plan.intervalUs(), mailbox, counters, eventLoop);
    reportTask = new ReportTask(plan.intervalUs(), leases);
    retentionTask = new RetentionTask(plan.intervalUs(), plan.retention(), leases);
    agentThread.setDaemon(true);
    assignmentThread.setDaemon(true);
  }

  /** Starts the agent's threads; they end with the process or once it has left. */
  public FleetAgent start() {
    agentThread.start();
    assignmentThread.start();
    return this;
  }

  /**
   * Releases all leases while the router is draining, so that others need not wait for their ends.
   * Returns at once.
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
        errors.log(toTidebankException(exception).details());
        LeaseClient.pause();
      } catch (RuntimeException exception) {
        // Such as counters requested while the router ends.
        LOG.warn("agent iteration failed", exception);
        LeaseClient.pause();
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
      Thread.sleep(IDLE_PAUSE_MS);
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
            plan.sharedFolder().toString(), exception.toString());
  }

  /**
   * Waits at the coordinator for a task to claim, so that it is claimed at once and not with the
   * next renewal.
   */
  private void awaitAssignments() {
    CoordinatorSession coordinator = new CoordinatorSession(plan.coordinators());
    while (!mailbox.leaveRequested()) {
      try {
        if (coordinator.awaitUnclaimedTask(member, ASSIGNMENT_WAIT_MS)) {
          mailbox.notifyAssignment();
        }
      } catch (IOException | RuntimeException exception) {
        LOG.debug("could not wait for assignments", exception);
      }
      // The task may take a moment to be claimed, and coordinators that are gone are not to be
      // asked without a pause.
      LeaseClient.pause();
    }
  }
}
