package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.scan;

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
 * When a server that had drained for seconds was listed as gone, all gatherers held themselves to
 * have stood still for as long: the end of its drain grace, seconds ago, was set as a timer once
 * more, and an overdue timer is how a gatherer tells a standstill. Requests that came with that
 * list were taken to be as old and turned away, and a shutdown within the next seconds was cut
 * short. Six idle gatherers logged "the event loop was late by 959 ms", "960 ms", "971 ms", "961
 * ms", "967 ms" and "964 ms" within 70 ms of the list that named the server gone; one with ten
 * requests a second "late by 5529 ms" between answers of 49 ms.
 */
@Timeout(30)
class DrainedServerGoneTest {
  /** Longer than the drain grace of the settings and the time that the requests have. */
  private static final long DRAINED_MS = 2000;

  private static final int TIME_LEFT_MS = 900;
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

  /** What the gatherer does when it has the list that a server which drained long ago is gone. */
  enum Then {
    TAKES_REQUESTS,
    IS_TOLD_TO_END
  }

  @ParameterizedTest
  @EnumSource(Then.class)
  void aListThatADrainedServerIsGoneIsNoStandstill(Then then) throws Exception {
    site.start();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(site.client());
      assertThat(clients.get(i).ask(scan("whole", "before" + i, 2900, 1)).status()).isEqualTo(200);
    }
    FakeShardServer drained = site.servers.get(3);
    site.discovery.call("after=41");
    site.discovery.change(drained, "Terminating");
    site.discovery.call("after=42");
    TimeUnit.MILLISECONDS.sleep(DRAINED_MS);
    if (then == Then.TAKES_REQUESTS) {
      CountDownLatch go = site.stallEventLoop();
      site.discovery.change(drained, "Gone");
      // The list is there first, so that it is read before the requests.
      TimeUnit.MILLISECONDS.sleep(STALL_MS);
      ask();
      go.countDown();
    } else {
      site.discovery.change(drained, "Gone");
      site.discovery.call("after=43");
      site.gatherer().stop();
      // Well within the 0.6 s for which clients that are here are served on.
      TimeUnit.MILLISECONDS.sleep(STALL_MS);
      ask();
    }
    for (FakeClient client : clients) {
      assertThat(client.read().status()).isEqualTo(200);
    }
  }

  private void ask() throws IOException {
    for (FakeClient client : clients) {
      client.send(scan("whole", "with" + clients.indexOf(client), TIME_LEFT_MS, 1));
    }
  }
}
