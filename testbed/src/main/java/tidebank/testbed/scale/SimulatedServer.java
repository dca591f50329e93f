package tidebank.testbed.scale;

import java.net.InetSocketAddress;
import tidebank.testbed.emulator.ListedServer;

/** A shard server that is listed and nothing else: no process, no listener. */
record SimulatedServer(int number) implements ListedServer {
  /** A hollow gatherer connects to no shard server; a real one does only for scans. */
  private static final InetSocketAddress NOWHERE = new InetSocketAddress("127.0.0.1", 10_001);

  @Override
  public String name() {
    return "s" + number;
  }

  @Override
  public InetSocketAddress address(int gatherer) {
    return NOWHERE;
  }
}
