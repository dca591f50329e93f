package tidebank.testbed.scale;

import java.net.InetSocketAddress;
import tidebank.testbed.emulator.ListedServer;

/** A shard server that exists only in the endpoint list, without a process or a listener. */
record SimulatedServer(int number) implements ListedServer {
  /** Unused: simulated routers connect to no shard server, and real ones do so only for queries. */
  private static final InetSocketAddress UNUSED_ADDRESS =
      new InetSocketAddress("127.0.0.1", 10_001);

  @Override
  public String name() {
    return "s" + number;
  }

  @Override
  public InetSocketAddress address(int router) {
    return UNUSED_ADDRESS;
  }
}
