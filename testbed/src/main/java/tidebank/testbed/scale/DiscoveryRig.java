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
 * Discovery's stand-in with a list of hollow shard servers, and a record of each call to it. It
 * does the steps that a measurement is made of, whoever the gatherers are; each ends when all of
 * them have what was told.
 */
final class DiscoveryRig implements AutoCloseable {
  private static final long FIRST_VERSION = 1;

  private final EventLoopThread thread = new EventLoopThread();
  private final Exchanges exchanges;
  private final DiscoveryEmulator discovery;
  private final ListChanges changes;
  private long version = FIRST_VERSION;

  DiscoveryRig(Size size, long seed) {
    exchanges = new Exchanges(size.gatherers());
    List<SimulatedServer> servers =
        IntStream.range(0, size.servers()).mapToObj(SimulatedServer::new).toList();
    discovery = new DiscoveryEmulator(servers, size.gatherers(), null, new Clock(), thread.loop());
    discovery.setConnectionObserver(
        (gatherer, pipeline) -> ExchangeRecorder.record(gatherer, pipeline, exchanges));
    changes = new ListChanges(discovery, size.servers(), seed);
    discovery.open();
  }

  InetSocketAddress address(int gatherer) {
    return discovery.address(gatherer);
  }

  double processorTimeUs() {
    return thread.processorTimeUs();
  }

  /** Connections accepted so far. */
  int connections() {
    return exchanges.connections();
  }

  /** The calls in which each gatherer gets its first list. */
  List<Exchange> firstLists() throws IOException {
    exchanges.awaitAcknowledged(version);
    return only(ExchangeKind.WHOLE_LIST);
  }

  /** Changes the list so many times, one after the other. */
  List<Exchange> change(int times) throws IOException {
    for (int i = 0; i < times; i++) {
      version++;
      changes.next();
      exchanges.awaitAcknowledged(version);
    }
    return only(ExchangeKind.CHANGES);
  }

  /** Ends the wait of each watch with nothing to tell; one call of each gatherer. */
  List<Exchange> idle() throws IOException {
    discovery.expireWatches();
    exchanges.awaitAnswered(ExchangeKind.NOTHING);
    Set<Integer> seen = new HashSet<>();
    return only(ExchangeKind.NOTHING).stream()
        .filter(exchange -> seen.add(exchange.gatherer()))
        .toList();
  }

  private List<Exchange> only(ExchangeKind kind) {
    List<Exchange> some = new ArrayList<>(exchanges.take());
    some.removeIf(exchange -> exchange.kind() != kind);
    return some;
  }

  @Override
  public void close() {
    discovery.stop();
    thread.close();
  }
}
