package tidebank.testbed.scale;

import java.io.IOException;
import java.util.List;
import tidebank.testbed.scale.Observed.Descriptors;
import tidebank.testbed.scale.Observed.ProcessorTime;

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
  static Observed of(Size size, int listChanges, long seed) throws IOException {
    try (SimulatedFleet fleet = new SimulatedFleet(size, seed)) {
      return measure(fleet, size, listChanges);
    }
  }

  private static Observed measure(SimulatedFleet fleet, Size size, int listChanges)
      throws IOException {
    DiscoveryRig discovery = fleet.discovery();
    long descriptorsBefore = ProcessFigures.descriptors();
    long heapBefore = ProcessFigures.retainedHeapBytes();
    ProcessorTime beforeLists = fleet.processorTime();
    fleet.begin();
    List<Exchange> firstLists = discovery.firstLists();
    ProcessorTime afterLists = fleet.processorTime();
    long heap = ProcessFigures.retainedHeapBytes() - heapBefore;
    long descriptorsOpened = ProcessFigures.descriptors() - descriptorsBefore;
    ProcessorTime beforeChanges = fleet.processorTime();
    List<Exchange> changes = discovery.change(listChanges);
    ProcessorTime afterChanges = fleet.processorTime();
    List<Exchange> idle = discovery.idle();
    checkNoRequestFailed(fleet, size);
    return new Observed(
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
    long failed = fleet.callsFailed();
    if (failed > 0) {
      throw new IOException(
          size + ": measurement is invalid, " + failed + " requests to discovery failed");
    }
  }
}
