package tidebank.testbed.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import tidebank.fleet.FleetReport;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.LeaseTable;

/**
 * The fleet's reports as they are published one after the other, read by somebody who is none of
 * the fleet: each follows the one before, tokens only grow, and their sums are the scans that were
 * sent. The observer's alone until the run is over.
 */
final class Reports {
  private static final String SCANS = "scans.throttled";

  private final Path folder;
  private final List<String> faults = new ArrayList<>();
  private String last = "";
  private long token;
  private long scans;
  private int count;

  Reports(Path folder) {
    this.folder = folder;
  }

  /** What is published now; whatever came since the last time is gone through. */
  void see(LeaseTable.TaskLease duty) {
    List<FleetReport> newer = new ArrayList<>();
    try {
      for (String name = duty.value(); !name.equals(last); ) {
        if (name.isEmpty()) {
          faults.add(
              "the reports from "
                  + duty.value()
                  + " back do not lead to "
                  + last
                  + ", which was published");
          break;
        }
        FleetReport report =
            LeaseCodec.read(
                Files.readAllBytes(folder.resolve("reports").resolve(name)), FleetReport.class);
        newer.add(0, report);
        name = report.previous();
      }
    } catch (IOException fault) {
      faults.add(duty.value() + " is published and can't be read: " + fault);
    }
    for (FleetReport report : newer) {
      if (report.fencingToken() < token) {
        faults.add(
            "report "
                + report.number()
                + " is by token "
                + report.fencingToken()
                + ", the one before by "
                + token);
      }
      if (report.number() != ++count) {
        faults.add("report " + report.number() + " stands in place " + count);
      }
      token = report.fencingToken();
      scans += report.window().getOrDefault(SCANS, 0L);
    }
    if (!newer.isEmpty() && duty.publishingToken() != token) {
      faults.add(
          duty.value()
              + " was published by token "
              + duty.publishingToken()
              + " and says "
              + token);
    }
    last = duty.value();
  }

  long scans() {
    return scans;
  }

  int count() {
    return count;
  }

  List<String> faults() {
    return faults;
  }
}
