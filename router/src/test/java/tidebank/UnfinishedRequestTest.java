package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeShardServer;
import tidebank.FakeSite.FakeShardServer.Frame;

/**
 * A client that wrote anything behind a request that was out lost that request: 2.5 s later its
 * connection was closed with no answer. One timer of a connection served two purposes, to end a
 * request that does not come whole and to end an answer that is not read, and the end of either
 * closed the connection over all that was accepted on it. An empty line was enough, which also
 * started the clock of the next request: one with 4,000 ms that came 2 s behind the line was given
 * "d=1997". Of four requests answered by their server after 2.8 s, three were closed with no
 * answer: those with an empty line, half a head and half a body behind them.
 */
@Timeout(30)
class UnfinishedRequestTest {
  private static final int TARGET_MS = 3000;

  /** Beyond the 2.5 s in which a request has to come whole. */
  private static final long ANSWER_AFTER_MS = 2800;

  private static final int TIME_LEFT_MS = 8000;

  /** What a client writes behind a request that is out. */
  enum Behind {
    EMPTY_LINE,
    HALF_A_HEAD,
    HALF_A_BODY;

    String text() {
      String next = queryRequest("whole", "next", TIME_LEFT_MS, 1);
      return switch (this) {
        case EMPTY_LINE -> "\r\n";
        case HALF_A_HEAD -> next.substring(0, 40);
        case HALF_A_BODY -> next.substring(0, next.length() - 9);
      };
    }
  }

  private final FakeSite site = new FakeSite();

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  @ParameterizedTest
  @CsvSource({
    "EMPTY_LINE, false",
    "EMPTY_LINE, true",
    "HALF_A_HEAD, false",
    "HALF_A_HEAD, true",
    "HALF_A_BODY, false",
    "HALF_A_BODY, true"
  })
  void anAcceptedRequestIsAnsweredWhateverIsWrittenBehindIt(Behind behind, boolean atOnce)
      throws Exception {
    site.latencyObjectiveMs = TARGET_MS;
    site.limits.put("secondCopies", false);
    FakeShardServer server = onlyServer();
    site.start();
    try (FakeClient client = site.connectClient()) {
      String request = queryRequest("whole", "first", TIME_LEFT_MS, 1);
      client.send(atOnce ? request + behind.text() : request);
      Frame first = server.awaitFrame();
      if (!atOnce) {
        client.send(behind.text());
      }
      TimeUnit.MILLISECONDS.sleep(ANSWER_AFTER_MS);
      first.respond("good", "value");
      assertThat(client.readResponse().status()).isEqualTo(200);
      if (behind == Behind.EMPTY_LINE) {
        client.send(queryRequest("whole", "next", TIME_LEFT_MS, 1));
        Frame next = server.awaitFrame();
        assertThat(timeOf(next)).isGreaterThan(TIME_LEFT_MS - 1000);
        next.respond("good", "value");
        assertThat(client.readResponse().status()).isEqualTo(200);
      } else {
        assertThat(client.readResponse().status()).isEqualTo(408);
        assertThat(client.isClosedByRouter()).isTrue();
      }
    }
  }

  private FakeShardServer onlyServer() {
    site.servers.forEach(server -> server.health = "Gone");
    FakeShardServer server = site.servers.get(0);
    server.health = "Ready";
    server.autoRespond = false;
    return server;
  }

  /** The milliseconds for which a dispatch says that it will be waited for. */
  private static long timeOf(Frame frame) {
    return Long.parseLong(frame.content().replaceAll("(?s).* d=(\\d+) .*", "$1"));
  }
}
