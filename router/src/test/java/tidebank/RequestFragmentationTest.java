package tidebank;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;
import static tidebank.FakeSite.FakeShardServer.encodeFrame;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.embedded.EmbeddedChannel;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Field;
import java.lang.reflect.Method;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeShardServer;
import tidebank.FakeSite.FakeShardServer.Frame;
import tidebank.frontend.ClientServer;
import tidebank.runtime.QueryRouter;

/**
 * Fragmentation of what peers send: client requests, frames of shard servers, discovery's
 * responses. Each is cut at every byte position and at sets of positions drawn from fixed seeds;
 * the result must equal that of one segment.
 */
@Timeout(60)
class RequestFragmentationTest {
  private static final int RANDOM_CUTS = 200;
  private static final int MOST_PIECES = 40;

  /** Takes the place of a query's id, and is as long. */
  private static final String ID = "IDIDIDID";

  /** The last response of a pipeline: as responses keep their order, it ends the whole. */
  private static final String LAST = "unknown path\n";

  private static final String BODY =
      "{\"ranges\":[{\"range\":0,\"portion\":0.5},{\"range\":1,\"portion\":0.5}],\"predicate\":\"p\"}";

  private static final String BY_LENGTH = queryRequest("whole", ID + "a", 2900, 0.5, 0.5);

  /** Header names in capitals, whitespace round values, a body of an indented object. */
  private static final String CAPITALS =
      "POST /whole/of/it?x=1 HTTP/1.1\r\nHOST:x\r\nX-CORRELATION-ID: \t "
          + ID
          + "b \t\r\nX-TIME-LEFT:2900000u\r\nX-REPEAT: 1\r\nCONTENT-LENGTH:  "
          + (BODY.length() + 4)
          + " \r\n\r\n \r\n\t"
          + BODY;

  /** Header names in small letters, chunks with an extension, a trailer; empty lines before it. */
  private static final String BY_CHUNKS =
      "\r\n\r\nPOST /once HTTP/1.1\r\nhost: x\r\nx-correlation-id: "
          + ID
          + "c\r\nx-time-left: 2900m\r\ntransfer-encoding: chunked\r\n\r\n"
          + "1\r\n{\r\n00A;name=value\r\n"
          + BODY.substring(1, 11)
          + "\r\n"
          + Integer.toHexString(BODY.length() - 11).toUpperCase(java.util.Locale.ROOT)
          + "\r\n"
          + BODY.substring(11)
          + "\r\n0\r\nTrailer: of no use\r\n\r\n";

  private static final String WITHOUT_BODY = "GET /health/live HTTP/1.1\r\nhOsT: x\r\n\r\n";
  private static final String END = "\r\nGET /health/none HTTP/1.1\r\nHost: x\r\n\r\n";
  private static final String PIPELINE =
      BY_LENGTH + BY_CHUNKS + WITHOUT_BODY + CAPITALS + WITHOUT_BODY + END;

  private final FakeSite site = new FakeSite();
  private ExecutorService loop;
  private ClientServer clients;
  private int runs;

  @BeforeEach
  void awaitedLong() {
    // Time is no part of what is tested here: pieces may come late on a busy machine.
    site.limits.put("connectTimeoutMs", FakeSite.WAIT_MS);
    site.latencyObjectiveMs = FakeSite.WAIT_MS;
  }

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  private void start() throws Exception {
    site.start();
    loop = (ExecutorService) field("loop");
    clients = (ClientServer) field("clients");
  }

