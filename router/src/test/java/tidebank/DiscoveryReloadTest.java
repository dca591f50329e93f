package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.scan;
import static tidebank.FakeSite.FakeDiscovery.http;

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
    site.gatherer()
        .reload(
            RouterConfig.read(
                Map.of(
                    "NODE_CONFIG", site.configFile().toString(),
                    "NODE_DISCOVERY", newDiscovery.address())));
  }

  /** Returns the complete list of the new address, without this server. */
  private String listWithout(FakeShardServer server) {
    return newDiscovery.list(true).replace(FakeDiscovery.line(server) + ",", "");
  }

  private void assertQueriesCompleteWithout(FakeShardServer... excluded) throws Exception {
    for (FakeShardServer server : excluded) {
      server.frames.clear();
    }
    try (FakeClient client = site.client()) {
      for (int i = 0; i < QUERIES; i++) {
        String query = scan("whole", "after" + i, 2000, 0.5, 0.25, 0.125, 0.125);
        assertThat(client.ask(query).status()).isEqualTo(200);
      }
    }
    for (FakeShardServer server : excluded) {
      assertThat(server.frames).as(server.id).isEmpty();
      assertThat(server.listener.isClosed()).isFalse();
    }
  }

  /**
   * A drain during the move is visible only as an absence from the new address's complete list; a
   * router that asked there for changes would keep sending to the server.
   */
  @Test
  void serverMissingFromTheNewCompleteListGetsNoRequests() throws Exception {
    site.start();
    site.discovery.call("after=41");
    site.discovery.change(server(0), "Terminating");
    site.discovery.call("after=42");
    // Server 2 drains during the move: the old address never reports it, the new one omits it.
    newDiscovery.instead = http(listWithout(server(2)));
    reload();
    assertThat(newDiscovery.call("")).isEqualTo("/registry/instances");
    newDiscovery.instead = null;
    newDiscovery.call("after=7");

    assertQueriesCompleteWithout(server(0), server(2));
  }

  /** A router that still watched the old address would miss the drain, or take it back. */
  @Test
  void drainReportedByTheNewAddressTakesEffect() throws Exception {
    site.start();
    site.discovery.call("after=41");
    reload();
    newDiscovery.call("after=7");
    newDiscovery.change(server(0), "Terminating");
    newDiscovery.call("after=8");
    // Changes at the old address are ignored.
    site.discovery.change(server(0), "Ready");
    server(0).health = "Terminating";

    assertQueriesCompleteWithout(server(0));
  }

  /** A router that forgot the drain when the address changed would send to a draining server. */
  @Test
  void drainFromOldAddressHoldsWhileNewOneIsUnavailable() throws Exception {
    site.start();
    site.discovery.call("after=41");
    site.discovery.change(server(0), "Terminating");
    site.discovery.call("after=42");
    newDiscovery.instead = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    reload();
    newDiscovery.call("/registry/instances");
    newDiscovery.call("/registry/instances");

    assertQueriesCompleteWithout(server(0));
    newDiscovery.instead = null;
    newDiscovery.call("after=7");
    assertQueriesCompleteWithout(server(0));
  }

  /** Without growing delays, a discovery that responds at once would be called in a tight loop. */
  @Test
  void callsBackOffWhileDiscoveryRespondsWithoutAChange() throws Exception {
    site.discovery.instead = http(site.discovery.list(true));
    site.start();
    site.discovery.call("after=41");
    long startedAtNanos = System.nanoTime();
    for (int i = 0; i < 4; i++) {
      site.discovery.call("after=41");
    }
    long elapsedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAtNanos);
    assertThat(elapsedMs).isGreaterThanOrEqualTo(MIN_FOUR_DELAYS_MS);
    // The next response contains a change, so the call after it is made at once.
    site.discovery.instead = null;
    site.discovery.change(server(0), "Terminating");
    site.discovery.call("after=42");
    assertQueriesCompleteWithout(server(0));
  }
}
