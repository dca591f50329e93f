package tidebank;

import static tidebank.FakeSite.FakeClient.postRequest;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.function.IntFunction;

/**
 * A client that sends input at full speed from a thread of its own until it is closed, and connects
 * again whenever the router ends its connection.
 */
final class FloodClient implements AutoCloseable {
  /** The bytes of a write: at least this many, up to the end of a request. */
  private static final int WRITE_BYTES = 64 * 1024;

  private static final int READ_BYTES = 64 * 1024;

  private static final int QUERY_TIMEOUT_MS = 300;
  private static final String READINESS_CHECK = "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n";
  private static final String CHUNKED_HEAD =
      "POST /whole HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: c\r\nX-Time-Left: 900m\r\n"
          + "Transfer-Encoding: chunked\r\n\r\n";

  /** What a client sends. */
  enum Kind {
    READINESS_CHECKS,
    READINESS_CHECKS_WITHOUT_READING,
    BYTES_THAT_ARE_NOT_HTTP,
    REQUESTS_BEHIND_A_REFUSED_ONE,
    CHUNKS_OF_ONE_BYTE,
    CHUNKS_OF_ONE_BYTE_BEHIND_A_REFUSED_REQUEST,
    EMPTY_LINES,
    QUERIES_WITH_NEW_NAMES,
    MALFORMED_QUERIES;

    FloodClient start(InetSocketAddress address, String name) {
      return switch (this) {
        case READINESS_CHECKS -> new FloodClient(address, "", i -> READINESS_CHECK, true);
        case READINESS_CHECKS_WITHOUT_READING ->
            new FloodClient(address, "", i -> READINESS_CHECK, false);
        case BYTES_THAT_ARE_NOT_HTTP -> new FloodClient(address, "", i -> "x\r\n\r\n", true);
        case REQUESTS_BEHIND_A_REFUSED_ONE ->
            new FloodClient(address, "PUT / HTTP/1.1\r\n\r\n", i -> READINESS_CHECK, false);
        case CHUNKS_OF_ONE_BYTE -> new FloodClient(address, CHUNKED_HEAD, i -> "1\r\nx\r\n", true);
        case CHUNKS_OF_ONE_BYTE_BEHIND_A_REFUSED_REQUEST ->
            new FloodClient(
                address, "PUT / HTTP/1.1\r\n\r\n" + CHUNKED_HEAD, i -> "1\r\nx\r\n", false);
        case EMPTY_LINES -> new FloodClient(address, "", i -> "\r\n", true);
        case QUERIES_WITH_NEW_NAMES ->
            new FloodClient(address, "", i -> queryWithNewNames(name + i), true);
        case MALFORMED_QUERIES ->
            new FloodClient(address, "", i -> postRequest("/whole", name + i, "300m", "{}"), true);
      };
    }

    private static String queryWithNewNames(String name) {
      return queryRequest("whole", name, QUERY_TIMEOUT_MS, 1)
          .replace("X-Account: a", "X-Account: " + name + "\r\nX-Session-Key: " + name);
    }
  }

  private final InetSocketAddress address;
  private final String preamble;
  private final IntFunction<String> request;
  private final boolean readsResponses;
  private final Thread writer;
  private volatile Socket socket;
  private volatile boolean closed;
  private int sent;

  /**
   * Starts a client.
   *
   * @param preamble what it sends first on each connection
   * @param request returns what it sends then, again and again, by a running number
   * @param readsResponses whether it reads responses; otherwise they stay unread
   */
  FloodClient(
      InetSocketAddress address,
      String preamble,
      IntFunction<String> request,
      boolean readsResponses) {
    this.address = address;
    this.preamble = preamble;
    this.request = request;
    this.readsResponses = readsResponses;
    writer = new Thread(this::sendUntilClosed, "flood");
    writer.start();
  }

  private void sendUntilClosed() {
    while (!closed) {
      try (Socket connection = new Socket()) {
        socket = connection;
        connection.connect(address);
        if (readsResponses) {
          new Thread(() -> readUntilEnd(connection), "flood-reader").start();
        }
        sendUntilReset(connection);
      } catch (IOException ended) {
        // The router has ended the connection, or the test the client.
      }
    }
  }

  private void sendUntilReset(Socket connection) throws IOException {
    connection.getOutputStream().write(preamble.getBytes(StandardCharsets.ISO_8859_1));
    while (!closed) {
      StringBuilder block = new StringBuilder(2 * WRITE_BYTES);
      while (block.length() < WRITE_BYTES) {
        block.append(request.apply(sent++));
      }
      connection.getOutputStream().write(block.toString().getBytes(StandardCharsets.ISO_8859_1));
    }
  }

  /** Reads until the router ends its side, then closes the connection. */
  private static void readUntilEnd(Socket connection) {
    byte[] buffer = new byte[READ_BYTES];
    try (InputStream in = connection.getInputStream()) {
      int count = 0;
      while (count >= 0) {
        count = in.read(buffer);
      }
    } catch (IOException ended) {
      // The connection was reset, or closed by the writer.
    }
  }

  @Override
  public void close() throws Exception {
    closed = true;
    Socket current = socket;
    if (current != null) {
      current.close();
    }
    writer.join();
  }
}
