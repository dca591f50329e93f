package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeShardServer;

/** Guards against input that is lost, or dated wrongly, when it waits for its turn to be parsed. */
@Timeout(30)
class WaitingInputTest {
  private static final String READINESS_CHECK = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";

  /** Far more than is parsed of one connection in a pass. */
  private static final int READINESS_CHECKS = 3000;

  private static final int TIMEOUT_MS = 2900;
  private static final int PIPELINING_CLIENTS = 20;
  private static final int SEGMENTED_QUERIES = 200;

  /** As many as a connection may have pending. */
  private static final int PIPELINED_QUERIES = 16;

  private final FakeSite site = new FakeSite();

  @BeforeEach
  void start() throws Exception {
    site.limits.put("mostHeld", 2000);
    site.start();
  }

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  @Test
  void allRequestsOfOneWriteAreAnsweredInOrder() throws Exception {
    try (FakeClient client = site.connectClient()) {
      client.send(READINESS_CHECK.repeat(READINESS_CHECKS));
      client.send(queryRequest("whole", "last", TIMEOUT_MS, 1));
      for (int i = 0; i < READINESS_CHECKS; i++) {
        assertThat(client.readResponse().body()).isEqualTo("ok\n");
      }
      assertThat(client.readResponse().body()).contains("value of last.0");
    }
  }

  /** Input that waited earlier on the connection must not shorten the time of a later query. */
  @Test
  void queryAfterWaitingInputHasItsTimeoutFromItsArrival() throws Exception {
    try (FakeClient client = site.connectClient()) {
      client.send(READINESS_CHECK.repeat(READINESS_CHECKS));
      for (int i = 0; i < READINESS_CHECKS; i++) {
        assertThat(client.readResponse().status()).isEqualTo(200);
      }
      TimeUnit.MILLISECONDS.sleep(500);
      site.servers.forEach(server -> server.frames.clear());
      assertThat(client.sendAndRead(queryRequest("whole", "later", TIMEOUT_MS, 1)).status())
          .isEqualTo(200);
    }
    List<Long> timeoutsMs = new ArrayList<>();
    for (FakeShardServer server : site.servers) {
      server.frames.stream()
          .filter(frame -> frame.content().startsWith("later"))
          .map(frame -> Long.parseLong(frame.content().replaceAll("(?s).* d=(\\d+) .*", "$1")))
          .forEach(timeoutsMs::add);
    }
    assertThat(timeoutsMs).isNotEmpty().allMatch(timeoutMs -> timeoutMs > TIMEOUT_MS - 400);
  }

  /** The end of a request in the last read of a pass must not look like input left unread. */
  @Test
  void queryInManySegmentsIsServedWhateverReadItEndsIn() throws Exception {
    for (int i = 0; i < SEGMENTED_QUERIES; i++) {
      try (FakeClient client = site.connectClient()) {
        String query =
            queryRequest("whole", "segments" + i, TIMEOUT_MS, 1)
                .replace("Host: x", i % 2 == 0 ? "Host: x" : "Connection: close");
        for (String character : query.split("")) {
          client.send(character);
        }
        assertThat(client.readResponse().status()).isEqualTo(200);
      }
    }
  }

  /** Requests that clients may pipeline were refused if many clients sent them at once. */
  @Test
  void pipelinedQueriesOfManyClientsAreAllServed() throws Exception {
    List<FakeClient> clients = new ArrayList<>();
    for (int i = 0; i < PIPELINING_CLIENTS; i++) {
      clients.add(site.connectClient());
      assertThat(clients.get(i).fetchReadinessStatus()).isEqualTo(200);
    }
    var resume = site.stallEventLoop();
    for (int i = 0; i < PIPELINING_CLIENTS; i++) {
      StringBuilder queries = new StringBuilder();
      for (int j = 0; j < PIPELINED_QUERIES; j++) {
        queries.append(queryRequest("whole", "q" + i + "-" + j, TIMEOUT_MS, 1));
      }
      clients.get(i).send(queries.toString());
    }
    resume.countDown();
    for (FakeClient client : clients) {
      for (int j = 0; j < PIPELINED_QUERIES; j++) {
        assertThat(client.readResponse().status()).isEqualTo(200);
      }
      client.close();
    }
  }
}
