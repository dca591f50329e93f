package tidebank.testbed.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import tidebank.fleet.FleetReport;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.TaskLease;

/**
 * A check of the published reports from outside the cluster: each report names its predecessor,
 * report numbers have no gaps and fencing tokens never decrease. Also sums up the queries that the
 * reports count. Confined to the observer's thread until the run has ended.
 */
final class PublishedReports {
  /** Counts every query of a run: without shard servers the routers throttle all of them. */
  private static final String QUERY_COUNTER = "scans.throttled";

  private final Path folder;
  private final List<String> violations = new ArrayList<>();
  private String lastCheckedName = "";
  private long lastToken;
  private long queriesCounted;
  private int count;

  PublishedReports(Path sharedFolder) {
    folder = sharedFolder.resolve("reports");
  }

  /**
   * Checks all reports that were published since the last call.
   *
   * @param lease current lease of the report task, with the name of the newest report as value
   */
  void check(TaskLease lease) {
    Deque<FleetReport> newReports = readNewReports(lease.value());
    newReports.forEach(this::check);
    if (!newReports.isEmpty() && lease.publishingToken() != lastToken) {
      violations.add(
          lease.value()
              + " was published with fencing token "
              + lease.publishingToken()
              + ", but contains fencing token "
              + lastToken);
    }
    lastCheckedName = lease.value();
  }

  /** Reads the reports from the newest one back to the last one checked; returns oldest first. */
  private Deque<FleetReport> readNewReports(String newest) {
    Deque<FleetReport> reports = new ArrayDeque<>();
    try {
      for (String name = newest;
          !name.equals(lastCheckedName);
          name = reports.getFirst().previous()) {
        if (name.isEmpty()) {
          violations.add(
              "the chain of reports back from "
                  + newest
                  + " does not contain "
                  + lastCheckedName
                  + ", which was published before");
          break;
        }
        reports.addFirst(
            LeaseCodec.read(Files.readAllBytes(folder.resolve(name)), FleetReport.class));
      }
    } catch (IOException fault) {
      violations.add(newest + " is published, but can't be read: " + fault);
    }
    return reports;
  }

  private void check(FleetReport report) {
    if (report.fencingToken() < lastToken) {
      violations.add(
          "report "
              + report.number()
              + " has fencing token "
              + report.fencingToken()
              + ", but the report before it has "
              + lastToken);
    }
    if (report.number() != ++count) {
      violations.add("report " + report.number() + " was published at position " + count);
    }
    lastToken = report.fencingToken();
    queriesCounted += report.window().getOrDefault(QUERY_COUNTER, 0L);
  }

  /** Returns the sum of the queries that all reports count. */
  long queriesCounted() {
    return queriesCounted;
  }

  /** Returns how many reports were published. */
  int count() {
    return count;
  }

  /** Returns the violations found so far. */
  List<String> violations() {
    return violations;
  }
}
