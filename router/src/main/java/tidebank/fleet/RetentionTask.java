package tidebank.fleet;

import java.io.IOException;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.lease.LeaseTableState;
import tidebank.lease.TaskLease;

/**
 * The singleton task that removes stored files at a fixed interval. It first finishes the published
 * removals, because the member that published them may have died before it was done. Then it lists
 * the files to remove, publishes the list, and only then removes them. A member that is paused in
 * between removes its files late or has its list rejected. Confined to the agent thread.
 */
final class RetentionTask {
  /** The task's name. */
  static final String NAME = "retention";

  private static final Logger LOG = LoggerFactory.getLogger(FleetAgent.class);

  /** The maximum number of names on a removal list, so that its file stays small. */
  private static final int MAX_REMOVALS = 1000;

  private final long intervalUs;
  private final RemovalList.RetentionLimits limits;
  private final LeaseClient leases;
  private long lastRunAt;

  RetentionTask(long intervalUs, RemovalList.RetentionLimits limits, LeaseClient leases) {
    this.intervalUs = intervalUs;
    this.limits = limits;
    this.leases = leases;
  }

  /** Removes files beyond the retention limits if the lease is held and a removal is due. */
  void runIfDue(LazySharedFolder folder) throws IOException {
    long fencingToken = leases.tokenIfHeld(NAME);
    if (fencingToken == 0 || LeaseClient.now() - lastRunAt < intervalUs) {
      return;
    }
    lastRunAt = LeaseClient.now();
    Optional<LeaseTableState> state = leases.fetchState();
    Optional<TaskLease> lease = state.flatMap(known -> LeaseClient.findTask(known, NAME));
    if (lease.isPresent()) {
      removeNext(folder, state.get(), lease.get(), fencingToken);
    }
  }

  private void removeNext(
      LazySharedFolder lazyFolder, LeaseTableState state, TaskLease lease, long fencingToken)
      throws IOException {
    SharedFolder folder = lazyFolder.open();
    RemovalList published = folder.readRemovalList(lease.value());
    folder.removeFiles(published);
    String publishedReport =
        LeaseClient.findTask(state, ReportTask.NAME).map(TaskLease::value).orElse("");
    // Renews leases during the scan, which takes long in a large folder.
    RemovalList.ScanResult stored =
        folder.scanFiles(publishedReport, 2 * MAX_REMOVALS, leases::sendNextCommand);
    RemovalList next = published.next(lease.value(), fencingToken, stored, limits, MAX_REMOVALS);
    if (next.names().isEmpty()) {
      return;
    }
    if (leases.publish(NAME, lease.revision(), folder.write(next))
        && leases.tokenIfHeld(NAME) == fencingToken) {
      LOG.info(
          "removed files: removed={}, listed={}, list={}",
          folder.removeFiles(next),
          next.names().size(),
          next.number());
      folder.removeOldRemovalLists(next);
    }
  }
}
