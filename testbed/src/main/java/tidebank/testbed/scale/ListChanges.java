package tidebank.testbed.scale;

import java.util.SplittableRandom;
import tidebank.testbed.emulator.DiscoveryEmulator;
import tidebank.testbed.emulator.DiscoveryEmulator.Health;

/**
 * The changes of the list, drawn from a seed: a server drains, and with the next change is back.
 */
final class ListChanges {
  private static final long BORN_AS_BEFORE = 0;

  private final DiscoveryEmulator discovery;
  private final int servers;
  private final SplittableRandom chance;
  private int draining = -1;

  ListChanges(DiscoveryEmulator discovery, int servers, long seed) {
    this.discovery = discovery;
    this.servers = servers;
    chance = new SplittableRandom(seed);
  }

  void next() {
    if (draining < 0) {
      draining = chance.nextInt(servers);
      discovery.updateServer(draining, Health.Terminating, BORN_AS_BEFORE);
    } else {
      discovery.updateServer(draining, Health.Ready, BORN_AS_BEFORE);
      draining = -1;
    }
  }
}
