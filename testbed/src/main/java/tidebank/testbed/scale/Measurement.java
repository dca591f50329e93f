package tidebank.testbed.scale;

import java.io.IOException;
import java.util.List;
import tidebank.testbed.scale.Observed.Descriptors;
import tidebank.testbed.scale.Observed.ProcessorTime;

/** Measures a fleet of hollow gatherers of one size: started, told of changes, left idle. */
final class Measurement {
  private Measurement() {}

  static Observed of(Size size, int listChanges, long seed) throws IOException {
    try (SimulatedFleet fleet = new SimulatedFleet(size, seed)) {
      return observe(fleet, size, listChanges);
    }
  }

  private static Observed observe(SimulatedFleet fleet, Size size, int listChanges)
      throws IOException {
    DiscoveryRig discovery = fleet.discovery();
    long descriptorsAtRest = ProcessFigures.descriptors();
    long heapAtRest = ProcessFigures.retainedHeapBytes();
    ProcessorTime atRest = fleet.processorTime();
    fleet.begin();
    List<Exchange> firstLists = discovery.firstLists();
    ProcessorTime listed = fleet.processorTime();
    long heap = ProcessFigures.retainedHeapBytes() - heapAtRest;
    long descriptorsMore = ProcessFigures.descriptors() - descriptorsAtRest;
    ProcessorTime beforeChanges = fleet.processorTime();
    List<Exchange> changes = discovery.change(listChanges);
    ProcessorTime changed = fleet.processorTime();
    List<Exchange> idle = discovery.idle();
    checkNoCallFailed(fleet, size);
    return new Observed(
        size,
        listChanges,
        firstLists,
        changes,
        idle,
        listed.minus(atRest),
        changed.minus(beforeChanges),
        heap,
        descriptors(size, descriptorsMore, discovery.connections()));
  }

  /** Both ends of a connection are in this process; the accepted ones are discovery's. */
  private static Descriptors descriptors(Size size, long more, long accepted) {
    long listeners = size.gatherers();
    return new Descriptors(more - accepted, listeners + accepted);
  }

  private static void checkNoCallFailed(SimulatedFleet fleet, Size size) throws IOException {
    long failed = fleet.callsFailed();
    if (failed > 0) {
      throw new IOException(
          size + ": " + failed + " calls to discovery failed, so the counts say nothing");
    }
  }
}
