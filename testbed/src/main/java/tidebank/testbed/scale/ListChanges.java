package tidebank.testbed.scale;

import java.util.SplittableRandom;
import tidebank.testbed.emulator.DiscoveryEmulator;
import tidebank.testbed.emulator.DiscoveryEmulator.Health;

/**
 * A seeded sequence of endpoint list changes. In turn, a randomly chosen server starts to drain and
 * returns to service.
 */
final class ListChanges {
  /** Tells the emulator that the server did not restart. */
  private static final long KEEP_START_TIME = 0;

  private final DiscoveryEmulator discovery;
  private final int servers;
  private final SplittableRandom random;

  /** Number of the draining server, or -1 if none drains. */
  private int drainingServer = -1;

  ListChanges(DiscoveryEmulator discovery, int servers, long seed) {
    this.discovery = discovery;
    this.servers = servers;
    random = new SplittableRandom(seed);
  }

  /** Applies the next change. */
  void applyNext() {
    if (drainingServer < 0) {
      drainingServer = random.nextInt(servers);
      discovery.updateServer(drainingServer, Health.Terminating, KEEP_START_TIME);
    } else {
      discovery.updateServer(drainingServer, Health.Ready, KEEP_START_TIME);
      drainingServer = -1;
    }
  }
}
