package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;
import static tidebank.FakeSite.FakeDiscovery.httpResponse;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeDiscovery;
import tidebank.FakeSite.FakeShardServer;
import tidebank.config.RouterConfig;

/**
 * Guards against lost drains when discovery moves to another address, and against calls in a tight
 * loop when it responds early without a change.
 */
@Timeout(30)
class DiscoveryReloadTest {
  private static final int QUERIES = 8;

  /** The minimum sum of the delays after four early responses: 125 + 250 + 500 + 1000 ms. */
  private static final long MIN_FOUR_DELAYS_MS = 1_875;

  private final FakeSite site = new FakeSite();
  private final FakeDiscovery newDiscovery = new FakeDiscovery(site);

  @BeforeEach
  void start() throws Exception {
    newDiscovery.version = 7;
  }

  @AfterEach
  void close() throws Exception {
    site.close();
    newDiscovery.close();
  }

  private FakeShardServer server(int number) {
    return site.servers.get(number);
  }

  private void reload() throws Exception {
    site.router()
        .reload(
            RouterConfig.read(
                Map.of(
                    "NODE_CONFIG", site.writeConfigFile().toString(),
                    "NODE_DISCOVERY", newDiscovery.address())));
  }

  /** Returns the complete list of the new address, without this server. */
  private String listWithout(FakeShardServer server) {
    return newDiscovery.listJson(true).replace(FakeDiscovery.hostJson(server) + ",", "");
  }

  private void assertQueriesCompleteWithout(FakeShardServer... excluded) throws Exception {
    for (FakeShardServer server : excluded) {
      server.frames.clear();
    }
    try (FakeClient client = site.connectClient()) {
      for (int i = 0; i < QUERIES; i++) {
        String query = queryRequest("whole", "after" + i, 2000, 0.5, 0.25, 0.125, 0.125);
        assertThat(client.sendAndRead(query).status()).isEqualTo(200);
      }
    }
    for (FakeShardServer server : excluded) {
      assertThat(server.frames).as(server.id).isEmpty();
      assertThat(server.serverSocket.isClosed()).isFalse();
    }
  }

  /**
   * A drain during the move is visible only as an absence from the new address's complete list; a
   * router that asked there for changes would keep sending to the server.
   */
  @Test
  void serverMissingFromTheNewCompleteListGetsNoRequests() throws Exception {
    site.start();
    site.discovery.awaitCall("after=41");
    site.discovery.updateHealth(server(0), "Terminating");
    site.discovery.awaitCall("after=42");
    // Server 2 drains during the move: the old address never reports it, the new one omits it.
    newDiscovery.responseOverride = httpResponse(listWithout(server(2)));
    reload();
    assertThat(newDiscovery.awaitCall("")).isEqualTo("/registry/instances");
    newDiscovery.responseOverride = null;
    newDiscovery.awaitCall("after=7");

    assertQueriesCompleteWithout(server(0), server(2));
  }

  /** A router that still watched the old address would miss the drain, or take it back. */
  @Test
  void drainReportedByTheNewAddressTakesEffect() throws Exception {
    site.start();
    site.discovery.awaitCall("after=41");
    reload();
    newDiscovery.awaitCall("after=7");
    newDiscovery.updateHealth(server(0), "Terminating");
    newDiscovery.awaitCall("after=8");
    // Changes at the old address are ignored.
    site.discovery.updateHealth(server(0), "Ready");
    server(0).health = "Terminating";

    assertQueriesCompleteWithout(server(0));
  }

  /** A router that forgot the drain when the address changed would send to a draining server. */
  @Test
  void drainFromOldAddressHoldsWhileNewOneIsUnavailable() throws Exception {
    site.start();
    site.discovery.awaitCall("after=41");
    site.discovery.updateHealth(server(0), "Terminating");
    site.discovery.awaitCall("after=42");
    newDiscovery.responseOverride = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    reload();
    newDiscovery.awaitCall("/registry/instances");
    newDiscovery.awaitCall("/registry/instances");

    assertQueriesCompleteWithout(server(0));
    newDiscovery.responseOverride = null;
    newDiscovery.awaitCall("after=7");
    assertQueriesCompleteWithout(server(0));
  }

  /** Without growing delays, a discovery that responds at once would be called in a tight loop. */
  @Test
  void callsBackOffWhileDiscoveryRespondsWithoutAChange() throws Exception {
    site.discovery.responseOverride = httpResponse(site.discovery.listJson(true));
    site.start();
    site.discovery.awaitCall("after=41");
    long startedAtNanos = System.nanoTime();
    for (int i = 0; i < 4; i++) {
      site.discovery.awaitCall("after=41");
    }
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
    assertThat(elapsedMs).isGreaterThanOrEqualTo(MIN_FOUR_DELAYS_MS);
    // The next response contains a change, so the call after it is made at once.
    site.discovery.responseOverride = null;
    site.discovery.updateHealth(server(0), "Terminating");
    site.discovery.awaitCall("after=42");
    assertQueriesCompleteWithout(server(0));
  }
}
