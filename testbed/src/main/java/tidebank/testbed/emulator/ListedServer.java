package tidebank.testbed.emulator;

import java.net.InetSocketAddress;

/** A shard server as discovery lists it. */
public interface ListedServer {
  /** Returns the name in the list, unique among all servers. */
  String name();

  /** Returns the address at which a router, counted from 0, reaches the server. */
  InetSocketAddress address(int router);
}
