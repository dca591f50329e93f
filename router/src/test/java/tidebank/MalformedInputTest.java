package tidebank;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.postRequest;
import static tidebank.FakeSite.FakeClient.queryRequest;
import static tidebank.FakeSite.FakeShardServer.encodeFrame;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocatorMetric;
import java.io.EOFException;
import java.io.IOException;
import java.lang.reflect.Field;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.regex.Matcher;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeClient.Response;
import tidebank.FakeSite.FakeShardServer;
import tidebank.FakeSite.FakeShardServer.Frame;
import tidebank.frontend.ClientServer;
import tidebank.runtime.QueryRouter;

/**
 * Malformed and abusive input from clients and shard servers. The router responds with an error or
 * closes the connection, sends nothing to shard servers for it, keeps serving other connections and
 * buffers a bounded amount of data.
 */
@Timeout(30)
class MalformedInputTest {
  /** A valid body of 55 (hexadecimal 37) bytes, for decoders that would read on after a fault. */
  private static final String BODY =
      "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"p\"}   ";

  /** A request hidden behind or inside a malformed one; it must never be executed. */
  private static final String SMUGGLED = queryRequest("whole", "smuggled", 2900, 1);

  /** The input that follows the size of the first chunk. */
  private static final String AFTER_CHUNK_SIZE = "\r\n" + BODY + "\r\n0\r\n\r\n" + SMUGGLED;

  private static final int BLOCK_BYTES = 65_536;

  /** The maximum length of a response frame: a value of 64 KiB and a header line of 1 KiB. */
  private static final int MAX_FRAME_BYTES = 65 * 1024;

  /**
   * The limit of buffered data, far below the amount sent. The allocator's chunks have 512 KiB, and
   * a body has up to 64 KiB.
   */
  private static final long MAX_BUFFERED_BYTES = 16 << 20;

  /** The time within which a frame must be complete once a part of it was received. */
  private static final int FRAME_TIMEOUT_MS = 200;

  private static final String VALUE = "a value that is whole";
  private static final int DEPARTING_CLIENTS = 20;
  private static final int REQUESTS_PER_CLIENT = 40;

  private final FakeSite site = new FakeSite();

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  /**
   * Replaces the X-Account header of the first head by another header; a request hidden in the body
   * does not change.
   */
  private static String withHeader(String request, String header) {
    return request.replaceFirst("\r\nX-Account: a", Matcher.quoteReplacement("\r\n" + header));
  }

  private static String chunkedRequest(String chunks) {
    return postRequest("/whole", "a", "2900m", "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked")
        + chunks;
  }

  private static String requestWithLength(String length) {
    return postRequest("/whole", "a", "2900m", BODY + SMUGGLED)
        .replaceFirst(
            "Content-Length: \\d+", Matcher.quoteReplacement("Content-Length: " + length));
  }

  private void assertNothingSentToServers() {
    for (FakeShardServer server : site.servers) {
      assertThat(server.frames).noneMatch(frame -> frame.type() == 'm');
    }
  }

  /**
   * Reads responses until the router ends the connection, which must happen in time, and returns
   * their statuses.
   */
  private static List<Integer> readStatuses(FakeClient client) throws IOException {
    List<Integer> statuses = new ArrayList<>();
    try {
      while (true) {
        statuses.add(client.readResponse().status());
      }
    } catch (EOFException | SocketException ended) {
      return statuses;
    }
  }

  // ---- invalid HTTP and request smuggling

  /**
   * Without the faults that the tests below add, both the request and the hidden one are served.
   */
  @Test
  void validRequestAndPipelinedRequestAreServed() throws Exception {
    site.start();
    for (String request :
        List.of(requestWithLength("55"), chunkedRequest("37" + AFTER_CHUNK_SIZE))) {
      try (FakeClient client = site.connectClient()) {
        assertThat(client.sendAndRead(request).body()).contains("value of a.0");
        assertThat(client.readResponse().body()).contains("value of smuggled.0");
      }
    }
  }

  private static final String[] REJECTED_LENGTHS = {
    "-1",
    "+55",
    "0x37",
    "55e0",
    "55 55",
    "55, 56",
    "55,55",
    "9223372036854775807",
    "9223372036854775808",
    "18446744073709551671",
    "99999999999999999999999999",
    "",
    "\u0000",
    "55\u0000",
    "55;x",
    "4294967351",
    "2147483648"
  };

