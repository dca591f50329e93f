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
 * Checks the chain of published reports from outside of the cluster: each report follows the one
 * before, fencing tokens never decrease, and the sums are the queries that were sent. Belongs to
 * the observer's thread until the run is over.
 */
final class PublishedReports {
  /** Every query of a run is throttled, as no shard server is there. */
  private static final String QUERY_COUNTER = "scans.throttled";

  private final Path folder;
  private final List<String> violations = new ArrayList<>();
  private String lastName = "";
  private long lastToken;
  private long queriesCounted;
  private int count;

  PublishedReports(Path sharedFolder) {
    folder = sharedFolder.resolve("reports");
  }

  /** Checks all reports that were published since the last call. */
  void check(TaskLease lease) {
    Deque<FleetReport> newReports = readNewReports(lease.value());
    newReports.forEach(this::check);
    if (!newReports.isEmpty() && lease.publishingToken() != lastToken) {
      violations.add(
          lease.value()
              + " was published by token "
              + lease.publishingToken()
              + " and says "
              + lastToken);
    }
    lastName = lease.value();
  }

  /** Reads from the newest report back to the last one known; the oldest comes first. */
  private Deque<FleetReport> readNewReports(String newest) {
    Deque<FleetReport> reports = new ArrayDeque<>();
    try {
      for (String name = newest; !name.equals(lastName); name = reports.getFirst().previous()) {
        if (name.isEmpty()) {
          violations.add(
              "the reports from "
                  + newest
                  + " back do not lead to "
                  + lastName
                  + ", which was published");
          break;
        }
        reports.addFirst(
            LeaseCodec.read(Files.readAllBytes(folder.resolve(name)), FleetReport.class));
      }
    } catch (IOException fault) {
      violations.add(newest + " is published and can't be read: " + fault);
    }
    return reports;
  }

  private void check(FleetReport report) {
    if (report.fencingToken() < lastToken) {
      violations.add(
          "report "
              + report.number()
              + " is by token "
              + report.fencingToken()
              + ", the one before by "
              + lastToken);
    }
    if (report.number() != ++count) {
      violations.add("report " + report.number() + " stands in place " + count);
    }
    lastToken = report.fencingToken();
    queriesCounted += report.window().getOrDefault(QUERY_COUNTER, 0L);
  }

  /** Returns how many queries all reports count together. */
  long queriesCounted() {
    return queriesCounted;
  }

  /** Returns how many reports were published. */
  int count() {
    return count;
  }

  List<String> violations() {
    return violations;
  }
}
