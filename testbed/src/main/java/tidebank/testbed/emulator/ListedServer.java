package tidebank.testbed.emulator;

import java.net.InetSocketAddress;

/** A shard server as discovery lists it. */
public interface ListedServer {
  /** Its name in the list, unique among all servers. */
  String name();

  /** Where this gatherer, counted from 0, reaches it. */
  InetSocketAddress address(int gatherer);
}
