package tidebank.testbed.scale;

import java.io.IOException;
import java.util.List;
import tidebank.testbed.scale.RawMeasurement.Descriptors;
import tidebank.testbed.scale.RawMeasurement.ProcessorTime;

/**
 * The measurement of one fleet size: simulated routers start, receive list changes and then hold
 * idle watches.
 */
final class Measurement {
  private Measurement() {}

  /**
   * Measures a size.
   *
   * @param listChanges number of list changes that each router receives
   * @throws IOException if a step times out or is interrupted, or a request to discovery failed
   */
  static RawMeasurement of(Size size, int listChanges, long seed) throws IOException {
    try (SimulatedFleet fleet = new SimulatedFleet(size, seed)) {
      return measure(fleet, size, listChanges);
    }
  }

  private static RawMeasurement measure(SimulatedFleet fleet, Size size, int listChanges)
      throws IOException {
    DiscoveryHarness discovery = fleet.discovery();
    long descriptorsBefore = ProcessStats.openDescriptors();
    long heapBefore = ProcessStats.retainedHeapBytes();
    ProcessorTime beforeLists = fleet.processorTime();
    fleet.start();
    List<Exchange> firstLists = discovery.awaitFirstLists();
    ProcessorTime afterLists = fleet.processorTime();
    long heap = ProcessStats.retainedHeapBytes() - heapBefore;
    long descriptorsOpened = ProcessStats.openDescriptors() - descriptorsBefore;
    ProcessorTime beforeChanges = fleet.processorTime();
    List<Exchange> changes = discovery.applyChanges(listChanges);
    ProcessorTime afterChanges = fleet.processorTime();
    List<Exchange> idle = discovery.endIdleWatches();
    checkNoRequestFailed(fleet, size);
    return new RawMeasurement(
        size,
        listChanges,
        firstLists,
        changes,
        idle,
        afterLists.minus(beforeLists),
        afterChanges.minus(beforeChanges),
        heap,
        splitDescriptors(size, descriptorsOpened, discovery.connections()));
  }

  /**
   * Divides the descriptors opened since the start. Both ends of each connection are in this
   * process, and the accepted end belongs to discovery.
   */
  private static Descriptors splitDescriptors(Size size, long opened, long acceptedConnections) {
    long listeners = size.gatherers();
    return new Descriptors(opened - acceptedConnections, listeners + acceptedConnections);
  }

  private static void checkNoRequestFailed(SimulatedFleet fleet, Size size) throws IOException {
    long failed = fleet.failedRequests();
    if (failed > 0) {
      throw new IOException(
          size + ": measurement is invalid, " + failed + " requests to discovery failed");
    }
  }
}
