package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeShardServer;

/**
 * Shutdown, SIGKILL and restart of a router while connections wait in its accept backlog: the
 * kernel has established them, but the process has not accepted them, and their requests are
 * already written. Closing the listening socket resets such connections.
 */
@Timeout(30)
class AcceptBacklogTest {
  private static final int CLIENTS = 40;

  /** The duration of a stall; the listening socket closes 0.6 s after the shutdown request. */
  private static final long STALL_NS = 800_000_000L;

  private static final int NO_RESPONSE = 0;

  private final FakeSite site = new FakeSite();
  private final List<FakeClient> clients = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (FakeClient client : clients) {
      client.close();
    }
    site.close();
  }

  // ---- clients

  /** Connects the clients and sends a query on each connection. */
  private void connectAll(InetSocketAddress address) throws IOException {
    for (int i = 0; i < CLIENTS; i++) {
      FakeClient client = new FakeClient(address);
      clients.add(client);
      client.send(queryRequest("once", "b" + i, 2900, 0.5, 0.5));
    }
  }

  /**
   * Returns the response status by query id, or {@link #NO_RESPONSE} if the connection ended first.
   */
  private Map<String, Integer> readStatuses() throws IOException {
    Map<String, Integer> statuses = new HashMap<>();
    for (int i = 0; i < CLIENTS; i++) {
      int status = NO_RESPONSE;
      try {
        status = clients.get(i).readResponse().status();
      } catch (EOFException | SocketException ended) {
        // The router closed or reset the connection.
      }
      statuses.put("b" + i, status);
    }
    return statuses;
  }

  /** Asserts that each query of which a shard server received a request has a response. */
  private void assertSentQueriesHaveResponses(Map<String, Integer> statuses) {
    for (FakeShardServer server : site.servers) {
      assertThat(server.frames)
          .allSatisfy(
              frame -> assertThat(statuses.get(frame.requestId().split("[.]")[0])).isNotZero());
    }
  }

  // ---- a router in this process

  /** A shutdown request must not discard connections that are not accepted yet. */
  @Test
  void backlogAtStartOfShutdownIsAnswered() throws Exception {
    site.start();
    CountDownLatch resume = site.stallEventLoop();
    connectAll(site.router().address());
    CompletableFuture<Void> stopped = site.router().stop();
    resume.countDown();
    assertThat(readStatuses().values()).containsOnly(200);
    stopped.get(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  /** A handler that stalls the event loop after a number of passes that accept connections. */
  private static final class StallAfterAccept extends ChannelInboundHandlerAdapter {
    private int passesLeft;

    StallAfterAccept(int passes) {
      passesLeft = passes;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      context.fireChannelReadComplete();
      if (--passesLeft == 0) {
        stallPastListenerClose();
      }
    }
  }

  private static void stallPastListenerClose() {
    long end = System.nanoTime() + STALL_NS;
    while (System.nanoTime() < end) {
      Thread.onSpinWait();
    }
  }

  /**
   * Connections that are not accepted or not read when the listening socket closes must not be
   * reset. The event loop stalls past the time of the close after it has accepted none, 16, 32 or
   * all of them.
   */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3})
  void backlogAtCloseOfListeningSocketIsAnswered(int passes) throws Exception {
    site.start();
    CountDownLatch resume = site.stallEventLoop();
    CompletableFuture<Void> stopped = site.router().stop();
    if (passes > 0) {
      site.listeningChannel().pipeline().addFirst(new StallAfterAccept(passes));
    } else {
      // The shutdown begins, and the event loop stalls before it accepts a connection.
      resume.countDown();
      resume = site.stallEventLoop();
    }
    connectAll(site.router().address());
    if (passes == 0) {
      stallPastListenerClose();
    }
    resume.countDown();
    Map<String, Integer> statuses = readStatuses();
    assertSentQueriesHaveResponses(statuses);
    assertThat(statuses.values()).containsOnly(200);
    stopped.get(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  // ---- a router in a process of its own

  private void sendSignal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(site.process.pid())).start().waitFor();
  }

  /** Sends SIGSTOP and waits until all threads of the process are stopped. */
  private void suspendProcess() throws Exception {
    sendSignal("STOP");
    while (!areAllThreadsStopped()) {
      Thread.onSpinWait();
    }
  }

  private boolean areAllThreadsStopped() throws IOException {
    Path tasks = Path.of("/proc", String.valueOf(site.process.pid()), "task");
    try (Stream<Path> threads = Files.list(tasks)) {
      for (Path thread : threads.toList()) {
        String stat = Files.readString(thread.resolve("stat"));
        if (stat.charAt(stat.lastIndexOf(')') + 2) != 'T') {
          return false;
        }
      }
      return true;
    } catch (NoSuchFileException ended) {
      return false;
    }
  }

  private void assertExitsWithZero() throws Exception {
    assertThat(site.process.waitFor(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(site.process.exitValue()).isZero();
  }

  /** A query sent to a shard server before the shutdown ends must not lose its response. */
  @Test
  void backlogAtSigtermIsAnsweredOrNotSentToServers() throws Exception {
    InetSocketAddress address = site.startServing("127.0.0.1:0");
    suspendProcess();
    connectAll(address);
    sendSignal("TERM");
    sendSignal("CONT");
    assertSentQueriesHaveResponses(readStatuses());
    assertExitsWithZero();
  }

  /** A connection that was never accepted must not lead to requests to shard servers. */
  @Test
  void backlogAtSigkillIsResetAndNewProcessReusesAddress() throws Exception {
    InetSocketAddress address = site.startServing("127.0.0.1:0");
    suspendProcess();
    connectAll(address);
    sendSignal("KILL");
    site.process.waitFor();
    assertThat(readStatuses().values()).containsOnly(NO_RESPONSE);
    // The clients' sockets are still open, but none of the killed process occupies the address.
    assertThat(site.startServing("127.0.0.1:" + address.getPort())).isEqualTo(address);
    try (FakeClient newClient = new FakeClient(address)) {
      assertThat(newClient.sendAndRead(queryRequest("once", "again", 2900, 0.5, 0.5)).status())
          .isEqualTo(200);
    }
    for (FakeShardServer server : site.servers) {
      assertThat(server.frames).allMatch(frame -> frame.requestId().startsWith("again"));
    }
  }

  /** Sockets that a shutdown leaves in the kernel must not keep a new process from listening. */
  @Test
  void newProcessReusesAddressAfterGracefulShutdown() throws Exception {
    InetSocketAddress address = site.startServing("127.0.0.1:0");
    connectAll(address);
    assertThat(readStatuses().values()).containsOnly(200);
    sendSignal("TERM");
    assertExitsWithZero();
    // The router closed first: its sockets are in TIME_WAIT, or FIN_WAIT while clients stay open.
    assertThat(site.startServing("127.0.0.1:" + address.getPort())).isEqualTo(address);
    try (FakeClient newClient = new FakeClient(address)) {
      assertThat(newClient.sendAndRead(queryRequest("once", "again", 2900, 0.5, 0.5)).status())
          .isEqualTo(200);
    }
  }
}
