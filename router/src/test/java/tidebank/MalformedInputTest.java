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
 * Malformed and abusive input of clients and shard servers: it is answered or closed, nothing is
 * sent to a shard server for it, other connections are served on and what is buffered is bounded.
 */
@Timeout(30)
class MalformedInputTest {
  /** A sound body of 55 (hexadecimal 37) bytes: whoever reads on past a fault takes it. */
  private static final String BODY =
      "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"p\"}   ";

  private static final String SMUGGLED = queryRequest("whole", "smuggled", 2900, 1);

  /** What follows the size of the first chunk. */
  private static final String CHUNKS = "\r\n" + BODY + "\r\n0\r\n\r\n" + SMUGGLED;

  private static final int BLOCK_BYTES = 65_536;

  /** A frame of an answer may be as long as a value of 64 KiB and its line of 1 KiB. */
  private static final int LENGTH_BOUND = 65 * 1024;

  /** Far below what is sent: a pooled chunk is 512 KiB, a body 64 KiB. */
  private static final long MOST_BYTES = 16 << 20;

  /** A frame that has begun is to be whole within this. */
  private static final int REST_WITHIN_MS = 200;

  private static final String WHOLE = "a value that is whole";
  private static final int LEAVERS = 20;
  private static final int REQUESTS = 40;

  private final FakeSite site = new FakeSite();

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  /** With a further header in the first head; a request that hides in its body stays as it is. */
  private static String withHeader(String request, String header) {
    return request.replaceFirst("\r\nX-Account: a", Matcher.quoteReplacement("\r\n" + header));
  }

  private static String chunked(String chunks) {
    return postRequest("/whole", "a", "2900m", "")
            .replace("Content-Length: 0", "Transfer-Encoding: chunked")
        + chunks;
  }

  private static String withLength(String length) {
    return postRequest("/whole", "a", "2900m", BODY + SMUGGLED)
        .replaceFirst(
            "Content-Length: \\d+", Matcher.quoteReplacement("Content-Length: " + length));
  }

  private void nothingIsSent() {
    for (FakeShardServer server : site.servers) {
      assertThat(server.frames).noneMatch(frame -> frame.type() == 'm');
    }
  }

  /** The statuses up to the end of the connection, which is to come in time. */
  private static List<Integer> statuses(FakeClient client) throws IOException {
    List<Integer> statuses = new ArrayList<>();
    try {
      while (true) {
        statuses.add(client.readResponse().status());
      }
    } catch (EOFException | SocketException ended) {
      return statuses;
    }
  }

  // ---- requests that are no HTTP, or hide another

  @Test
  void withoutTheirFaultTheRequestsBelowAndTheOneBehindThemAreServed() throws Exception {
    site.start();
    for (String sound : List.of(withLength("55"), chunked("37" + CHUNKS))) {
      try (FakeClient client = site.connectClient()) {
        assertThat(client.sendAndRead(sound).body()).contains("value of a.0");
        assertThat(client.readResponse().body()).contains("value of smuggled.0");
      }
    }
  }

