package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;

import io.netty.channel.Channel;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeShardServer;

/**
 * Guards against long pauses after a failure to accept a connection, such as too many open files or
 * no buffer space. Netty's acceptor pauses for one second after any exception, and again after each
 * further one. Requests that waited in the accept backlog were then treated as new: they were
 * answered, and their attempts got timeouts, beyond the timeouts of their clients.
 *
 * <p>When one accept in ten failed, 41 of 100 requests with a timeout of 1,000 ms on new
 * connections were answered only after more than 0.5 s, up to 2.039 s, each with status 200.
 */
@Timeout(30)
class AcceptFailureTest {
  private static final int CLIENTS = 5;
  private static final int TIMEOUT_MS = 900;

  private final FakeSite site = new FakeSite();
  private final List<FakeClient> clients = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (FakeClient client : clients) {
      client.close();
    }
    site.close();
  }

  @Test
  void requestsAreAnsweredInTimeAfterFailedAccept() throws Exception {
    site.start();
    try (FakeClient earlierClient = site.connectClient()) {
      assertThat(
              earlierClient.sendAndRead(queryRequest("whole", "before", 2900, 0.5, 0.5)).status())
          .isEqualTo(200);
    }
    failAccept();
    long start = System.nanoTime();
    for (int i = 0; i < CLIENTS; i++) {
      clients.add(site.connectClient().send(queryRequest("whole", "a" + i, TIMEOUT_MS, 0.5, 0.5)));
    }
    for (FakeClient client : clients) {
      assertThat(client.readResponse().status()).isEqualTo(200);
    }
    assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start)).isLessThan(TIMEOUT_MS);
    for (FakeShardServer server : site.servers) {
      assertThat(server.frames)
          .filteredOn(frame -> frame.content().startsWith("a"))
          .allMatch(frame -> timeoutMsOf(frame.content()) <= TIMEOUT_MS);
    }
  }

  /** Returns the timeout in milliseconds of the last shard request in a batch. */
  private static long timeoutMsOf(String batch) {
    return Long.parseLong(batch.replaceAll("(?s).* d=(\\d+) .*", "$1"));
  }

  /** Makes the listening socket handle the exception of a failed accept. */
  private void failAccept() throws Exception {
    Channel channel = site.listeningChannel();
    CountDownLatch reported = new CountDownLatch(1);
    channel
        .eventLoop()
        .execute(
            () -> {
              channel.pipeline().fireExceptionCaught(new IOException("Too many open files"));
              reported.countDown();
            });
    reported.await();
  }
}
