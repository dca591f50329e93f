package tidebank.testbed.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import tidebank.config.RouterConfig;
import tidebank.testbed.deployment.Deployment;

/** The configuration of the routers of a scale run, the same for simulated and real routers. */
final class RouterConfigs {
  private static final int MAX_SOCKETS = 1024;
  private static final String LOOPBACK_ANY_PORT = "127.0.0.1:0";

  private RouterConfigs() {}

  /**
   * Returns the configuration of one router, read from a temporary file.
   *
   * @param router number of the router, from 0
   * @param discovery address of discovery for this router
   * @param seed seed of the run; the router's own seed is this plus its number
   */
  static RouterConfig config(Size size, int router, InetSocketAddress discovery, long seed)
      throws IOException {
    String content =
        Deployment.standard()
            .routerConfigJson(
                "g" + router,
                LOOPBACK_ANY_PORT,
                discovery.getHostString() + ":" + discovery.getPort(),
                String.format("%016x", seed + router),
                size.gatherers(),
                size.servers(),
                MAX_SOCKETS);
    Path file = Files.createTempFile("tidebank-scale-", ".json");
    try {
      Files.writeString(file, content);
      return RouterConfig.read(Map.of("NODE_CONFIG", file.toString()));
    } finally {
      Files.delete(file);
    }
  }
}
