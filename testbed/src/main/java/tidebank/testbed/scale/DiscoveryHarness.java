package tidebank.testbed.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import tidebank.runtime.Clock;
import tidebank.testbed.emulator.DiscoveryEmulator;

/**
 * A discovery emulator with an endpoint list of simulated shard servers, and a log of its
 * exchanges. It runs the steps of a measurement, for simulated and real routers alike. Each step
 * waits for all routers.
 */
final class DiscoveryHarness implements AutoCloseable {
  private static final long FIRST_VERSION = 1;

  private final EventLoopThread thread = new EventLoopThread();
  private final ExchangeLog exchanges;
  private final DiscoveryEmulator discovery;
  private final ListChanges changes;
  private long version = FIRST_VERSION;

  DiscoveryHarness(Size size, long seed) {
    exchanges = new ExchangeLog(size.gatherers());
    List<SimulatedServer> servers =
        IntStream.range(0, size.servers()).mapToObj(SimulatedServer::new).toList();
    discovery = new DiscoveryEmulator(servers, size.gatherers(), null, new Clock(), thread.loop());
    discovery.setConnectionObserver(
        (router, pipeline) -> ExchangeRecorder.install(router, pipeline, exchanges));
    changes = new ListChanges(discovery, size.servers(), seed);
    discovery.open();
  }

  /** Returns the address at which a router, numbered from 0, reaches discovery. */
  InetSocketAddress address(int router) {
    return discovery.address(router);
  }

  /** Returns the processor time of discovery's event loop, in microseconds. */
  double processorTimeUs() {
    return thread.processorTimeUs();
  }

  /** Returns the number of connections accepted so far. */
  int connections() {
    return exchanges.connections();
  }

  /**
   * Waits until each router has its first endpoint list and returns the exchanges that sent
   * snapshots.
   */
  List<Exchange> awaitFirstLists() throws IOException {
    exchanges.awaitVersion(version);
    return takeOfKind(ExchangeKind.SNAPSHOT);
  }

  /**
   * Changes the endpoint list several times, each time after all routers have the previous version.
   * Returns the exchanges that sent deltas.
   */
  List<Exchange> applyChanges(int times) throws IOException {
    for (int i = 0; i < times; i++) {
      version++;
      changes.applyNext();
      exchanges.awaitVersion(version);
    }
    return takeOfKind(ExchangeKind.DELTA);
  }

  /**
   * Ends all watches with an empty response, as at their wait limit, and returns one exchange of
   * each router.
   */
  List<Exchange> endIdleWatches() throws IOException {
    discovery.expireWatches();
    exchanges.awaitResponses(ExchangeKind.EMPTY);
    Set<Integer> seenRouters = new HashSet<>();
    return takeOfKind(ExchangeKind.EMPTY).stream()
        .filter(exchange -> seenRouters.add(exchange.router()))
        .toList();
  }

  private List<Exchange> takeOfKind(ExchangeKind kind) {
    List<Exchange> taken = new ArrayList<>(exchanges.takeAll());
    taken.removeIf(exchange -> exchange.kind() != kind);
    return taken;
  }

  @Override
  public void close() {
    discovery.stop();
    thread.close();
  }
}
