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

/** What is sent to discovery is byte for byte what it was. */
@Timeout(30)
class DiscoveryCallsFixtureTest {
  private final FakeSite site = new FakeSite();
  private ServerSocket discovery;
  private QueryRouter gatherer;

  @AfterEach
  void close() throws Exception {
    gatherer.stop().get();
    discovery.close();
    site.close();
  }

  private static String request(Socket socket) throws IOException {
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

  private static void answer(Socket socket, String answer) throws IOException {
    socket.getOutputStream().write(answer.getBytes(US_ASCII));
  }

  private static String changes(int version) {
    return http(
        "{\"seq\":"
            + version
            + ",\"whole\":false,\"hosts\":[{\"host\":\"s9\",\"dial\":\"127.0.0.1:9\",\"block\":0,"
            + "\"health\":\"Terminating\"}]}");
  }

  private static String http(String body) {
    return FakeDiscovery.http(body);
  }

  @Test
  void firstCallWatchRenewalsAndCallsAfterALossAreTheStoredOnes() throws Exception {
    discovery = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    String address = "127.0.0.1:" + discovery.getLocalPort();
    gatherer =
        QueryRouter.start(
            RouterConfig.read(
                Map.of("NODE_CONFIG", site.configFile().toString(), "NODE_DISCOVERY", address)));
    StringBuilder calls = new StringBuilder();
    try (Socket first = discovery.accept()) {
      calls.append("the first watch, from the known list:\n").append(request(first));
      answer(first, changes(42));
      calls.append("its renewal:\n").append(request(first));
      answer(first, changes(43));
      calls.append("the next renewal:\n").append(request(first));
      answer(first, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    }
    try (Socket second = discovery.accept()) {
      calls.append("after a refusal:\n").append(request(second));
      answer(second, changes(7));
    }
    try (Socket third = discovery.accept()) {
      calls.append("after a version that went back:\n").append(request(third));
      answer(third, http(site.discovery.list(true)));
      calls.append("behind a whole list:\n").append(request(third));
    }
    StoredCases.assertMatchesFile(
        "discovery/calls.txt", calls.toString().replace(address, "ADDRESS"));
  }
}
