package tidebank.testbed.scale;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import tidebank.config.RouterConfig;
import tidebank.testbed.deployment.Deployment;

/** The configuration of the gatherers of a scale run; a hollow and a real one read the same. */
final class RouterFiles {
  private static final int SOCKETS = 1024;
  private static final String ANY_PORT = "127.0.0.1:0";

  private RouterFiles() {}

  static RouterConfig config(Size size, int gatherer, InetSocketAddress discovery, long seed)
      throws IOException {
    String text =
        Deployment.standard()
            .routerConfigJson(
                "g" + gatherer,
                ANY_PORT,
                discovery.getHostString() + ":" + discovery.getPort(),
                String.format("%016x", seed + gatherer),
                size.gatherers(),
                size.servers(),
                SOCKETS);
    Path file = Files.createTempFile("tidebank-scale-", ".json");
    try {
      Files.writeString(file, text);
      return RouterConfig.read(Map.of("NODE_CONFIG", file.toString()));
    } finally {
      Files.delete(file);
    }
  }
}