  /** A lenient decoder would read the rest of the input as another request. */
  @Test
  void invalidContentLengthIsRefusedAndRestIsNotRead() throws Exception {
    site.start();
    for (String length : REJECTED_LENGTHS) {
      try (FakeClient other = site.connectClient();
          FakeClient client = site.connectClient()) {
        client.send(requestWithLength(length));
        assertThat(readStatuses(client)).as(length).hasSize(1).isSubsetOf(400, 413);
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
        assertNothingSentToServers();
      }
    }
  }

  private static final String[] REJECTED_CHUNK_SIZES = {
    "-1",
    "+37",
    "g",
    "0x37",
    "7fffffffffffffff",
    "8000000000000000",
    "ffffffffffffffff",
    "10000000000000037",
    "80000000",
    "ffffffff",
    "100000037",
    "",
    " ",
    "37 37",
    "\u0000",
    "37\u0000"
  };

  /** A lenient decoder would read the rest of the input as another request. */
  @Test
  void invalidChunkSizeIsRefusedAndRestIsNotRead() throws Exception {
    site.start();
    for (String size : REJECTED_CHUNK_SIZES) {
      try (FakeClient other = site.connectClient();
          FakeClient client = site.connectClient()) {
        client.send(chunkedRequest(size + AFTER_CHUNK_SIZE));
        assertThat(readStatuses(client)).as(size).hasSize(1).isSubsetOf(400, 413);
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
        assertNothingSentToServers();
      }
    }
  }

  private static final String[] REJECTED_HEADERS = {
    "Content-Length : 55",
    " Content-Length: 55",
    "Content-Length\u0000: 55",
    "Content-Length:\r\n 55",
    "Transfer-Encoding : chunked",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding:\u000bchunked",
    "Transfer-Encoding:\r\n chunked",
    "Transfer-Encoding: xchunked",
    "Transfer-Encoding: chunked, chunked",
    "Transfer-Encoding: chunked, gzip",
    "Transfer-Encoding: identity",
    "Transfer-Encoding: chunked\u0000",
    "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked",
    "Content-Length: 0",
    "CONTENT-LENGTH: 55",
    "X: y\rTransfer-Encoding: chunked",
    "X: y\nTransfer-Encoding: chunked",
    "X\u0000: y",
    "X: y\u0000z",
    ": y",
    "no colon"
  };

  /** Decoders that disagree on the length of a body let a request be hidden in it. */
  @Test
  void conflictingOrInvalidHeaderIsRefusedAndRestIsNotRead() throws Exception {
    site.start();
    for (String header : REJECTED_HEADERS) {
      for (String body : List.of(BODY + SMUGGLED, "37" + AFTER_CHUNK_SIZE)) {
        try (FakeClient other = site.connectClient();
            FakeClient client = site.connectClient()) {
          client.send(withHeader(postRequest("/whole", "a", "2900m", body), header));
          assertThat(readStatuses(client)).as(header).containsExactly(400);
          assertThat(other.fetchReadinessStatus()).isEqualTo(200);
          assertNothingSentToServers();
        }
      }
    }
  }