  private static final String[] LENGTHS = {
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

  @Test
  void aLengthThatIsNoneOrTooLargeIsRefusedAndNothingBehindItIsRead() throws Exception {
    site.start();
    for (String length : LENGTHS) {
      try (FakeClient other = site.connectClient();
          FakeClient client = site.connectClient()) {
        client.send(withLength(length));
        assertThat(statuses(client)).as(length).hasSize(1).isSubsetOf(400, 413);
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
        nothingIsSent();
      }
    }
  }

  private static final String[] CHUNK_SIZES = {
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

  @Test
  void aChunkSizeThatIsNoneOrTooLargeIsRefusedAndNothingBehindItIsRead() throws Exception {
    site.start();
    for (String size : CHUNK_SIZES) {
      try (FakeClient other = site.connectClient();
          FakeClient client = site.connectClient()) {
        client.send(chunked(size + CHUNKS));
        assertThat(statuses(client)).as(size).hasSize(1).isSubsetOf(400, 413);
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
        nothingIsSent();
      }
    }
  }

  private static final String[] HEADERS = {
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

  @Test
  void aSecondLengthOrAHeaderThatIsNoneIsRefusedAndNothingBehindItIsRead() throws Exception {
    site.start();
    for (String header : HEADERS) {
      for (String body : List.of(BODY + SMUGGLED, "37" + CHUNKS)) {
        try (FakeClient other = site.connectClient();
            FakeClient client = site.connectClient()) {
          client.send(withHeader(postRequest("/whole", "a", "2900m", body), header));
          assertThat(statuses(client)).as(header).containsExactly(400);
          assertThat(other.fetchReadinessStatus()).isEqualTo(200);
          nothingIsSent();
        }
      }
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"100-continue", "something-else"})
  void anExpectationBeforeABodyThatIsTooLargeLetsNothingBehindItBeReadAsARequest(String expectation)
      throws Exception {
    site.servers.forEach(server -> server.autoRespond = false);
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest("once", "first", 2900, 1));
      Frame first = anyFrame();
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
      assertThat(response.status()).as("responses keep their order").isEqualTo(200);
      assertThat(response.body()).contains("\"first\"");
      assertThat(statuses(client)).hasSize(1).allMatch(status -> status >= 400);
      nothingIsSent();
    }
  }

  @ParameterizedTest
  @ValueSource(strings = {"100-continue", "something-else"})
  void aBodyThatIsTooLargeForItsExpectationIsNoRequest(String expectation) throws Exception {
    site.start();
    try (FakeClient client = site.connectClient()) {
      String body = SMUGGLED + " ".repeat(70_000);
      client.send(withHeader(postRequest("/whole", "a", "2900m", body), "Expect: " + expectation));
      assertThat(statuses(client)).hasSize(1).allMatch(status -> status >= 400);
      nothingIsSent();
    }
  }

  @Test
  void anExpectationIsMetAndItsBodyTakenAsAnyOther() throws Exception {
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

  private Frame anyFrame() {
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

  // ---- more than may be sent

  private static final String[] ENDLESS = {
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

  /** What a client goes on with: its last line anew, or a letter. */
  private static String more(String begin) {
    String[] lines = begin.split("(?<=\n)");
    String last = lines[lines.length - 1];
    String chunk = "1\r\nx\r\n";
    return begin.endsWith(chunk) ? chunk : last.endsWith("\n") && !last.isBlank() ? last : "x";
  }

  /** Sends a block again and again until the gatherer has cut the connection off. */
  private static void flood(FakeClient client, String more) throws IOException {
    byte[] block = more.repeat(BLOCK_BYTES / more.length()).getBytes(ISO_8859_1);
    try {
      while (true) {
        client.socket.getOutputStream().write(block);
      }
    } catch (SocketException cutOff) {
      assertThat(client.socket.isConnected()).isTrue();
    }
  }

  private List<Thread> floods(List<FakeClient> clients) {
    List<Thread> threads = new ArrayList<>();
    for (int i = 0; i < ENDLESS.length; i++) {
      FakeClient client = clients.get(i);
      String begin = ENDLESS[i];
      threads.add(
          new Thread(
              () -> {
                try {
                  flood(client.send(begin), more(begin));
                } catch (IOException fault) {
                  throw new java.io.UncheckedIOException(fault);
                }
              }));
    }
    threads.forEach(Thread::start);
    return threads;
  }

  private PooledByteBufAllocatorMetric memory() throws Exception {
    Field netty = QueryRouter.class.getDeclaredField("netty");
    netty.setAccessible(true);
    Object resources = netty.get(site.router());
    Field allocator = resources.getClass().getDeclaredField("allocator");
    allocator.setAccessible(true);
    return ((PooledByteBufAllocator) allocator.get(resources)).metric();
  }

  @Test
  void whatNeverEndsIsCutOffInTimeInBoundedMemoryWhileOthersAreServed() throws Exception {
    site.start();
    List<FakeClient> clients = new ArrayList<>();
    try (FakeClient other = site.connectClient()) {
      assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      for (int i = 0; i < ENDLESS.length; i++) {
        clients.add(site.connectClient());
      }
      List<Thread> floods = floods(clients);
      for (int i = 0; floods.stream().anyMatch(Thread::isAlive); i++) {
        assertThat(other.sendAndRead(queryRequest("whole", "o" + i, 2900, 1)).status())
            .isEqualTo(200);
        assertThat(memory().usedDirectMemory()).isLessThan(MOST_BYTES);
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

  @Test
  void clientsThatSendMuchAtOnceAndGoLeaveNothingBehind() throws Exception {
    site.servers.forEach(server -> server.autoRespond = false);
    site.start();
    try (FakeClient other = site.connectClient()) {
      assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      for (int round = 0; round < LEAVERS; round++) {
        FakeClient leaver = site.connectClient();
        StringBuilder many = new StringBuilder();
        for (int i = 0; i < REQUESTS; i++) {
          many.append(queryRequest("whole", "l" + round + "x" + i, 2900, 0.5, 0.5));
        }
        if (round % 2 == 0) {
          leaver.socket.setSoLinger(true, 0);
        }
        try {
          leaver.send(many.toString());
        } catch (SocketException cutOff) {
          assertThat(leaver.socket.isConnected()).isTrue();
        }
        leaver.close();
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      }
      while (connections() > 1) {
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      }
      // As many may be held as before: what leavers asked for is held no longer.
      site.servers.forEach(server -> server.autoRespond = true);
      Response response = other.sendAndRead(queryRequest("whole", "other", 2900, 1));
      while (response.status() == 503) {
        response = other.sendAndRead(queryRequest("whole", "other", 2900, 1));
      }
      assertThat(response.body()).contains("value of other.0");
    }
  }

  private int connections() throws Exception {
    Field loop = QueryRouter.class.getDeclaredField("loop");
    Field clients = QueryRouter.class.getDeclaredField("clients");
    loop.setAccessible(true);
    clients.setAccessible(true);
    ClientServer side = (ClientServer) clients.get(site.router());
    return ((ExecutorService) loop.get(site.router())).submit(side::connectionCount).get();
  }

  // ---- shard servers

  private FakeShardServer onlyServer() {
    site.servers.forEach(server -> server.health = "Gone");
    FakeShardServer one = site.servers.get(1);
    one.health = "Ready";
    one.autoRespond = false;
    return one;
  }

  /** A frame of some length whose content never ends: cut off once it is over its bound. */
  @ParameterizedTest
  @ValueSource(ints = {60_000, 66_000, 1 << 24, Integer.MAX_VALUE})
  void anAnswerThatNeverEndsFailsItsPartsInTimeAndInBoundedMemory(int length) throws Exception {
    FakeShardServer server = onlyServer();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest("once", "a", 2900, 0.5, 0.5));
      Frame frame = server.awaitFrame();
      server.awaitFrame();
      byte[] head = encodeFrame('q', frame.requestId() + " good 1 -\n");
      java.nio.ByteBuffer.wrap(head).putInt(0, length);
      frame.sendBytes(head);
      // A part of what it says, and no more.
      try {
        frame.sendBytes(new byte[Math.min(length, BLOCK_BYTES) / 2]);
      } catch (IOException closed) {
        assertThat(length).as("a length in bounds ends no connection").isGreaterThan(LENGTH_BOUND);
      }
      assertThat(client.readResponse().status()).isEqualTo(500);
      assertThat(memory().usedDirectMemory()).isLessThan(MOST_BYTES);
      server.autoRespond = true;
      assertThat(client.sendAndRead(queryRequest("once", "b", 2900, 1)).body())
          .contains("value of b.0");
      assertThat(server.acceptedCount).as("a connection of its own").hasValue(2);
    }
  }

  /** Small frames without an end that answer nothing which is out. */
  @Test
  void framesWithoutEndThatNobodyAskedForEndTheirConnection() throws Exception {
    FakeShardServer server = onlyServer();
    site.start();
    try (FakeClient client = site.connectClient()) {
      for (byte[] odd :
          List.of(
              encodeFrame('q', "z.0 good 1 -\nx"),
              encodeFrame('o', "good"),
              new byte[] {0, 0, 0, 0})) {
        client.send(queryRequest("once", "a", 2900, 1));
        Frame frame = server.awaitFrame();
        org.assertj.core.api.Assertions.assertThatThrownBy(
                () -> {
                  while (true) {
                    frame.sendBytes(odd);
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

  /** How a connection ends on which half a frame was read. */
  enum Close {
    BY_THE_SERVER,
    BEHIND_AN_UNREADABLE_FRAME,
    AS_THE_REST_IS_LATE,
    AS_THE_REST_NEVER_COMES
  }

  /** Behind the answer to one part, cut in its length, in its line or in its value. */
  @ParameterizedTest
  @EnumSource(Close.class)
  void halfAFrameOnAConnectionThatClosesIsNoAnswerAndNothingIsSentAgain(Close close)
      throws Exception {
    site.limits.put("connectTimeoutMs", REST_WITHIN_MS);
    FakeShardServer server = onlyServer();
    site.start();
    for (int cut : new int[] {2, 12, WHOLE.length() - 2}) {
      server.autoRespond = false;
      try (FakeClient one = site.connectClient();
          FakeClient two = site.connectClient()) {
        one.send(queryRequest("once", "a" + cut, 2900, 1));
        Frame first = server.awaitFrame();
        two.send(queryRequest("once", "b" + cut, 2900, 1));
        Frame second = server.awaitFrame();
        assertThat(second.socket()).isSameAs(first.socket());
        byte[] half = encodeFrame('q', second.requestId() + " good 1 -\n" + WHOLE);
        int end = cut == WHOLE.length() - 2 ? half.length - 2 : cut;
        closes(close, first, half, end);
        // By the half behind it, the length of a whole answer may be as wrong.
        assertThat(one.readResponse().status()).isIn(200, 500);
        Response response = two.readResponse();
        if (close == Close.AS_THE_REST_IS_LATE) {
          assertThat(response.body()).contains(WHOLE);
        } else {
          assertThat(response.status()).isEqualTo(500);
        }
        if (close == Close.AS_THE_REST_NEVER_COMES) {
          restBehindTheEnd(first, Arrays.copyOfRange(half, end, half.length));
        }
        assertThat(server.frames).noneMatch(frame -> frame.type() == 'm');
        server.autoRespond = true;
        assertThat(two.sendAndRead(queryRequest("once", "c" + cut, 2900, 1)).body())
            .contains("value of c");
        server.awaitFrame();
      }
    }
  }

  private void closes(Close close, Frame first, byte[] half, int end) throws Exception {
    CountDownLatch go = site.stallEventLoop();
    first.respond("good", "first");
    if (close == Close.BEHIND_AN_UNREADABLE_FRAME) {
      first.sendBytes(encodeFrame('x', "y"));
    }
    first.sendBytes(Arrays.copyOfRange(half, 0, end));
    if (close == Close.BY_THE_SERVER) {
      first.socket().close();
    } else if (close == Close.AS_THE_REST_IS_LATE) {
      go.countDown();
      // Once the half is read, the loop stands still past the time for the rest, which comes then.
      try (FakeClient other = site.connectClient()) {
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      }
      go = site.stallEventLoop();
      long late = System.nanoTime() + 2_000_000L * REST_WITHIN_MS;
      while (System.nanoTime() < late) {
        Thread.onSpinWait();
      }
      first.sendBytes(Arrays.copyOfRange(half, end, half.length));
    }
    go.countDown();
  }

  private static void restBehindTheEnd(Frame first, byte[] rest) {
    try {
      first.sendBytes(rest);
    } catch (IOException reset) {
      assertThat(reset).isInstanceOf(SocketException.class);
    }
  }
}
