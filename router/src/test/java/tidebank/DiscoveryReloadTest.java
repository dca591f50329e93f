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

/** A new configuration moves discovery while shard servers drain, and a discovery that is hasty. */
@Timeout(30)
class DiscoveryReloadTest {
  private static final int SCANS = 8;

  /** What the pauses behind four early answers without news take together at the least. */
  private static final long FOUR_PAUSES_MS = 1_875;

  private final FakeSite site = new FakeSite();
  private final FakeDiscovery next = new FakeDiscovery(site);

  @BeforeEach
  void start() throws Exception {
    next.version = 7;
  }

  @AfterEach
  void close() throws Exception {
    site.close();
    next.close();
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
                    "NODE_DISCOVERY", next.address())));
  }

  /** The list at the new address, which counts its versions anew, without this server. */
  private String listWithout(FakeShardServer server) {
    return next.list(true).replace(FakeDiscovery.line(server) + ",", "");
  }

  private void scansAreWholeWithout(FakeShardServer... left) throws Exception {
    for (FakeShardServer server : left) {
      server.frames.clear();
    }
    try (FakeClient client = site.client()) {
      for (int i = 0; i < SCANS; i++) {
        String scan = scan("whole", "after" + i, 2000, 0.5, 0.25, 0.125, 0.125);
        assertThat(client.ask(scan).status()).isEqualTo(200);
      }
    }
    for (FakeShardServer server : left) {
      assertThat(server.frames).as(server.id).isEmpty();
      assertThat(server.listener.isClosed()).isFalse();
    }
  }

  @Test
  void aWholeListFromTheNewAddressEndsAServerThatItDoesNotNameThoughThatStillAnswers()
      throws Exception {
    site.start();
    site.discovery.call("after=41");
    site.discovery.change(server(0), "Terminating");
    site.discovery.call("after=42");
    // This one drains as the address moves: the old address never tells, the new one leaves it out.
    next.instead = http(listWithout(server(2)));
    reload();
    assertThat(next.call("")).isEqualTo("/registry/instances");
    next.instead = null;
    next.call("after=7");

    scansAreWholeWithout(server(0), server(2));
  }

  @Test
  void aDrainThatBeginsAtTheNewAddressIsHeardThere() throws Exception {
    site.start();
    site.discovery.call("after=41");
    reload();
    next.call("after=7");
    next.change(server(0), "Terminating");
    next.call("after=8");
    // What the old address still tells is of no use.
    site.discovery.change(server(0), "Ready");
    server(0).health = "Terminating";

    scansAreWholeWithout(server(0));
  }

  @Test
  void aDrainThatTheOldAddressToldStandsWhileTheNewOneIsDown() throws Exception {
    site.start();
    site.discovery.call("after=41");
    site.discovery.change(server(0), "Terminating");
    site.discovery.call("after=42");
    next.instead = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    reload();
    next.call("/registry/instances");
    next.call("/registry/instances");

    scansAreWholeWithout(server(0));
    next.instead = null;
    next.call("after=7");
    scansAreWholeWithout(server(0));
  }

  @Test
  void aDiscoveryThatAnswersEachWatchAtOnceWithTheKnownListIsAskedEverMoreSeldom()
      throws Exception {
    site.discovery.instead = http(site.discovery.list(true));
    site.start();
    site.discovery.call("after=41");
    long first = System.nanoTime();
    for (int i = 0; i < 4; i++) {
      site.discovery.call("after=41");
    }
    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - first);
    assertThat(tookMs).isGreaterThanOrEqualTo(FOUR_PAUSES_MS);
    // A change is told by the next call, and the one behind it is made at once.
    site.discovery.instead = null;
    site.discovery.change(server(0), "Terminating");
    site.discovery.call("after=42");
    scansAreWholeWithout(server(0));
  }
}