  /**
   * A 413 or 417 response must not overtake the pending one, and the body must not be read as
   * requests.
   */
  @ParameterizedTest
  @ValueSource(strings = {"100-continue", "something-else"})
  void expectWithOversizedBodyBehindRequestKeepsResponseOrder(String expectation) throws Exception {
    site.disableAutoRespond();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest("once", "first", 2900, 1));
      Frame first = awaitBatchFrame();
      String body = SMUGGLED + " ".repeat(70_000);
      client.send(
          withHeader(postRequest("/whole", "a", "2900m", body), "Expect: " + expectation)
              + SMUGGLED);
      try (FakeClient other = site.connectClient()) {
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      }
      first.respond("good", "first");
      Response response = client.readResponse();
      assertThat(response.status()).as("status of the first response").isEqualTo(200);
      assertThat(response.body()).contains("\"first\"");
      assertThat(readStatuses(client)).hasSize(1).allMatch(status -> status >= 400);
      assertNothingSentToServers();
    }
  }

  /** After the 413 or 417 response, the body must not be read as requests. */
  @ParameterizedTest
  @ValueSource(strings = {"100-continue", "something-else"})
  void oversizedBodyWithExpectIsNotReadAsRequest(String expectation) throws Exception {
    site.start();
    try (FakeClient client = site.connectClient()) {
      String body = SMUGGLED + " ".repeat(70_000);
      client.send(withHeader(postRequest("/whole", "a", "2900m", body), "Expect: " + expectation));
      assertThat(readStatuses(client)).hasSize(1).allMatch(status -> status >= 400);
      assertNothingSentToServers();
    }
  }

  /** A valid expectation gets 100 (Continue), and its body is read like any other. */
  @Test
  void expectContinueIsAnsweredAndBodyAccepted() throws Exception {
    site.start();
    try (FakeClient client = site.connectClient()) {
      String request =
          withHeader(queryRequest("whole", "expects", 2900, 1), "Expect: 100-continue");
      int head = request.indexOf("\r\n\r\n") + 4;
      client.send(request.substring(0, head));
      byte[] interim = client.socket.getInputStream().readNBytes(25);
      assertThat(new String(interim)).isEqualTo("HTTP/1.1 100 Continue\r\n\r\n");
      assertThat(client.sendAndRead(request.substring(head)).body()).contains("value of expects.0");
    }
  }

  /** Waits for a batch frame at any shard server. */
  private Frame awaitBatchFrame() {
    while (true) {
      for (FakeShardServer server : site.servers) {
        Frame frame = server.frames.poll();
        if (frame != null && frame.type() == 'm') {
          return frame;
        }
      }
      Thread.onSpinWait();
    }
  }

  // ---- endless and excessive input

  private static final String[] ENDLESS_INPUT_PREFIXES = {
    "x",
    "\r\n",
    "\u0000",
    "GET /",
    "GET / HTTP/1.1\r\nX: y",
    "GET / HTTP/1.1\r\nX: y\r\n",
    "POST /whole HTTP/1.1\r\nContent-Length: 2000000000\r\n\r\n",
    "POST /whole HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
    "POST /whole HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n7fffffff\r\n",
    "POST /whole HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
    "POST /whole HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: y\r\n"
  };

  /** Returns the input to repeat after a prefix: its last chunk, its last line or a letter. */
  private static String repeatedInput(String prefix) {
    String[] lines = prefix.split("(?<=\n)");
    String last = lines[lines.length - 1];
    String chunk = "1\r\nx\r\n";
    return prefix.endsWith(chunk) ? chunk : last.endsWith("\n") && !last.isBlank() ? last : "x";
  }

  /** Sends this input repeatedly until the router closes the connection. */
  private static void flood(FakeClient client, String input) throws IOException {
    byte[] block = input.repeat(BLOCK_BYTES / input.length()).getBytes(ISO_8859_1);
    try {
      while (true) {
        client.socket.getOutputStream().write(block);
      }
    } catch (SocketException closedByRouter) {
      assertThat(client.socket.isConnected()).isTrue();
    }
  }

  /** Starts a thread for each prefix that sends it and then endless input. */
  private List<Thread> startFloods(List<FakeClient> clients) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < ENDLESS_INPUT_PREFIXES.length; i++) {
      FakeClient client = clients.get(i);
      String prefix = ENDLESS_INPUT_PREFIXES[i];
      threads.add(
          new Thread(
              () -> {
                try {
                  flood(client.send(prefix), repeatedInput(prefix));
                } catch (IOException fault) {
                  throw new java.io.UncheckedIOException(fault);
                }
              }));
    }
    threads.forEach(Thread::start);
    return threads;
  }

  private PooledByteBufAllocatorMetric allocatorMetric() throws Exception {
    Field netty = QueryRouter.class.getDeclaredField("netty");
    netty.setAccessible(true);
    Object resources = netty.get(site.router());
    Field allocator = resources.getClass().getDeclaredField("allocator");
    allocator.setAccessible(true);
    return ((PooledByteBufAllocator) allocator.get(resources)).metric();
  }

  /** Input without an end must neither exhaust memory nor delay other clients. */
  @Test
  void endlessInputIsCutOffInBoundedMemory() throws Exception {
    site.start();
    List<FakeClient> clients = new ArrayList<>();
    try (FakeClient other = site.connectClient()) {
      assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      for (int i = 0; i < ENDLESS_INPUT_PREFIXES.length; i++) {
        clients.add(site.connectClient());
      }
      List<Thread> floods = startFloods(clients);
      for (int i = 0; floods.stream().anyMatch(Thread::isAlive); i++) {
        assertThat(other.sendAndRead(queryRequest("whole", "o" + i, 2900, 1)).status())
            .isEqualTo(200);
        assertThat(allocatorMetric().usedDirectMemory()).isLessThan(MAX_BUFFERED_BYTES);
      }
      for (FakeShardServer server : site.servers) {
        assertThat(server.frames).allMatch(frame -> frame.requestId().startsWith("o"));
      }
    } finally {
      for (FakeClient client : clients) {
        client.close();
      }
    }
  }

  /** Connections and pending queries of clients that have left must be released. */
  @Test
  void departedClientsWithManyRequestsReleaseResources() throws Exception {
    site.disableAutoRespond();
    site.start();
    try (FakeClient other = site.connectClient()) {
      assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      for (int round = 0; round < DEPARTING_CLIENTS; round++) {
        FakeClient departingClient = site.connectClient();
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
          requests.append(queryRequest("whole", "l" + round + "x" + i, 2900, 0.5, 0.5));
        }
        if (round % 2 == 0) {
          departingClient.socket.setSoLinger(true, 0);
        }
        try {
          departingClient.send(requests.toString());
        } catch (SocketException closedByRouter) {
          assertThat(departingClient.socket.isConnected()).isTrue();
        }
        departingClient.close();
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      }
      while (countConnections() > 1) {
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      }
      // The queries of the departed clients no longer count as pending, so others are accepted.
      site.servers.forEach(server -> server.autoRespond = true);
      Response response = other.sendAndRead(queryRequest("whole", "other", 2900, 1));
      while (response.status() == 503) {
        response = other.sendAndRead(queryRequest("whole", "other", 2900, 1));
      }
      assertThat(response.body()).contains("value of other.0");
    }
  }

  private int countConnections() throws Exception {
    Field loop = QueryRouter.class.getDeclaredField("loop");
    Field clients = QueryRouter.class.getDeclaredField("clients");
    loop.setAccessible(true);
    clients.setAccessible(true);
    ClientServer server = (ClientServer) clients.get(site.router());
    return ((ExecutorService) loop.get(site.router())).submit(server::connectionCount).get();
  }

  // ---- shard servers

  /**
   * A response frame that is never completed must fail its requests in time; one with a length over
   * the limit is cut off.
   */
  @ParameterizedTest
  @ValueSource(ints = {60_000, 66_000, 1 << 24, Integer.MAX_VALUE})
  void incompleteResponseFrameFailsItsRequestsInBoundedMemory(int length) throws Exception {
    site.disableAutoRespond();
    FakeShardServer server = site.keepOnlyServer1();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest("once", "a", 2900, 0.5, 0.5));
      Frame frame = server.awaitFrame();
      server.awaitFrame();
      byte[] head = encodeFrame('q', frame.requestId() + " good 1 -\n");
      java.nio.ByteBuffer.wrap(head).putInt(0, length);
      frame.sendBytes(head);
      // Sends only a part of the announced length.
      try {
        frame.sendBytes(new byte[Math.min(length, BLOCK_BYTES) / 2]);
      } catch (IOException closed) {
        assertThat(length)
            .as("length of a frame that closes the connection")
            .isGreaterThan(MAX_FRAME_BYTES);
      }
      assertThat(client.readResponse().status()).isEqualTo(500);
      assertThat(allocatorMetric().usedDirectMemory()).isLessThan(MAX_BUFFERED_BYTES);
      server.autoRespond = true;
      assertThat(client.sendAndRead(queryRequest("once", "b", 2900, 1)).body())
          .contains("value of b.0");
      assertThat(server.acceptedCount).as("connections accepted by the server").hasValue(2);
    }
  }

  /** A server must not keep the router busy with small frames that match no pending request. */
  @Test
  void endlessUnexpectedFramesCloseTheConnection() throws Exception {
    site.disableAutoRespond();
    FakeShardServer server = site.keepOnlyServer1();
    site.start();
    int requestCount = 0;
    try (FakeClient client = site.connectClient()) {
      for (byte[] unexpectedFrame :
          List.of(
              encodeFrame('q', "z.0 good 1 -\nx"),
              encodeFrame('o', "good"),
              new byte[] {0, 0, 0, 0})) {
        client.send(queryRequest("once", "a" + requestCount++, 2900, 1));
        Frame frame = server.awaitFrame();
        org.assertj.core.api.Assertions.assertThatThrownBy(
                () -> {
                  while (true) {
                    frame.sendBytes(unexpectedFrame);
                  }
                })
            .isInstanceOf(IOException.class);
        assertThat(client.readResponse().status()).isEqualTo(500);
      }
      server.autoRespond = true;
      assertThat(client.sendAndRead(queryRequest("once", "b", 2900, 1)).body())
          .contains("value of b.0");
    }
  }

  /** What follows on a connection after a part of a frame was read. */
  enum IncompleteFrameCase {
    SERVER_CLOSES_CONNECTION,
    PRECEDED_BY_INVALID_FRAME,
    REST_ARRIVES_LATE,
    REST_ARRIVES_AFTER_TIMEOUT
  }

  /**
   * An incomplete frame follows the response to another request; it is cut in its length, its
   * header line or its value. It must not be taken for a response, and nothing may be sent again.
   */
  @ParameterizedTest
  @EnumSource(IncompleteFrameCase.class)
  void incompleteFrameIsNoResponseAndCausesNoRetry(IncompleteFrameCase frameCase) throws Exception {
    site.limits.put("connectTimeoutMs", FRAME_TIMEOUT_MS);
    site.disableAutoRespond();
    FakeShardServer server = site.keepOnlyServer1();
    site.start();
    for (int cut : new int[] {2, 12, VALUE.length() - 2}) {
      server.autoRespond = false;
      try (FakeClient firstClient = site.connectClient();
          FakeClient secondClient = site.connectClient()) {
        firstClient.send(queryRequest("once", "a" + cut, 2900, 1));
        Frame first = server.awaitFrame();
        secondClient.send(queryRequest("once", "b" + cut, 2900, 1));
        Frame second = server.awaitFrame();
        assertThat(second.socket()).isSameAs(first.socket());
        byte[] frameBytes = encodeFrame('q', second.requestId() + " good 1 -\n" + VALUE);
        int partLength = cut == VALUE.length() - 2 ? frameBytes.length - 2 : cut;
        sendIncompleteFrame(frameCase, first, frameBytes, partLength);
        // The frame before an incomplete one may fail too, as its own length may be wrong.
        assertThat(firstClient.readResponse().status()).isIn(200, 500);
        Response response = secondClient.readResponse();
        if (frameCase == IncompleteFrameCase.REST_ARRIVES_LATE) {
          assertThat(response.body()).contains(VALUE);
        } else {
          assertThat(response.status()).isEqualTo(500);
        }
        if (frameCase == IncompleteFrameCase.REST_ARRIVES_AFTER_TIMEOUT) {
          sendRestAfterTimeout(
              first, Arrays.copyOfRange(frameBytes, partLength, frameBytes.length));
        }
        assertThat(server.frames).noneMatch(frame -> frame.type() == 'm');
        server.autoRespond = true;
        assertThat(secondClient.sendAndRead(queryRequest("once", "c" + cut, 2900, 1)).body())
            .contains("value of c");
        server.awaitFrame();
      }
    }
  }

  private void sendIncompleteFrame(
      IncompleteFrameCase frameCase, Frame first, byte[] frameBytes, int partLength)
      throws Exception {
    CountDownLatch resume = site.stallEventLoop();
    first.respond("good", "first");
    if (frameCase == IncompleteFrameCase.PRECEDED_BY_INVALID_FRAME) {
      first.sendBytes(encodeFrame('x', "y"));
    }
    first.sendBytes(Arrays.copyOfRange(frameBytes, 0, partLength));
    if (frameCase == IncompleteFrameCase.SERVER_CLOSES_CONNECTION) {
      first.socket().close();
    } else if (frameCase == IncompleteFrameCase.REST_ARRIVES_LATE) {
      resume.countDown();
      // Once the part is read, the event loop stalls past the time limit of the frame. The rest
      // arrives during the stall.
      try (FakeClient other = site.connectClient()) {
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      }
      resume = site.stallEventLoop();
      long stallEnd = System.nanoTime() + 2_000_000L * FRAME_TIMEOUT_MS;
      while (System.nanoTime() < stallEnd) {
        Thread.onSpinWait();
      }
      first.sendBytes(Arrays.copyOfRange(frameBytes, partLength, frameBytes.length));
    }
    resume.countDown();
  }

  /** Sends the rest of a frame to a connection that the router may have reset. */
  private static void sendRestAfterTimeout(Frame first, byte[] rest) {
    try {
      first.sendBytes(rest);
    } catch (IOException reset) {
      assertThat(reset).isInstanceOf(SocketException.class);
    }
  }
}
