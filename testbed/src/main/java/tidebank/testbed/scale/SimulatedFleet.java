package tidebank.testbed.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tidebank.testbed.scale.Observed.ProcessorTime;

/** Hollow gatherers on one event loop, with discovery on another. */
final class SimulatedFleet implements AutoCloseable {
  private final Size size;
  private final long seed;
  private final DiscoveryRig discovery;
  private final EventLoopThread thread = new EventLoopThread();
  private final List<SimulatedRouter> gatherers = new ArrayList<>();

  /** Opens discovery; no gatherer is there yet. */
  SimulatedFleet(Size size, long seed) {
    this.size = size;
    this.seed = seed;
    discovery = new DiscoveryRig(size, seed);
  }

  DiscoveryRig discovery() {
    return discovery;
  }

  /** Makes all gatherers and has them begin at once. */
  void begin() throws IOException {
    for (int i = 0; i < size.gatherers(); i++) {
      gatherers.add(
          new SimulatedRouter(
              RouterFiles.config(size, i, discovery.address(i), seed), thread.loop()));
    }
    gatherers.forEach(SimulatedRouter::begin);
  }

  SimulatedRouter gatherer(int number) {
    return gatherers.get(number);
  }

  /** What the two event loops have taken so far. */
  ProcessorTime processorTime() {
    return new ProcessorTime(thread.processorTimeUs(), discovery.processorTimeUs());
  }

  /** How many calls to discovery came to nothing. */
  long callsFailed() {
    return gatherers.stream().mapToLong(SimulatedRouter::callsFailed).sum();
  }

  @Override
  public void close() {
    gatherers.forEach(SimulatedRouter::close);
    thread.close();
    discovery.close();
  }
}
