package tidebank;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tidebank.FakeSite.FakeDiscovery;
import tidebank.config.RouterConfig;
import tidebank.fixtures.StoredCases;
import tidebank.runtime.QueryRouter;

/** Guards the requests sent to discovery against unintended changes, byte for byte. */
@Timeout(30)
class DiscoveryCallsFixtureTest {
  private final FakeSite site = new FakeSite();
  private ServerSocket discovery;
  private QueryRouter router;

  @AfterEach
  void close() throws Exception {
    router.stop().get();
    discovery.close();
    site.close();
  }

  private static String readRequest(Socket socket) throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    while (!bytes.toString(US_ASCII).endsWith("\r\n\r\n")) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException();
      }
      bytes.write(next);
    }
    return bytes.toString(US_ASCII);
  }

  private static void respond(Socket socket, String response) throws IOException {
    socket.getOutputStream().write(response.getBytes(US_ASCII));
  }

  private static String delta(int version) {
    return httpResponse(
        "{\"seq\":"
            + version
            + ",\"whole\":false,\"hosts\":[{\"host\":\"s9\",\"dial\":\"127.0.0.1:9\",\"block\":0,"
            + "\"health\":\"Terminating\"}]}");
  }

  private static String httpResponse(String body) {
    return FakeDiscovery.httpResponse(body);
  }

  @Test
  void callsOfFirstRenewedAndLostWatchesAreAsStored() throws Exception {
    discovery = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    String address = "127.0.0.1:" + discovery.getLocalPort();
    router =
        QueryRouter.start(
            RouterConfig.read(
                Map.of(
                    "NODE_CONFIG", site.writeConfigFile().toString(), "NODE_DISCOVERY", address)));
    StringBuilder calls = new StringBuilder();
    try (Socket first = discovery.accept()) {
      calls.append("the first watch, from the known list:\n").append(readRequest(first));
      respond(first, delta(42));
      calls.append("its renewal:\n").append(readRequest(first));
      respond(first, delta(43));
      calls.append("the next renewal:\n").append(readRequest(first));
      respond(first, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    }
    try (Socket second = discovery.accept()) {
      calls.append("after a refusal:\n").append(readRequest(second));
      respond(second, delta(7));
    }
    try (Socket third = discovery.accept()) {
      calls.append("after a version that went back:\n").append(readRequest(third));
      respond(third, httpResponse(site.discovery.listJson(true)));
      calls.append("behind a whole list:\n").append(readRequest(third));
    }
    StoredCases.assertMatchesFile(
        "discovery/calls.txt", calls.toString().replace(address, "ADDRESS"));
  }
}
