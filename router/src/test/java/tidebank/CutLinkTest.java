package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeShardServer;
import tidebank.FakeSite.FakeShardServer.Frame;

/**
 * Attempts behind a link that is cut and comes back. What was written before or during the cut
 * arrives after it, unless the router has reset the connection. A shard request with an idempotency
 * key was executed again when its key was no longer recognized.
 */
@Timeout(60)
class CutLinkTest {
  /** How late the router may be with a reset, beyond the time that the rule sets. */
  private static final int SLACK_MS = 200;

  private static final int CLIENTS = 8;

  private final FakeSite site = new FakeSite();
  private Link link;

  @AfterEach
  void close() throws Exception {
    site.close();
    if (link != null) {
      link.close();
    }
  }

  /** The link between the router and a shard server. */
  private static final class Link implements AutoCloseable {
    final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
    private final ServerSocket server;

    /** What the router has sent during the cut and not taken back by a reset. */
    private final ByteArrayOutputStream buffered = new ByteArrayOutputStream();

    private boolean cut;
    private boolean everBuffered;

    Link(ServerSocket server) throws IOException {
      this.server = server;
      runInBackground(this::acceptAll);
    }

    private interface Task {
      void run() throws IOException;
    }

    private static void runInBackground(Task task) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  task.run();
                } catch (IOException closed) {
                  // One side has closed the connection, or the test is over.
                }
              });
      thread.setDaemon(true);
      thread.start();
    }

    private void acceptAll() throws IOException {
      while (true) {
        Socket router = listener.accept();
        Socket toServer = new Socket(server.getInetAddress(), server.getLocalPort());
        runInBackground(() -> toServer.getInputStream().transferTo(router.getOutputStream()));
        runInBackground(() -> forward(router, toServer));
      }
    }

    private void forward(Socket router, Socket toServer) throws IOException {
      byte[] buffer = new byte[1 << 16];
      InputStream in = router.getInputStream();
      try (toServer) {
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
          deliverOrBuffer(buffer, count, toServer.getOutputStream());
        }
      } catch (SocketException reset) {
        discardBuffered();
      }
    }

    private synchronized void deliverOrBuffer(byte[] bytes, int count, OutputStream toServer)
        throws IOException {
      if (cut) {
        buffered.write(bytes, 0, count);
        everBuffered = true;
        notifyAll();
      } else {
        toServer.write(bytes, 0, count);
      }
    }

    private synchronized void discardBuffered() {
      buffered.reset();
      notifyAll();
    }

    synchronized void cut() {
      cut = true;
    }

    /** Waits until the router has sent something during the cut. */
    synchronized void awaitBuffered() throws InterruptedException {
      while (!everBuffered) {
        wait();
      }
    }

    /** Waits for a reset, until this time at most; returns how many bytes would arrive then. */
    synchronized int awaitReset(long untilNanos) throws InterruptedException {
      long leftMs = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
      while (buffered.size() > 0 && leftMs > 0) {
        wait(leftMs);
        leftMs = TimeUnit.NANOSECONDS.toMillis(untilNanos - System.nanoTime());
      }
      return buffered.size();
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  private void startWithLinkTo(FakeShardServer server) throws IOException {
    link = new Link(server.serverSocket);
    server.serverSocket = link.listener;
    site.start();
  }

  private static long nanosAfter(long nanos, int ms) {
    return nanos + TimeUnit.MILLISECONDS.toNanos(ms);
  }

  /**
   * Guards against a second effect outside the key's window: another replica has executed the shard
   * request, and the attempt behind the cut arrives at the end of the cut.
   */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void requestWithKeyDoesNotArriveAfterItsWindow(boolean mayProbe) throws Exception {
    site.limits.put("mayProbe", mayProbe);
    site.onceSemantics = "idempotency_key";
    startWithLinkTo(site.servers.get(1));
    try (FakeClient client = site.connectClient()) {
      for (int i = 0; i < CLIENTS; i++) {
        client.sendAndRead(queryRequest("once", "warm" + i, 2900, 0, 1));
      }
      link.cut();
      long cutAt = System.nanoTime();
      for (int i = 0; i < CLIENTS; i++) {
        assertThat(client.sendAndRead(queryRequest("once", "a" + i, 2900, 0, 1)).status())
            .isEqualTo(200);
      }
      link.awaitBuffered();
      long lastSentAt = System.nanoTime();
      int late = link.awaitReset(nanosAfter(lastSentAt, FakeSite.KEY_WINDOW_MS + SLACK_MS));
      assertThat(late).as("bytes that arrive after the cut").isZero();
      assertThat(lastSentAt).isGreaterThan(cutAt);
    }
  }

  /** Guards against an attempt that arrives after the time that its client has waited. */
  @Test
  void abandonedRequestDoesNotArriveAfterItsDeadline() throws Exception {
    site.limits.put("mayProbe", true);
    FakeShardServer server = site.keepOnlyServer1();
    startWithLinkTo(server);
    try (FakeClient client = site.connectClient()) {
      assertThat(client.sendAndRead(queryRequest("whole", "warm", 900, 1)).status()).isEqualTo(200);
      link.cut();
      client.send(queryRequest("whole", "a", 900, 1));
      link.awaitBuffered();
      client.close();
      int late = link.awaitReset(nanosAfter(System.nanoTime(), 900 + SLACK_MS));
      assertThat(late).as("bytes that arrive after the cut").isZero();
    }
  }

  /** Guards against resets of connections whose server is slow, but has read the frame. */
  @Test
  void connectionIsKeptIfServerRespondsToHealthCheck() throws Exception {
    site.limits.put("mayProbe", true);
    site.disableAutoRespond();
    FakeShardServer server = site.keepOnlyServer1();
    site.start();
    try (FakeClient later = site.connectClient()) {
      FakeClient abandoning = site.connectClient();
      abandoning.send(queryRequest("once", "a", 900, 1));
      assertThat(server.awaitFrame().requestId()).isEqualTo("a.0");
      abandoning.close();
      assertThat(server.awaitFrame().type()).isEqualTo('n');
      Frame probe = server.awaitFrame();
      assertThat(probe.type()).isEqualTo('o');
      probe.sendBytes(FakeShardServer.encodeFrame('o', "good"));

      later.send(queryRequest("once", "b", 2900, 1));
      Frame next = server.awaitFrame();
      TimeUnit.MILLISECONDS.sleep(2L * 250);
      next.respond("good", "v");
      assertThat(later.readResponse().status()).isEqualTo(200);
      assertThat(server.acceptedCount).hasValue(1);
    }
  }
}