  private Object field(String name) throws Exception {
    Field field = QueryRouter.class.getDeclaredField(name);
    field.setAccessible(true);
    return field.get(site.router());
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  // ---- requests

  /** A connection of the gatherer's own pipeline, read in exactly the pieces that it is given. */
  private static final class PieceChannel extends EmbeddedChannel {
    private final ByteArrayOutputStream written = new ByteArrayOutputStream();
    final CompletableFuture<String> answers = new CompletableFuture<>();

    PieceChannel(ClientServer clients, Method accepted) {
      super(
          new ChannelInitializer<Channel>() {
            @Override
            protected void initChannel(Channel channel) throws Exception {
              accepted.invoke(clients, channel);
            }
          });
    }

    @Override
    protected void handleOutboundMessage(Object message) {
      ByteBuf bytes = (ByteBuf) message;
      byte[] copy = new byte[bytes.readableBytes()];
      bytes.readBytes(copy);
      bytes.release();
      written.writeBytes(copy);
      String text = written.toString(UTF_8);
      if (text.endsWith(LAST)) {
        answers.complete(text);
      }
    }
  }

  private PieceChannel connection() throws Exception {
    Method accepted = ClientServer.class.getDeclaredMethod("accept", Channel.class);
    accepted.setAccessible(true);
    return onLoop(() -> new PieceChannel(clients, accepted));
  }

  /**
   * The responses to these pieces, which are read one behind the other: in one turn of the event
   * loop, or each in a turn of its own.
   */
  private String answers(String[] pieces, boolean oneTurn) throws Exception {
    String id = String.format("%08d", runs++);
    PieceChannel connection = connection();
    List<byte[]> parts = new ArrayList<>();
    String whole = String.join("", pieces).replace(ID, id);
    int at = 0;
    for (String piece : pieces) {
      parts.add(whole.substring(at, at + piece.length()).getBytes(ISO_8859_1));
      at += piece.length();
    }
    if (oneTurn) {
      onLoop(() -> read(connection, parts));
    } else {
      for (byte[] part : parts) {
        onLoop(() -> read(connection, List.of(part)));
      }
    }
    String text = connection.answers.get(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS);
    onLoop(connection::close);
    return text.replace(id, ID);
  }

  private static Void read(EmbeddedChannel connection, List<byte[]> parts) {
    parts.forEach(part -> connection.writeInbound(Unpooled.wrappedBuffer(part)));
    return null;
  }

  private static String[] cut(String text, TreeSet<Integer> positions) {
    List<String> pieces = new ArrayList<>();
    int from = 0;
    for (int position : positions) {
      pieces.add(text.substring(from, position));
      from = position;
    }
    pieces.add(text.substring(from));
    return pieces.toArray(new String[0]);
  }

  private static TreeSet<Integer> randomPositions(int length, Random random) {
    TreeSet<Integer> positions = new TreeSet<>();
    int cuts = 1 + random.nextInt(MOST_PIECES);
    for (int i = 0; i < cuts; i++) {
      positions.add(1 + random.nextInt(length - 1));
    }
    return positions;
  }

  private String whole() throws Exception {
    String whole = answers(new String[] {PIPELINE}, true);
    assertThat(whole.split("HTTP/1.1 200 OK", -1)).hasSize(6);
    for (String part : List.of("a.0", "a.1", "c.0", "c.1", "b.0", "b.1")) {
      assertThat(whole).containsOnlyOnce("value of " + ID + part);
    }
    return whole;
  }

  @Test
  void aPipelineOfRequestsCutAtAnyBytePositionIsAnsweredAsOneSegment() throws Exception {
    start();
    String whole = whole();
    for (int at = 1; at < PIPELINE.length(); at++) {
      String[] pieces = {PIPELINE.substring(0, at), PIPELINE.substring(at)};
      assertThat(answers(pieces, at % 2 == 0)).as("cut at byte %d", at).isEqualTo(whole);
    }
  }

  @Test
  void aPipelineOfRequestsOfOneByteSegmentsIsAnsweredAsOneSegment() throws Exception {
    start();
    String whole = whole();
    String[] bytes = PIPELINE.split("");
    assertThat(answers(bytes, true)).isEqualTo(whole);
    assertThat(answers(bytes, false)).isEqualTo(whole);
  }

  @Test
  void aPipelineOfRequestsCutAtRandomPositionsIsAnsweredAsOneSegment() throws Exception {
    start();
    String whole = whole();
    for (int seed = 0; seed < RANDOM_CUTS; seed++) {
      TreeSet<Integer> positions = randomPositions(PIPELINE.length(), new Random(seed));
      assertThat(answers(cut(PIPELINE, positions), seed % 2 == 0))
          .as("seed %d, cut at %s", seed, positions)
          .isEqualTo(whole);
    }
  }

  @Test
  void aPipelineOfRequestsWrittenInPiecesToASocketIsAnsweredAsOneSegment() throws Exception {
    start();
    String whole = whole();
    for (int seed = 0; seed < RANDOM_CUTS / 4; seed++) {
      String id = String.format("s%07d", seed);
      String text = PIPELINE.replace(ID, id);
      try (FakeClient client = site.connectClient()) {
        for (String piece : cut(text, randomPositions(text.length(), new Random(seed)))) {
          client.send(piece);
        }
        byte[] answers = new byte[whole.length()];
        InputStream in = client.socket.getInputStream();
        assertThat(in.readNBytes(answers, 0, answers.length)).isEqualTo(answers.length);
        assertThat(new String(answers, UTF_8).replace(id, ID)).as("seed %d", seed).isEqualTo(whole);
      }
    }
  }

  // ---- frames of shard servers

  /**
   * Answered behind all that was written to the gatherer before this call: its event loop reads
   * every connection that has bytes between the first response and the second.
   */
  private static void awaitRead(FakeClient other) throws IOException {
    assertThat(other.fetchReadinessStatus()).isEqualTo(200);
    assertThat(other.fetchReadinessStatus()).isEqualTo(200);
  }

  private static byte[] joined(byte[]... parts) {
    ByteArrayOutputStream all = new ByteArrayOutputStream();
    for (byte[] part : parts) {
      all.writeBytes(part);
    }
    return all.toByteArray();
  }

  private static byte[] answer(Frame frame, String report, String value) {
    return encodeFrame('q', frame.requestId() + " good 12 " + report + "\n" + value);
  }

  /** The two parts' answers, the second one with a value that holds line ends and a frame. */
  private static byte[] answers(FakeShardServer server) throws InterruptedException {
    Frame one = server.awaitFrame();
    Frame two = server.awaitFrame();
    return joined(
        answer(two, "inflight=7,util=0.61", "two\n\u0000\u0000\u0000\u0005q\u00e9\u20ac"),
        answer(one, "-", ""));
  }

  private FakeShardServer onlyServer() {
    site.servers.forEach(server -> server.health = "Gone");
    FakeShardServer one = site.servers.get(1);
    one.health = "Ready";
    one.autoRespond = false;
    return one;
  }

  @Test
  void framesOfAShardServerCutAtAnyBytePositionAreReadAsOneSegment() throws Exception {
    FakeShardServer server = onlyServer();
    start();
    try (FakeClient client = site.connectClient();
        FakeClient other = site.connectClient()) {
      String whole = null;
      int length = Integer.MAX_VALUE;
      for (int at = 0; at < length; at++) {
        String id = String.format("%08d", at);
        client.send(queryRequest("once", id, 20_000, 0.5, 0.5));
        byte[] bytes = answers(server);
        length = bytes.length;
        Socket socket = server.sockets.iterator().next();
        socket.getOutputStream().write(bytes, 0, at);
        awaitRead(other);
        socket.getOutputStream().write(bytes, at, length - at);
        String body = client.readResponse().body().replace(id, ID);
        whole = whole == null ? body : whole;
        assertThat(body).as("cut at byte %d", at).isEqualTo(whole).contains("two");
      }
      assertThat(server.acceptedCount).as("the connection holds").hasValue(1);
    }
  }

  @Test
  void framesOfAShardServerCutAtRandomPositionsAreReadAsOneSegment() throws Exception {
    FakeShardServer server = onlyServer();
    start();
    try (FakeClient client = site.connectClient();
        FakeClient other = site.connectClient()) {
      for (int seed = 0; seed < RANDOM_CUTS / 2; seed++) {
        client.send(queryRequest("once", "r" + seed, 20_000, 0.5, 0.5));
        byte[] bytes = answers(server);
        Socket socket = server.sockets.iterator().next();
        int from = 0;
        for (int position : randomPositions(bytes.length, new Random(seed))) {
          socket.getOutputStream().write(bytes, from, position - from);
          awaitRead(other);
          from = position;
        }
        socket.getOutputStream().write(bytes, from, bytes.length - from);
        assertThat(client.readResponse().body())
            .as("seed %d", seed)
            .startsWith("{\"total\":true,")
            .contains("\"two\\n\\u0000\\u0000\\u0000\\u0005q\u00e9\u20ac\"", "\"blob\":\"\"");
      }
      assertThat(server.acceptedCount).as("the connection holds").hasValue(1);
    }
  }

  // ---- discovery's lists

  private String list(long version) {
    return site.discovery
        .listJson(true)
        .replace("\"seq\":41", "\"seq\":" + version)
        .replace(",", ",\n  ");
  }

  private String response(long version, boolean chunked) {
    String body = list(version);
    if (!chunked) {
      return "HTTP/1.1 200 OK\r\nCONTENT-LENGTH:" + body.length() + "\r\n\r\n" + body;
    }
    return "HTTP/1.1 200 \r\ntransfer-encoding: Chunked\r\n\r\n3\r\n"
        + body.substring(0, 3)
        + "\r\n"
        + Integer.toHexString(body.length() - 3)
        + ";x=y\r\n"
        + body.substring(3)
        + "\r\n0\r\n\r\n";
  }

  /** The path of the next call on discovery's connection. */
  private static String call(InputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int next = in.read();
      assertThat(next).as("the watch goes on").isNotNegative();
      head.append((char) next);
    }
    return head.toString().split(" ")[1];
  }

  @Test
  void aListOfDiscoveryCutAtAnyBytePositionIsReadAsOneSegment() throws Exception {
    site.discovery.serverSocket.close();
    try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      site.discovery.serverSocket = listener;
      start();
      try (Socket watch = listener.accept();
          FakeClient other = site.connectClient()) {
        watch.setTcpNoDelay(true);
        watch.setSoTimeout(FakeSite.WAIT_MS);
        assertThat(call(watch.getInputStream())).contains("after=41&");
        long version = 1000;
        for (boolean chunked : new boolean[] {false, true}) {
          int length = response(version, chunked).length();
          for (int at = 0; at < length; at++) {
            byte[] bytes = response(++version, chunked).getBytes(UTF_8);
            watch.getOutputStream().write(Arrays.copyOfRange(bytes, 0, at));
            awaitRead(other);
            watch.getOutputStream().write(Arrays.copyOfRange(bytes, at, length));
            assertThat(call(watch.getInputStream()))
                .as("chunked: %s, cut at byte %d", chunked, at)
                .contains("after=" + version + "&");
          }
        }
      }
    }
  }
}
