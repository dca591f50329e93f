package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.postRequest;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeShardServer;
import tidebank.FakeSite.FakeShardServer.Frame;

/** Guards against requests that are sent on, or again, after their client has disconnected. */
@Timeout(30)
class UnreadInputOfDepartedClientTest {
  /** Holds all that a client sends while the router reads nothing. */
  private static final int SEND_BUFFER_BYTES = 4 << 20;

  /** More than the router reads from one connection at a time. */
  private static final int UNREAD_BYTES = 2 << 20;

  private static final int TIMEOUT_MS = 2900;

  /** What a client sends behind its queries before it disconnects. */
  enum InputBehind {
    READINESS_CHECKS("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n"),
    QUERIES(queryRequest("whole", "gone", TIMEOUT_MS, 1)),
    LARGE_QUERIES(postRequest("/whole", "gone-large", "2900m", "p".repeat(60_000))),
    EMPTY_LINES("\r\n");

    private final String text;

    InputBehind(String text) {
      this.text = text;
    }

    byte[] bytes() {
      return text.repeat(UNREAD_BYTES / text.length()).getBytes(StandardCharsets.ISO_8859_1);
    }
  }

  private final FakeSite site = new FakeSite();

  @BeforeEach
  void start() throws Exception {
    site.start();
    try (FakeClient first = site.connectClient()) {
      assertThat(first.sendAndRead(queryRequest("whole", "first", TIMEOUT_MS, 1)).status())
          .isEqualTo(200);
    }
  }

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  /** The end of the stream lies behind more input than the router reads in one pass. */
  @ParameterizedTest
  @EnumSource(InputBehind.class)
  void queriesWithMuchUnreadInputBehindThemAreNotSentOn(InputBehind behind) throws Exception {
    CountDownLatch resume = site.stallEventLoop();
    sendAndClose(
        queryRequest("whole", "gone-a", TIMEOUT_MS, 1)
            + queryRequest("once", "gone-b", TIMEOUT_MS, 1),
        behind.bytes());
    resume.countDown();
    assertNothingSentForDepartedClient();
  }

  /** Many requests that are answered at once are followed by a query and the end of the stream. */
  @Test
  void queryBehindManySmallRequestsOfDepartedClientIsNotSentOn() throws Exception {
    CountDownLatch resume = site.stallEventLoop();
    sendAndClose(
        InputBehind.READINESS_CHECKS.text.repeat(20_000),
        queryRequest("once", "gone", TIMEOUT_MS, 1).getBytes(StandardCharsets.ISO_8859_1));
    resume.countDown();
    assertNothingSentForDepartedClient();
  }

  private void sendAndClose(String queries, byte[] behind) throws IOException {
    try (Socket client = new Socket()) {
      client.setSendBufferSize(SEND_BUFFER_BYTES);
      client.connect(site.router().address());
      client.getOutputStream().write(queries.getBytes(StandardCharsets.ISO_8859_1));
      client.getOutputStream().write(behind);
    }
  }

  private void assertNothingSentForDepartedClient() throws Exception {
    for (int i = 0; i < 20; i++) {
      try (FakeClient other = site.connectClient()) {
        assertThat(other.sendAndRead(queryRequest("whole", "stays" + i, TIMEOUT_MS, 1)).status())
            .isEqualTo(200);
      }
    }
    for (FakeShardServer server : site.servers) {
      assertThat(server.frames).noneMatch(frame -> frame.content().startsWith("gone"));
    }
  }

  /**
   * A query that must not run twice comes again after the first one has run for a departed client.
   */
  @Test
  void queryThatMayHaveRunIsNotRunAgainWhenItsIdComesBack() throws Exception {
    site.disableAutoRespond();
    String query = queryRequest("once", "again", TIMEOUT_MS, 0, 1);
    FakeClient departing = site.connectClient();
    departing.send(query);
    Frame first = awaitFrameFromAnyServer();
    departing.close();
    site.awaitCounter("scans.lapsed");
    first.respond("good", "ran");
    site.servers.forEach(each -> each.autoRespond = true);
    // The response of this query shows that the one before it has been read.
    try (FakeClient other = site.connectClient()) {
      assertThat(other.sendAndRead(queryRequest("whole", "between", TIMEOUT_MS, 0.5, 0.5)).status())
          .isEqualTo(200);
    }
    try (FakeClient returning = site.connectClient()) {
      assertThat(returning.sendAndRead(query).status()).isNotIn(200, 429, 503);
    }
    for (FakeShardServer each : site.servers) {
      assertThat(each.frames)
          .noneMatch(frame -> frame.type() == 'm' && frame.content().startsWith("again.1"));
    }
  }

  private Frame awaitFrameFromAnyServer() {
    while (true) {
      for (FakeShardServer server : site.servers) {
        Frame frame = server.frames.poll();
        if (frame != null && frame.content().startsWith("again.1")) {
          return frame;
        }
      }
      Thread.onSpinWait();
    }
  }
}
