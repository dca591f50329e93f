package tidebank.fleet;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.lease.LeaseTableState;
import tidebank.lease.Member;
import tidebank.lease.TaskLease;

/**
 * The singleton task that publishes the fleet's report at a fixed interval. It reads the published
 * report, writes the next one to a file with the fencing token in its name, and publishes that
 * name. If the process is paused in between, the coordinator rejects its stale token or outdated
 * revision, and the file is never used. Confined to the agent thread.
 */
final class ReportTask {
  /** The task's name. */
  static final String NAME = "report";

  private static final Logger LOG = LoggerFactory.getLogger(FleetAgent.class);

  private final long intervalUs;
  private final LeaseClient leases;
  private long lastRunAt;

  ReportTask(long intervalUs, LeaseClient leases) {
    this.intervalUs = intervalUs;
    this.leases = leases;
  }

  /** Publishes the next report if the lease is held and a report is due. */
  void runIfDue(LazySharedFolder folder) throws IOException {
    long fencingToken = leases.tokenIfHeld(NAME);
    if (fencingToken == 0 || LeaseClient.now() - lastRunAt < intervalUs) {
      return;
    }
    lastRunAt = LeaseClient.now();
    Optional<LeaseTableState> state = leases.fetchState();
    Optional<TaskLease> lease = state.flatMap(known -> LeaseClient.findTask(known, NAME));
    if (lease.isPresent()) {
      publishNext(folder, state.get(), lease.get(), fencingToken);
    }
  }

  private void publishNext(
      LazySharedFolder lazyFolder, LeaseTableState state, TaskLease lease, long fencingToken)
      throws IOException {
    SharedFolder folder = lazyFolder.open();
    List<String> alive =
        state.members().stream()
            .filter(member -> member.expiresAt() > state.leaderClock())
            .map(Member::name)
            .toList();
    FleetReport next =
        folder
            .readReport(lease.value())
            .next(lease.value(), fencingToken, alive, folder.readCounters());
    String fileName = folder.write(next);
    if (leases.publish(NAME, lease.revision(), fileName)) {
      LOG.info("published report: file={}", fileName);
      folder.removeOldReports(next);
    }
  }
}
