package tidebank.testbed.scale;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import tidebank.testbed.scale.RawMeasurement.ProcessorTime;

/** Simulated routers on one event loop, with emulated discovery on another. */
final class SimulatedFleet implements AutoCloseable {
  private final Size size;
  private final long seed;
  private final DiscoveryHarness discovery;
  private final EventLoopThread thread = new EventLoopThread();
  private final List<SimulatedRouter> routers = new ArrayList<>();

  /** Starts discovery only; {@link #start} creates the routers. */
  SimulatedFleet(Size size, long seed) {
    this.size = size;
    this.seed = seed;
    discovery = new DiscoveryHarness(size, seed);
  }

  DiscoveryHarness discovery() {
    return discovery;
  }

  /** Creates all routers, then starts them. */
  void start() throws IOException {
    for (int i = 0; i < size.gatherers(); i++) {
      routers.add(
          new SimulatedRouter(
              RouterConfigs.config(size, i, discovery.address(i), seed), thread.loop()));
    }
    routers.forEach(SimulatedRouter::start);
  }

  SimulatedRouter router(int number) {
    return routers.get(number);
  }

  /** Returns the processor time that the two event loops have used so far. */
  ProcessorTime processorTime() {
    return new ProcessorTime(thread.processorTimeUs(), discovery.processorTimeUs());
  }

  /** Returns the number of requests to discovery that failed, over all routers. */
  long failedRequests() {
    return routers.stream().mapToLong(SimulatedRouter::failedRequests).sum();
  }

  @Override
  public void close() {
    routers.forEach(SimulatedRouter::close);
    thread.close();
    discovery.close();
  }
}
