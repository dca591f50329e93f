package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.fail;
import static tidebank.FakeSite.FakeClient.postRequest;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.io.DataInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
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
 * Attempts that are given up while their frame is on its way to a server that does not read. Once
 * the server reads again, it must not receive them.
 */
@Timeout(60)
class AbandonedAttemptTest {
  /** More than the receive buffer of the stopped server holds. */
  private static final int LARGE_BYTES = 60_000;

  /** A number of queries that exceeds the send buffer of a connection, which has up to 4 MiB. */
  private static final int QUERIES_BEYOND_SEND_BUFFER = 100;

  private final FakeSite site = new FakeSite();
  private final StoppedServer stopped = new StoppedServer();

  @AfterEach
  void close() throws Exception {
    site.close();
    stopped.close();
  }

  /** A shard server that is stopped: its system accepts connections and fills its buffers. */
  private static final class StoppedServer implements AutoCloseable {
    private static final int RECEIVE_BUFFER_BYTES = 4096;

    final ServerSocket listener;
    private final BlockingQueue<Socket> accepted = new LinkedBlockingQueue<>();

    StoppedServer() {
      try {
        listener = new ServerSocket();
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
      } catch (IOException fault) {
        throw new java.io.UncheckedIOException(fault);
      }
      Thread acceptor = new Thread(this::acceptAll);
      acceptor.setDaemon(true);
      acceptor.start();
    }

    private void acceptAll() {
      try {
        while (true) {
          accepted.add(listener.accept());
        }
      } catch (IOException closed) {
        // The test is over.
      }
    }

    /** Waits for data on the first connection, without reading it. */
    void awaitData() throws Exception {
      Socket socket = accepted.poll(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS);
      assertThat(socket).as("a connection to the stopped server").isNotNull();
      accepted.add(socket);
      while (socket.getInputStream().available() == 0) {
        Thread.sleep(1);
      }
    }

    /**
     * Reads every connection to its end.
     *
     * @return the ids of the shard requests in frames that arrived completely
     */
    List<String> readToEnd() throws Exception {
      List<String> received = new ArrayList<>();
      Socket socket = accepted.poll(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS);
      assertThat(socket).as("a connection to the stopped server").isNotNull();
      for (; socket != null; socket = accepted.poll()) {
        readToEnd(socket, received);
      }
      return received;
    }

    private static void readToEnd(Socket socket, List<String> received) throws IOException {
      try (socket) {
        socket.setSoTimeout(FakeSite.WAIT_MS);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        while (true) {
          byte[] frame = new byte[in.readInt()];
          in.readFully(frame);
          if (frame[0] == 'm') {
            String content = new String(frame, 1, frame.length - 1, StandardCharsets.UTF_8);
            received.add(content.split(" ")[0]);
          }
        }
      } catch (EOFException | SocketException closedByRouter) {
        // What was not delivered by now never will be.
      } catch (SocketTimeoutException stillOpen) {
        fail("the connection is still open; received " + received, stillOpen);
      }
    }

    @Override
    public void close() throws IOException {
      listener.close();
    }
  }

  private void replaceByStoppedServer(FakeShardServer server) throws IOException {
    server.serverSocket.close();
    server.serverSocket = stopped.listener;
  }

  private void startWithOnlyStoppedServer() throws IOException {
    replaceByStoppedServer(site.keepOnlyServer1());
    site.start();
  }

  private static String largeQueryRequest(String queryClass, String id, int timeoutMs) {
    return postRequest(
        "/" + queryClass,
        id,
        timeoutMs + "m",
        "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\""
            + "x".repeat(LARGE_BYTES)
            + "\"}");
  }

  /** Guards against a second effect after the window for repeats: the send buffer has the frame. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void bufferedFrameIsNotDeliveredAfterItsTimeout(boolean cancellation) throws Exception {
    site.limits.put("cancel", cancellation);
    startWithOnlyStoppedServer();
    try (FakeClient client = site.connectClient()) {
      assertThat(client.sendAndRead(largeQueryRequest("once", "a", 500)).status()).isIn(500, 503);
    }
    site.awaitEndOfPass();
    assertThat(stopped.readToEnd()).isEmpty();
  }

  /** Guards against an attempt that begins after its client has closed its connection. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void bufferedFrameIsNotDeliveredAfterClientDisconnect(boolean cancellation) throws Exception {
    site.limits.put("cancel", cancellation);
    startWithOnlyStoppedServer();
    try (FakeClient client = site.connectClient()) {
      client.send(largeQueryRequest("once", "a", 3000));
      stopped.awaitData();
    }
    site.awaitCounter("scans.lapsed");
    site.awaitEndOfPass();
    assertThat(stopped.readToEnd()).isEmpty();
  }

  /** Guards against an attempt that arrives after another replica has answered its query. */
  @Test
  void bufferedFrameIsNotDeliveredAfterAnotherReplicaResponded() throws Exception {
    replaceByStoppedServer(site.servers.get(1));
    site.start();
    try (FakeClient client = site.connectClient()) {
      for (int i = 0; i < 20; i++) {
        assertThat(client.sendAndRead(largeQueryRequest("whole", "a" + i, 3000)).status())
            .isEqualTo(200);
      }
    }
    site.awaitEndOfPass();
    assertThat(stopped.readToEnd()).isEmpty();
  }

  /** Guards against a second effect: a frame is half written as its attempt is given up. */
  @Test
  void halfWrittenFrameIsNotCompletedAfterItsTimeout() throws Exception {
    site.limits.put("mostHeld", 1000);
    startWithOnlyStoppedServer();
    List<FakeClient> clients = new ArrayList<>();
    for (int i = 0; i < QUERIES_BEYOND_SEND_BUFFER; i++) {
      FakeClient client = site.connectClient();
      clients.add(client.send(largeQueryRequest("once", "a" + i, 1000)));
    }
    for (FakeClient client : clients) {
      assertThat(client.readResponse().status()).isIn(500, 503);
      client.close();
    }
    site.awaitEndOfPass();
    assertThat(stopped.readToEnd()).isEmpty();
  }

  /** Guards against closing connections without need: the server has read the frame. */
  @Test
  void connectionIsKeptIfLaterResponseShowsThatFrameWasRead() throws Exception {
    site.disableAutoRespond();
    FakeShardServer server = site.keepOnlyServer1();
    site.start();
    try (FakeClient later = site.connectClient()) {
      FakeClient abandoning = site.connectClient();
      abandoning.send(largeQueryRequest("once", "a", 3000));
      server.awaitFrame();
      later.send(queryRequest("once", "b", 3000, 1));
      server.awaitFrame().respond("good", "v");
      assertThat(later.readResponse().status()).isEqualTo(200);
      abandoning.close();
      Frame cancel = server.awaitFrame();
      assertThat(cancel.type()).isEqualTo('n');
      assertThat(cancel.requestId()).isEqualTo("a.0");

      later.send(queryRequest("once", "c", 3000, 1));
      server.awaitFrame().respond("good", "v");
      assertThat(later.readResponse().status()).isEqualTo(200);
      assertThat(server.acceptedCount).hasValue(1);
    }
  }
}
