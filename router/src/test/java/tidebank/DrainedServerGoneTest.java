package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeShardServer;

/**
 * Guards against mistaking a server that drained for seconds and is then listed as gone for a stall
 * of the event loop. Its drain grace, over for seconds, was scheduled once more as an overdue
 * timer, which a router takes for a stall: it rejected requests that arrived with the list as too
 * old, and cut short a shutdown in the next seconds.
 */
@Timeout(30)
class DrainedServerGoneTest {
  /** Longer than the configured drain grace and the timeout of the requests. */
  private static final long DRAINED_MS = 2000;

  private static final int TIMEOUT_MS = 900;
  private static final int CLIENTS = 10;
  private static final long STALL_MS = 100;

  private final FakeSite site = new FakeSite();
  private final List<FakeClient> clients = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (FakeClient client : clients) {
      client.close();
    }
    site.close();
  }

  /** What happens next to the router that receives the list. */
  enum NextEvent {
    REQUESTS_ARRIVE,
    SHUTDOWN_BEGINS
  }

  @ParameterizedTest
  @EnumSource(NextEvent.class)
  void requestsAreAnsweredAfterADrainedServerIsListedAsGone(NextEvent nextEvent) throws Exception {
    site.start();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(site.connectClient());
      assertThat(clients.get(i).sendAndRead(queryRequest("whole", "before" + i, 2900, 1)).status())
          .isEqualTo(200);
    }
    FakeShardServer drained = site.servers.get(3);
    site.discovery.awaitCall("after=41");
    site.discovery.updateHealth(drained, "Terminating");
    site.discovery.awaitCall("after=42");
    TimeUnit.MILLISECONDS.sleep(DRAINED_MS);
    if (nextEvent == NextEvent.REQUESTS_ARRIVE) {
      CountDownLatch resume = site.stallEventLoop();
      site.discovery.updateHealth(drained, "Gone");
      // Lets the list arrive first, so that it is read before the requests.
      TimeUnit.MILLISECONDS.sleep(STALL_MS);
      sendRequests();
      resume.countDown();
    } else {
      site.discovery.updateHealth(drained, "Gone");
      site.discovery.awaitCall("after=43");
      site.router().stop();
      // Well within the 0.6 s in which connected clients are still served.
      TimeUnit.MILLISECONDS.sleep(STALL_MS);
      sendRequests();
    }
    for (FakeClient client : clients) {
      assertThat(client.readResponse().status()).isEqualTo(200);
    }
  }

  private void sendRequests() throws IOException {
    for (FakeClient client : clients) {
      client.send(queryRequest("whole", "with" + clients.indexOf(client), TIMEOUT_MS, 1));
    }
  }
}
