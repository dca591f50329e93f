package tidebank.fleet;

import java.io.IOException;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.lease.LeaseTableState;
import tidebank.lease.TaskLease;

/**
 * The singleton task that removes stored files once an interval: finishes the removals that are
 * published, as their holder may have died over them, then lists what is kept too long and
 * publishes the list, and only then removes what it names. Whoever is stopped in between removes
 * late what was to go, or has its list refused. Owned by the agent's thread.
 */
final class RetentionTask {
  /** The task's name. */
  static final String NAME = "retention";

  private static final Logger LOG = LoggerFactory.getLogger(FleetAgent.class);

  /** Names that one removal list may have, so that its file stays small. */
  private static final int MAX_REMOVALS = 1000;

  private final long intervalUs;
  private final Retention.Bounds bounds;
  private final LeaseClient leases;
  private long startedAt;

  RetentionTask(long intervalUs, Retention.Bounds bounds, LeaseClient leases) {
    this.intervalUs = intervalUs;
    this.bounds = bounds;
    this.leases = leases;
  }

  /** Removes what is kept too long if the lease is held and a removal is due. */
  void runIfDue(LazySharedFolder folder) throws IOException {
    long fencingToken = leases.tokenIfHeld(NAME);
    if (fencingToken == 0 || LeaseClient.now() - startedAt < intervalUs) {
      return;
    }
    startedAt = LeaseClient.now();
    Optional<LeaseTableState> state = leases.state();
    Optional<TaskLease> lease = state.flatMap(known -> LeaseClient.find(known, NAME));
    if (lease.isPresent()) {
      removeNext(folder, state.get(), lease.get(), fencingToken);
    }
  }

  private void removeNext(
      LazySharedFolder lazyFolder, LeaseTableState state, TaskLease lease, long fencingToken)
      throws IOException {
    SharedFolder folder = lazyFolder.open();
    Retention published = folder.readRemovals(lease.value());
    folder.remove(published);
    String report = LeaseClient.find(state, ReportTask.NAME).map(TaskLease::value).orElse("");
    // Leases are renewed while a large folder is looked through.
    Retention.Stock stored = folder.scanStored(report, 2 * MAX_REMOVALS, leases::sendNextCommand);
    Retention next = published.next(lease.value(), fencingToken, stored, bounds, MAX_REMOVALS);
    if (next.names().isEmpty()) {
      return;
    }
    if (leases.publish(NAME, lease.revision(), folder.write(next))
        && leases.tokenIfHeld(NAME) == fencingToken) {
      LOG.info(
          "removed files: removed={}, listed={}, list={}",
          folder.remove(next),
          next.names().size(),
          next.number());
      folder.removeOldRemovalLists(next);
    }
  }
}
