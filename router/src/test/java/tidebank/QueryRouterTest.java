package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static tidebank.FakeSite.FakeClient.postRequest;
import static tidebank.FakeSite.FakeClient.queryRequest;
import static tidebank.FakeSite.FakeShardServer.encodeFrame;

import io.netty.buffer.PooledByteBufAllocator;
import io.netty.util.ResourceLeakDetector;
import io.netty.util.ResourceLeakDetectorFactory;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.slf4j.event.Level;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeClient.Response;
import tidebank.FakeSite.FakeShardServer;
import tidebank.FakeSite.FakeShardServer.Frame;
import tidebank.logging.Log;

/** A gatherer on sockets, between a client, shard servers and discovery that are stand-ins. */
@Timeout(20)
class QueryRouterTest {
  private static final Queue<String> LEAKS = new ConcurrentLinkedQueue<>();

  private final FakeSite site = new FakeSite();

  @BeforeAll
  static void watchForLeaks() {
    Log.configure(new Log.Settings(Level.WARN, Log.Format.TEXT, 50));
    ResourceLeakDetector.setLevel(ResourceLeakDetector.Level.PARANOID);
    ResourceLeakDetectorFactory.setResourceLeakDetectorFactory(
        new ResourceLeakDetectorFactory() {
          @Override
          public <T> ResourceLeakDetector<T> newResourceLeakDetector(
              Class<T> resource, int interval, long most) {
            return new ResourceLeakDetector<>(resource, interval) {
              @Override
              protected boolean needReport() {
                return true;
              }

              @Override
              protected void reportTracedLeak(String type, String records) {
                LEAKS.add(type + records);
              }

              @Override
              protected void reportUntracedLeak(String type) {
                LEAKS.add(type);
              }
            };
          }
        });
  }

  @AfterAll
  static void noBufferLeaks() {
    PooledByteBufAllocator allocator = new PooledByteBufAllocator(true);
    for (int i = 0; i < 10; i++) {
      System.gc();
      allocator.directBuffer(64).release();
    }
    assertThat(LEAKS).isEmpty();
  }

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  private void silence() {
    site.servers.forEach(server -> server.autoRespond = false);
  }

  /** The list names but one server in service: s1, which holds the shards 0 and 1. */
  private FakeShardServer only() {
    site.servers.forEach(server -> server.health = "Gone");
    FakeShardServer one = site.servers.get(1);
    one.health = "Ready";
    return one;
  }

  /** The next frame at any shard server. */
  private Frame anyFrame() throws InterruptedException {
    while (true) {
      for (FakeShardServer server : site.servers) {
        Frame frame = server.frames.poll();
        if (frame != null) {
          return frame;
        }
      }
      Thread.onSpinWait();
    }
  }

  private List<Frame> framesSoFar() {
    List<Frame> frames = new ArrayList<>();
    site.servers.forEach(server -> server.frames.drainTo(frames));
    return frames;
  }

  // ---- a scan's way

  @Test
  void aScanGoesToHoldersOfItsShardsAndItsAnswerIsWholeOnAConnectionThatStays() throws Exception {
    site.start();
    try (FakeClient client = site.connectClient()) {
      Response first = client.sendAndRead(queryRequest("whole", "a1", 2000, 0.5, 0.3, 0.1, 0.1));
      assertThat(first.status()).isEqualTo(200);
      assertThat(first.body())
          .isEqualTo(
              "{\"total\":true,\"answers\":[{\"range\":0,\"blob\":\"value of"
                  + " a1.0\"},{\"range\":1,\"blob\":\"value of"
                  + " a1.1\"},{\"range\":2,\"blob\":\"value of"
                  + " a1.2\"},{\"range\":3,\"blob\":\"value of a1.3\"}]}");
      for (FakeShardServer server : site.servers) {
        for (Frame frame : server.frames) {
          assertThat(frame.content()).matches("a1\\.([0-3]) \\1 d=(1\\d\\d\\d|2000) 8\nc41e77d0");
          int shard = frame.requestId().charAt(3) - '0';
          assertThat(server.position).isIn(shard, (shard + 1) % 4);
        }
      }
      assertThat(client.sendAndRead(queryRequest("whole", "a2", 2000, 1)).body())
          .contains("value of a2.0");
    }
  }

  @Test
  void valuesArePassedOnByteForByte() throws Exception {
    silence();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest("whole", "a", 2000, 1));
      anyFrame().respond("good", "quote \" back \\ line \n \u00e9 \u20ac");
      assertThat(client.readResponse().body())
          .contains("\"blob\":\"quote \\\" back \\\\ line \\n \u00e9 \u20ac\"");
    }
  }

  @Test
  void whatIsInAtTheTargetTimeIsAnsweredInPart() throws Exception {
    silence();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest("part", "a", 2500, 0.7, 0.3));
      for (Frame frame = anyFrame(); ; frame = anyFrame()) {
        if (frame.type() == 'm' && frame.requestId().equals("a.0")) {
          frame.respond("good", "x");
          break;
        }
      }
      assertThat(client.readResponse().body())
          .isEqualTo("{\"total\":false,\"answers\":[{\"range\":0,\"blob\":\"x\"}]}");
    }
  }

  @Test
  void aScanWhoseTimeIsNearlyGoneIsAnsweredAtOnceAndNothingIsSent() throws Exception {
    site.start();
    try (FakeClient client = site.connectClient()) {
      assertThat(client.sendAndRead(queryRequest("once", "a", 5, 1)).status()).isEqualTo(503);
      assertThat(
              client
                  .sendAndRead(
                      postRequest(
                          "/once",
                          "b",
                          "900u",
                          "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"\"}"))
                  .status())
          .isEqualTo(503);
      assertThat(framesSoFar()).isEmpty();
    }
  }

  @Test
  void whatIsNeverAnsweredEndsBeforeTheClientsTime() throws Exception {
    silence();
    site.start();
    try (FakeClient client = site.connectClient()) {
      long start = System.nanoTime();
      assertThat(client.sendAndRead(queryRequest("once", "a", 700, 1)).status()).isEqualTo(500);
      assertThat((System.nanoTime() - start) / 1_000_000).isBetween(500L, 770L);
    }
  }

  @Test
  void refusalsNameATimeToComeBackWhereThatIsAllowed() throws Exception {
    site.limits.putAll(java.util.Map.of("retryAfter", true, "maxRetryAfterMs", 300));
    site.servers.forEach(server -> server.health = "Terminating");
    site.start();
    try (FakeClient client = site.connectClient()) {
      Response response = client.sendAndRead(queryRequest("whole", "a", 2000, 1));
      assertThat(response.status()).isEqualTo(503);
      assertThat(response.headers()).containsEntry("Retry-After", "0.300");
    }
  }

  @Test
  void asManyAreHeldAsTheSettingsAllow() throws Exception {
    site.limits.put("mostHeld", 5);
    silence();
    site.start();
    try (FakeClient one = site.connectClient();
        FakeClient two = site.connectClient()) {
      one.send(queryRequest("whole", "a", 2000, 0.5, 0.5));
      anyFrame();
      assertThat(two.sendAndRead(queryRequest("whole", "b", 2000, 0.5, 0.5)).body())
          .contains("as much is held");
      assertThat(two.sendAndRead(queryRequest("whole", "c", 100, 1)).body()).contains("throttled");
    }
  }

  @Test
  void aClientThatLeavesEndsItsDispatches() throws Exception {
    silence();
    site.start();
    FakeClient client = site.connectClient();
    client.send(queryRequest("whole", "a", 2000, 1));
    Frame sent = anyFrame();
    client.close();
    Frame next = anyFrame();
    assertThat(next.type()).isEqualTo('n');
    assertThat(next.content()).isEqualTo("a.0");
    try (FakeClient other = site.connectClient()) {
      sent.respond("good", "too late");
      other.send(queryRequest("whole", "b", 2000, 1));
      assertThat(anyFrame().requestId()).isEqualTo("b.0");
    }
  }

  // ---- clients

  @Test
  void requestsMayBeCutAnywhereComeInChunksAndInOneWrite() throws Exception {
    site.start();
    try (FakeClient client = site.connectClient()) {
      for (char letter : queryRequest("whole", "a", 2000, 1).toCharArray()) {
        client.send(String.valueOf(letter));
      }
      assertThat(client.readResponse().body()).contains("value of a.0");
      String body = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"p\"}";
      String head =
          postRequest("/whole", "b", "2000000u", "")
              .replace("Content-Length: 0", "Transfer-Encoding: chunked");
      assertThat(
              client
                  .sendAndRead(
                      postRequest(
                          "/whole", "c", "2000m", body + " ".repeat(65_536 - body.length())))
                  .status())
          .isEqualTo(200);
      assertThat(
              client
                  .sendAndRead(
                      head + Integer.toHexString(body.length()) + "\r\n" + body + "\r\n0\r\n\r\n")
                  .body())
          .contains("value of b.0");
    }
  }

  @Test
  void pipelinedRequestsAreAnsweredInTheirOrder() throws Exception {
    silence();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(
          queryRequest("whole", "a", 2000, 1)
              + queryRequest("whole", "b", 2000, 0.5, 0.5).replace("\"range\":0", "\"range\":2")
              + "GET /health/live HTTP/1.1\r\nConnection: close\r\n\r\n");
      Frame held = null;
      for (int parts = 0; parts < 3; parts++) {
        Frame frame = anyFrame();
        if (frame.requestId().startsWith("a")) {
          held = frame;
        } else {
          frame.respond("good", "second");
        }
      }
      held.respond("good", "first");
      assertThat(client.readResponse().body()).contains("first");
      assertThat(client.readResponse().body()).contains("second");
      assertThat(client.readResponse().body()).isEqualTo("ok\n");
      assertThat(client.isClosedByRouter()).isTrue();
    }
  }

  @Test
  void whatIsNoScanIsRefusedPlainlyAndNothingIsSent() throws Exception {
    site.start();
    String one = "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"p\"}";
    String[][] cases = {
      {"404", postRequest("/unheard-of", "a", "10m", one)},
      {"404", "GET /health/other HTTP/1.1\r\n\r\n"},
      {"405", "GET /whole HTTP/1.1\r\n\r\n"},
      {"400", postRequest("/whole", "", "10m", one)},
      {"400", postRequest("/whole", "a b", "10m", one)},
      {"400", postRequest("/whole", "a", "", one)},
      {"400", postRequest("/whole", "a", "0m", one)},
      {"400", postRequest("/whole", "a", "-5m", one)},
      {"400", postRequest("/whole", "a", "10s", one)},
      {"400", postRequest("/whole", "a", "10m", "no JSON")},
      {"400", postRequest("/whole", "a", "10m", "")},
      {"400", postRequest("/whole", "a", "10m", "{\"ranges\":[],\"predicate\":\"p\"}")},
      {"400", postRequest("/whole", "a", "10m", "{\"ranges\":[{\"range\":0,\"portion\":1}]}")},
      {"400", postRequest("/whole", "a", "10m", one.replace("\"range\":0", "\"range\":4"))},
      {"400", postRequest("/whole", "a", "10m", one.replace("\"range\":0", "\"range\":-1"))},
      {"400", postRequest("/whole", "a", "10m", one.replace("\"portion\":1", "\"portion\":-0.5"))},
      {"400", postRequest("/whole", "a", "10m", one.replace("\"portion\":1", "\"portion\":1e300"))},
      {"400", postRequest("/whole", "a", "10m", one.replace("]", ",{\"range\":0,\"portion\":0}]"))},
      {"400", postRequest("/whole", "a", "10m", one.replace("\"portion\":1", "\"portion\":0.9"))},
      {"400", postRequest("/whole", "a", "10m", one.replace("\"portion\":1", "\"portion\":1.1"))},
      {
        "400",
        postRequest(
            "/whole", "a", "10m", one.replace("\"portion\":1", "\"portion\":0.5,\"portion\":1"))
      },
      {"400", postRequest("/whole", "a", "10m", one + "x")},
      {"413", postRequest("/whole", "a", "10m", "x".repeat(66_000))},
      {"400", "POST /whole HTTP/1.1\r\nno header\u0000at all\r\n\r\n"},
      {"400", "GET /health/live HTTP/1.1\r\nBig: " + "x".repeat(20_000) + "\r\n\r\n"},
      {"400", "nonsense\r\n\r\n"}
    };
    for (String[] odd : cases) {
      try (FakeClient client = site.connectClient()) {
        assertThat(client.sendAndRead(odd[1]).status())
            .as(odd[1].substring(0, Math.min(300, odd[1].length())))
            .isEqualTo(Integer.parseInt(odd[0]));
      }
    }
    assertThat(framesSoFar()).isEmpty();
    try (FakeClient client = site.connectClient()) {
      assertThat(client.sendAndRead(queryRequest("whole", "a", 2000, 1)).status()).isEqualTo(200);
    }
  }

  @Test
  void anIdThatIsInUseIsRefused() throws Exception {
    silence();
    site.start();
    try (FakeClient one = site.connectClient();
        FakeClient two = site.connectClient()) {
      one.send(queryRequest("whole", "a", 2000, 1));
      Frame frame = anyFrame();
      assertThat(two.sendAndRead(queryRequest("whole", "a", 2000, 1)).status()).isEqualTo(400);
      frame.respond("good", "x");
      assertThat(one.readResponse().status()).isEqualTo(200);
    }
  }

  @Test
  void connectionsBeyondTheBudgetAreRefusedPlainlyAndSilentOnesThenRestedOnesMakeRoom()
      throws Exception {
    site.maxSockets = 128;
    site.latencyObjectiveMs = 10_000;
    silence();
    site.start();
    List<FakeClient> busy = new ArrayList<>();
    try (FakeClient rests = site.connectClient();
        FakeClient silent = site.connectClient()) {
      for (int i = 0; i < 64; i++) {
        FakeClient client = site.connectClient();
        busy.add(client);
        client.send(queryRequest("whole", "b" + i, 29_000, 1));
        anyFrame();
        assertThat(i > 0 || rests.fetchReadinessStatus() == 200).isTrue();
      }
      assertThat(silent.isClosedByRouter()).isTrue();
      assertThat(rests.isClosedByRouter()).isTrue();
      try (FakeClient surplus = site.connectClient()) {
        // Refused by its head: what a connection beyond the budget sends is not kept.
        surplus.send(postRequest("/whole", "d", "10m", "x".repeat(9000)).substring(0, 300));
        assertThat(surplus.readResponse().status()).isEqualTo(503);
      }
      try (FakeClient surplus = site.connectClient()) {
        Response refused = surplus.sendAndRead(queryRequest("whole", "c", 2000, 1));
        assertThat(refused.status()).isEqualTo(503);
        assertThat(refused.headers()).containsEntry("connection", "close");
        assertThat(surplus.isClosedByRouter()).isTrue();
      }
    } finally {
      for (FakeClient client : busy) {
        client.close();
      }
    }
    // As soon as it has met the first of those ends there is room again.
    for (int status = 503; status != 200; ) {
      try (FakeClient again = site.connectClient()) {
        status = again.fetchReadinessStatus();
      }
    }
  }

  @Test
  void ofManyThatAskOnceAndStayTheOneThatRestsLongestIsClosedButNoneWithin2Seconds()
      throws Exception {
    site.maxSockets = 128;
    site.start();
    List<FakeClient> stay = new ArrayList<>();
    for (int i = 0; i < 25; i++) {
      stay.add(site.connectClient());
      assertThat(stay.get(i).sendAndRead(queryRequest("whole", "a" + i, 2000, 1)).status())
          .isEqualTo(200);
      // One that asks on is never the longest to rest.
      assertThat(stay.get(0).sendAndRead(queryRequest("whole", "b" + i, 2000, 1)).status())
          .isEqualTo(200);
    }
    // Whoever may still be asking on is not cut off.
    assertThat(stay.get(1).fetchReadinessStatus()).isEqualTo(200);
    long until = System.nanoTime() + 2_500_000_000L;
    for (int i = 0; System.nanoTime() < until; i++) {
      assertThat(stay.get(0).sendAndRead(queryRequest("whole", "c" + i, 2000, 1)).status())
          .isEqualTo(200);
    }
    assertThat(stay.remove(2).isClosedByRouter()).isTrue();
    for (FakeClient client : stay) {
      assertThat(client.fetchReadinessStatus()).isEqualTo(200);
      client.close();
    }
  }

  @Test
  void whatNeverComesWholeIsEndedWithin3SecondsOfConnecting() throws Exception {
    site.start();
    String whole = queryRequest("whole", "a", 2000, 1);
    String[] halves = {
      "",
      "P",
      "POST /whole HTTP/1.1\r\nX-Corr",
      whole.substring(0, whole.length() - 1),
      whole.replaceAll("Content-Length: .*", "Content-Length: 60000"),
      whole
          .replaceAll("Content-Length: .*", "Transfer-Encoding: chunked")
          .replaceAll("\\{.*", "5\r\n{\"ran")
    };
    long start = System.nanoTime();
    List<FakeClient> clients = new ArrayList<>();
    for (String half : halves) {
      clients.add(site.connectClient().send(half));
    }
    for (int i = 0; i < halves.length; i++) {
      // Who has begun a request has its error as well.
      if (!halves[i].isEmpty()) {
        assertThat(clients.get(i).readResponse().status()).isEqualTo(408);
      }
      assertThat(clients.get(i).isClosedByRouter()).isTrue();
      clients.get(i).close();
    }
    assertThat((System.nanoTime() - start) / 1_000_000).isLessThan(3000);
    assertThat(framesSoFar()).isEmpty();
  }

  @Test
  void aRequestOfTwoLengthsIsRefusedAndNothingBehindItIsRead() throws Exception {
    site.start();
    String hidden = queryRequest("whole", "hidden", 2000, 1);
    String[] heads = {
      "Transfer-Encoding: chunked",
      "Transfer-Encoding: gzip",
      "transfer-encoding:chunked, identity",
      "Content-Length: 7",
      "Content-Length: -1",
      "Content-Length: 1e3"
    };
    for (String head : heads) {
      try (FakeClient client = site.connectClient()) {
        String odd =
            postRequest("/whole", "a", "2000m", "0\r\n\r\n" + hidden)
                .replace("\r\nX-Account: a", "\r\n" + head);
        assertThat(client.sendAndRead(odd).status()).as(head).isEqualTo(400);
        assertThat(client.isClosedByRouter()).isTrue();
      }
    }
    assertThat(framesSoFar()).isEmpty();
  }

  @Test
  void aClientThatDoesNotReadItsAnswersIsCutOff() throws Exception {
    silence();
    only();
    site.limits.putAll(java.util.Map.of("mostHeld", 10_000, "connectTimeoutMs", 2000));
    site.start();
    try (FakeClient client = site.connectClient()) {
      assertThatThrownBy(
              () -> {
                for (int i = 0; ; i++) {
                  client.send(queryRequest("whole", "a" + i, 2900, 1));
                  Frame frame =
                      site.servers
                          .get(1)
                          .frames
                          .poll(100, java.util.concurrent.TimeUnit.MILLISECONDS);
                  if (frame != null && frame.type() == 'm') {
                    frame.respond("good", "x".repeat(60_000));
                  }
                }
              })
          .isInstanceOf(SocketException.class);
    }
  }

  @Test
  void ofHundredsOfRequestsAtOnceOnlyAFewAreTaken() throws Exception {
    silence();
    site.start();
    try (FakeClient client = site.connectClient()) {
      StringBuilder many = new StringBuilder();
      for (int i = 0; i < 300; i++) {
        many.append(queryRequest("whole", "a" + i, 1000, 1));
      }
      client.send(many.toString());
      int refused = 0;
      for (int i = 0; i < 17; i++) {
        refused += client.readResponse().status() == 503 ? 1 : 0;
      }
      assertThat(refused).isPositive();
      assertThat(client.isClosedByRouter()).isTrue();
      assertThat(framesSoFar().stream().map(Frame::requestId).distinct().count())
          .isLessThanOrEqualTo(16);
    }
  }

  // ---- shard servers

  @Test
  void answersMayBeCutAnywhereAndJoined() throws Exception {
    silence();
    only();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest("whole", "a", 2000, 0.5, 0.5));
      FakeShardServer server = site.servers.get(1);
      Frame one = server.awaitFrame();
      Frame two = server.awaitFrame();
      for (byte letter : encodeFrame('q', one.requestId() + " good 1 -\nv" + one.requestId())) {
        one.sendBytes(new byte[] {letter});
      }
      assertThat(client.socket.isClosed()).isFalse();
      two.sendBytes(
          encodeFrame('q', two.requestId() + " good 1 odd report=,\nv" + two.requestId()));
      assertThat(client.readResponse().body()).contains("va.0").contains("va.1");
      assertThat(server.acceptedCount).hasValue(1);
    }
  }

  @Test
  void partsOfOneTurnShareACallUpToTheBundle() throws Exception {
    site.maxBatchSize = 2;
    silence();
    only();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest("whole", "a", 2000, 0.5, 0.5));
      String rest = site.servers.get(1).awaitFrame().content();
      assertThat(rest).matches("a\\.0 0 d=\\d+ 8\nc41e77d0a\\.1 1 d=\\d+ 8\nc41e77d0");
    }
  }

  @Test
  void aConnectionTakesNoMoreCallsThanTheSettingsSay() throws Exception {
    site.limits.put("maxStreams", 1);
    silence();
    only();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest("whole", "a", 2000, 0.5, 0.5));
      Frame one = site.servers.get(1).awaitFrame();
      Frame two = site.servers.get(1).awaitFrame();
      assertThat(one.socket()).isNotSameAs(two.socket());
    }
  }

  /**
   * Sends a scan of this type whose one part is met by this; the part's further frames are
   * answered.
   */
  private interface Met {
    void by(FakeShardServer server, Frame frame) throws Exception;
  }

  private Response met(String type, Met met) throws Exception {
    silence();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest(type, "a", 2500, 1));
      Frame frame = anyFrame();
      FakeShardServer first =
          site.servers.stream()
              .filter(server -> server.sockets.contains(frame.socket()))
              .findFirst()
              .orElseThrow();
      site.servers.forEach(server -> server.autoRespond = true);
      met.by(first, frame);
      return client.readResponse();
    }
  }

  @Test
  void aReplayablePartWhoseConnectionBreaksGoesToAnotherServer() throws Exception {
    assertThat(met("whole", (server, frame) -> server.resetConnections()).body())
        .contains("value of a.0");
  }

  @Test
  void aNonReplayablePartThatMayHaveRunIsAbandonedAndNotSentAgain() throws Exception {
    assertThat(met("once", (server, frame) -> server.resetConnections()).status()).isEqualTo(500);
    assertThat(framesSoFar()).isEmpty();
  }

  @Test
  void aNonReplayablePartThatWasTurnedAwayGoesOn() throws Exception {
    assertThat(met("once", (server, frame) -> frame.respond("later", "")).body())
        .contains("value of a.0");
  }

  @Test
  void anErrorOfAReplayablePartGoesOn() throws Exception {
    assertThat(met("whole", (server, frame) -> frame.respond("bad", "")).body())
        .contains("value of a.0");
  }

  @Test
  void framesThatCannotBeReadEndTheirConnection() throws Exception {
    silence();
    site.start();
    byte[][] odd = {
      {0, 0, 0, 0},
      {-1, -1, -1, -1},
      {127, 0, 0, 0, 'q'},
      encodeFrame('x', "y"),
      encodeFrame('q', "no line"),
      encodeFrame('q', "a.0 fine 1 -\n"),
      encodeFrame('q', "two words\n"),
      encodeFrame('r', "what was that"),
      encodeFrame('o', "good")
    };
    for (int i = 0; i < odd.length; i++) {
      try (FakeClient client = site.connectClient()) {
        client.send(queryRequest("once", "a" + i, 2000, 1));
        anyFrame().sendBytes(odd[i]);
        assertThat(client.readResponse().status()).as("case " + i).isEqualTo(500);
      }
    }
  }

  @Test
  void anAnswerThatIsNotTheOneAwaitedIsNeverPassedOnAndEndsItsConnection() throws Exception {
    silence();
    FakeShardServer one = only();
    site.start();
    // Each stands where the answer to one of two parts should: the frame's letter and length, then
    // its text.
    String[] odd = {
      "zz.9 good 1 -\nx",
      "%s fine 1 -\nx",
      "%s  1 -\nx",
      "%s good 1\nx",
      "%s good 1 -\n\u00ff\u00fe"
    };
    for (int i = 0; i < odd.length + 3; i++) {
      try (FakeClient client = site.connectClient()) {
        client.send(queryRequest("once", "a" + i, 2000, 0.5, 0.5));
        Frame frame = one.awaitFrame();
        one.awaitFrame();
        byte[] text =
            (i < odd.length
                    ? odd[i].formatted(frame.requestId())
                    : frame.requestId() + " good 1 -\nvalue")
                .getBytes(java.nio.charset.StandardCharsets.ISO_8859_1);
        byte[] whole = encodeFrame('q', text);
        // The last three: a length that is too short, one that is too long, one of 3 GB.
        whole[3] += i == odd.length ? -3 : i == odd.length + 1 ? 9 : 0;
        whole[0] = i == odd.length + 2 ? (byte) 0xb0 : 0;
        frame.sendBytes(whole);
        assertThat(client.readResponse().status()).as("case " + i).isEqualTo(500);
        assertThat(one.acceptedCount).as("case " + i).hasValue(1 + i);
      }
    }
  }

  @Test
  void aGoodAnswerCountsWhateverFollowsItAndItsConnectionIsNotUsedAgain() throws Exception {
    silence();
    FakeShardServer one = only();
    site.start();
    // The first stands for a second copy of the answer.
    byte[][] more = {null, {1, 2}, {0, 0, 0, 0}, encodeFrame('x', "y"), "\r\n\r\n".getBytes()};
    try (FakeClient client = site.connectClient()) {
      for (int i = 0; i < more.length; i++) {
        client.send(queryRequest("once", "a" + i, 2000, 1));
        Frame frame = one.awaitFrame();
        byte[] good =
            encodeFrame('q', frame.requestId() + " good 1 util=NaN,load=-1,rate=1e999\nvalue");
        byte[] tail = more[i] == null ? good : more[i];
        byte[] both = java.util.Arrays.copyOf(good, good.length + tail.length);
        System.arraycopy(tail, 0, both, good.length, tail.length);
        frame.sendBytes(both);
        assertThat(client.readResponse().body()).as("case " + i).contains("\"value\"");
        assertThat(one.acceptedCount).as("case " + i).hasValue(1 + i);
      }
    }
  }

  @Test
  void whereConnectionsAreRefusedNothingRanAndThePartGoesOn() throws Exception {
    site.start();
    site.servers.get(0).serverSocket.close();
    try (FakeClient client = site.connectClient()) {
      for (int i = 0; i < 8; i++) {
        assertThat(client.sendAndRead(queryRequest("once", "a" + i, 2000, 1)).body())
            .contains("value of a" + i);
      }
    }
  }

  @Test
  void aConnectionThatNeverComesUpIsGivenUpAndItsPartGoesOn() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      List<Socket> queue = new ArrayList<>();
      for (int i = 0; i < 2; i++) {
        queue.add(new Socket("127.0.0.1", full.getLocalPort()));
      }
      site.servers.get(0).serverSocket.close();
      site.servers.get(0).serverSocket = full;
      site.start();
      try (FakeClient client = site.connectClient()) {
        for (int i = 0; i < 8; i++) {
          assertThat(client.sendAndRead(queryRequest("once", "a" + i, 2000, 1)).body())
              .contains("value of a" + i);
        }
      }
      for (Socket socket : queue) {
        socket.close();
      }
    }
  }

  @Test
  void aPartThatWaitsForAConnectionIsNeverWrittenOnceItsClientLeft() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      Socket one = new Socket("127.0.0.1", full.getLocalPort());
      Socket two = new Socket("127.0.0.1", full.getLocalPort());
      site.limits.put("connectTimeoutMs", 5000);
      only();
      site.servers.get(1).serverSocket.close();
      site.servers.get(1).serverSocket = full;
      site.start();
      FakeClient client = site.connectClient();
      client.send(queryRequest("whole", "gone", 2000, 1));
      try (FakeClient other = site.connectClient()) {
        other.send(queryRequest("whole", "here", 2900, 0.5, 0.5));
        client.close();
        try (FakeClient third = site.connectClient()) {
          // By its second answer the gatherer has also met what came before its first.
          third.fetchReadinessStatus();
          third.fetchReadinessStatus();
        }
        // Room for the connection that waits: its first frames are of the scan that is still
        // wanted.
        full.accept().close();
        full.accept().close();
        try (Socket up = full.accept()) {
          up.setSoTimeout(FakeSite.WAIT_MS);
          java.io.DataInputStream in = new java.io.DataInputStream(up.getInputStream());
          assertThat(new String(in.readNBytes(in.readInt()), "UTF-8")).startsWith("mhere.");
          assertThat(new String(in.readNBytes(in.readInt()), "UTF-8")).startsWith("mhere.");
        }
      }
      one.close();
      two.close();
    }
  }

  @Test
  void aPartThatWaitsForAConnectionGoesElsewhereOnceItsServersDrainGraceIsOver() throws Exception {
    try (ServerSocket full = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"));
        Socket one = new Socket("127.0.0.1", full.getLocalPort());
        Socket two = new Socket("127.0.0.1", full.getLocalPort())) {
      site.limits.put("connectTimeoutMs", 5000);
      FakeShardServer drains = site.servers.get(1);
      drains.serverSocket.close();
      drains.serverSocket = full;
      site.start();
      site.discovery.awaitCall("after=41");
      List<FakeClient> clients = new ArrayList<>();
      for (int i = 0; i < 8; i++) {
        clients.add(site.connectClient().send(queryRequest("once", "a" + i, 2900, 1)));
      }
      site.discovery.updateHealth(drains, "Terminating");
      for (FakeClient client : clients) {
        assertThat(client.readResponse().body()).contains("value of a");
        client.close();
      }
      assertThat(one.isConnected() && two.isConnected()).isTrue();
    }
  }

  @Test
  void aFrameThatIsStuckHalfWayEndsItsConnectionOnceItsScanIsAnswered() throws Exception {
    try (ServerSocket deaf = new ServerSocket()) {
      deaf.setReceiveBufferSize(4096);
      deaf.bind(new InetSocketAddress("127.0.0.1", 0));
      FakeShardServer server = only();
      server.serverSocket.close();
      server.serverSocket = deaf;
      site.limits.put("mostHeld", 1000);
      site.start();
      List<FakeClient> clients = new ArrayList<>();
      String large =
          "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"" + "x".repeat(60_000) + "\"}";
      for (int i = 0; i < 100; i++) {
        clients.add(site.connectClient().send(postRequest("/once", "a" + i, "1000m", large)));
      }
      try (Socket socket = deaf.accept()) {
        for (FakeClient client : clients) {
          assertThat(client.readResponse().status()).isIn(500, 503);
          client.close();
        }
        socket.setSoTimeout(FakeSite.WAIT_MS);
        // What was written whole can be read now; then the connection ends inside the frame that
        // was stuck.
        java.io.DataInputStream in = new java.io.DataInputStream(socket.getInputStream());
        int parts = 0;
        try {
          for (byte[] frame = in.readNBytes(in.readInt()); ; frame = in.readNBytes(in.readInt())) {
            parts += frame[0] == 'm' && frame.length > 60_000 ? 1 : 0;
          }
        } catch (java.io.EOFException | java.net.SocketException ended) {
          assertThat(parts).isLessThan(100);
        }
      }
    }
  }

  @Test
  void aConnectionIsNotUsedPastTheKeepAlive() throws Exception {
    site.limits.putAll(java.util.Map.of("keepaliveMs", 400, "connectTimeoutMs", 100));
    only();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.sendAndRead(queryRequest("whole", "a", 2000, 1));
      FakeShardServer server = site.servers.get(1);
      while (!server.sockets.isEmpty()) {
        Thread.onSpinWait();
      }
      assertThat(client.sendAndRead(queryRequest("whole", "b", 2000, 1)).body())
          .contains("value of b.0");
      assertThat(server.acceptedCount).hasValue(2);
    }
  }

  @Test
  void aConnectionThatFellSilentIsLeftForANewOne() throws Exception {
    silence();
    FakeShardServer one = only();
    site.start();
    try (FakeClient client = site.connectClient();
        FakeClient other = site.connectClient()) {
      client.send(queryRequest("whole", "a", 2000, 1));
      Frame unheard = one.awaitFrame();
      // Only what comes on another connection is answered from now on.
      Frame frame = one.awaitFrame();
      for (int i = 0; frame.socket() == unheard.socket() || frame.type() != 'm'; i++) {
        other.send(queryRequest("once", "b" + i, 400, 1));
        assertThat(other.readResponse().status()).isEqualTo(500);
        frame = one.awaitFrame();
      }
      one.autoRespond = true;
      frame.respond("good", "heard");
      assertThat(other.sendAndRead(queryRequest("once", "c", 2000, 1)).body())
          .contains("value of c.0");
    }
  }

  // ---- discovery

  @Test
  void itIsReadyOnceItKnowsShardServers() throws Exception {
    site.hasCachedList = false;
    site.discovery.responseOverride = "";
    site.start();
    try (FakeClient client = site.connectClient()) {
      site.discovery.awaitCall("/registry/instances");
      assertThat(client.fetchReadinessStatus()).isEqualTo(503);
      site.discovery.responseOverride = null;
      site.discovery.resetConnections();
      site.discovery.awaitCall("after=41");
      assertThat(client.fetchReadinessStatus()).isEqualTo(200);
    }
  }

  @Test
  void theListIsWatchedFromTheKnownVersionAndItsChangesKept() throws Exception {
    site.start();
    assertThat(site.discovery.awaitCall("")).isEqualTo("/registry/instances?after=41&wait_ms=500");
    site.discovery.updateHealth(site.servers.get(0), "Terminating");
    assertThat(site.discovery.awaitCall("")).isEqualTo("/registry/instances?after=42&wait_ms=2500");
    site.discovery.updateHealth(site.servers.get(2), "Gone");
    site.discovery.awaitCall("after=43");
    try (FakeClient client = site.connectClient()) {
      for (int i = 0; i < 8; i++) {
        assertThat(
                client
                    .sendAndRead(queryRequest("whole", "a" + i, 2000, 0.5, 0.25, 0.125, 0.125))
                    .status())
            .isEqualTo(200);
      }
    }
    assertThat(site.servers.get(0).frames).isEmpty();
    assertThat(site.servers.get(2).frames).isEmpty();
    assertThat(site.servers.get(1).frames).isNotEmpty();
  }

  @Test
  void aWatchWithoutNewsIsRenewed() throws Exception {
    site.pollIntervalMs = 1200;
    site.start();
    assertThat(site.discovery.awaitCall("")).isEqualTo("/registry/instances?after=41&wait_ms=100");
    assertThat(site.discovery.awaitCall("")).isEqualTo("/registry/instances?after=41&wait_ms=500");
    assertThat(site.discovery.awaitCall("")).isEqualTo("/registry/instances?after=41&wait_ms=500");
    assertThat(site.discovery.acceptedCount).hasValue(1);
  }

  @Test
  void aWatchThatHangsIsGivenUpForANewOne() throws Exception {
    site.pollIntervalMs = 1200;
    site.discovery.responseOverride = "";
    site.start();
    site.discovery.awaitCall("after=41&wait_ms=100");
    site.discovery.responseOverride = null;
    site.discovery.awaitCall("after=41&wait_ms=100");
    assertThat(site.discovery.acceptedCount).hasValue(2);
  }

  @Test
  void aLostWatchGoesOnFromWhereItCameToAndTheWholeListIsNotAskedFor() throws Exception {
    site.start();
    site.discovery.awaitCall("after=41");
    site.discovery.updateHealth(site.servers.get(0), "Terminating");
    site.discovery.awaitCall("after=42");
    site.discovery.responseOverride = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    site.discovery.resetConnections();
    assertThat(site.discovery.awaitCall("")).isEqualTo("/registry/instances?after=42&wait_ms=500");
    site.discovery.responseOverride = null;
    assertThat(site.discovery.awaitCall("")).isEqualTo("/registry/instances?after=42&wait_ms=500");
  }

  @Test
  void aServerThatCameBackUnderANewAddressIsMetThere() throws Exception {
    FakeShardServer moved = only();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.sendAndRead(queryRequest("whole", "a", 2000, 1));
      ServerSocket old = moved.serverSocket;
      moved.listenOnNewPort();
      site.discovery.awaitCall("after=41");
      site.discovery.updateHealth(moved, "Ready");
      site.discovery.awaitCall("after=42");
      assertThat(client.sendAndRead(queryRequest("whole", "b", 2000, 1)).status()).isEqualTo(200);
      assertThat(moved.acceptedCount).hasValue(2);
      assertThat(moved.frames.stream().map(f -> f.socket().getLocalPort()).distinct()).hasSize(2);
      old.close();
    }
  }

  @Test
  void aCallOfDiscoveryThatFailsLeavesTheListAndIsMadeAgain() throws Exception {
    String[] failures = {
      "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
      "no HTTP at all\r\n\r\n",
      FakeSite.FakeDiscovery.httpResponse("no JSON"),
      FakeSite.FakeDiscovery.httpResponse("{\"seq\":1,\"whole\":true}"),
      FakeSite.FakeDiscovery.httpResponse(site.discovery.listJson(true).replace("Ready", "Fine")),
      FakeSite.FakeDiscovery.httpResponse(site.discovery.listJson(true).replace("s1", "s0")),
      FakeSite.FakeDiscovery.httpResponse(
          site.discovery.listJson(true).replace("127.0.0.1", "nowhere")),
      FakeSite.FakeDiscovery.httpResponse(site.discovery.listJson(false)),
      FakeSite.FakeDiscovery.httpResponse(half(site.discovery.listJson(true)))
    };
    site.discovery.responseOverride = failures[0];
    site.pollIntervalMs = 2000;
    site.start();
    try (FakeClient client = site.connectClient()) {
      for (String failure : failures) {
        site.discovery.responseOverride = failure;
        site.discovery.calls.clear();
        site.discovery.awaitCall("/registry/instances");
        site.discovery.awaitCall("/registry/instances");
        assertThat(
                client
                    .sendAndRead(queryRequest("whole", "a" + failure.hashCode(), 2000, 1))
                    .status())
            .isEqualTo(200);
      }
      site.discovery.responseOverride = null;
      site.discovery.awaitCall("after=41");
    }
  }

  private static String half(String text) {
    return text.substring(0, text.length() / 2);
  }

  @Test
  void aListCutOffInTheMiddleByTheEndOfItsConnectionLeavesTheOldOne() throws Exception {
    site.discovery.responseOverride =
        half(FakeSite.FakeDiscovery.httpResponse(site.discovery.listJson(true)));
    site.pollIntervalMs = 2000;
    site.start();
    try (FakeClient client = site.connectClient()) {
      for (int i = 0; i < 3; i++) {
        site.discovery.awaitCall("after=41");
        site.discovery.resetConnections();
        assertThat(client.sendAndRead(queryRequest("whole", "a" + i, 2000, 1)).status())
            .isEqualTo(200);
      }
      site.discovery.responseOverride = null;
      site.discovery.awaitCall("after=41");
      site.discovery.updateHealth(site.servers.get(0), "Gone");
      site.discovery.awaitCall("after=42");
    }
  }

  @Test
  void anEmptyListIsBelievedSaidByReadyAndOverWithTheNextChange() throws Exception {
    site.discovery.responseOverride =
        FakeSite.FakeDiscovery.httpResponse("{\"seq\":43,\"whole\":true,\"hosts\":[]}");
    site.start();
    try (FakeClient client = site.connectClient()) {
      site.discovery.awaitCall("after=41");
      site.discovery.responseOverride = null;
      site.discovery.awaitCall("after=43");
      assertThat(client.fetchReadinessStatus()).isEqualTo(503);
      // Nothing was sent, so that trying again is harmless; and nobody waits for it.
      assertThat(client.sendAndRead(queryRequest("once", "a", 2000, 1)).status()).isEqualTo(503);
      assertThat(framesSoFar()).isEmpty();
      site.discovery.version = 43;
      site.discovery.updateHealth(site.servers.get(0), "Ready");
      site.discovery.awaitCall("after=44");
      assertThat(client.fetchReadinessStatus()).isEqualTo(200);
      assertThat(client.sendAndRead(queryRequest("whole", "b", 2000, 1)).status()).isEqualTo(200);
    }
  }

  @Test
  void aServerReplacedUnderTheSameAddressIsAnotherAndServes() throws Exception {
    FakeShardServer old = only();
    site.start();
    try (FakeClient client = site.connectClient();
        FakeShardServer fresh = new FakeShardServer("s9", old.position)) {
      assertThat(client.sendAndRead(queryRequest("whole", "a", 2000, 1)).status()).isEqualTo(200);
      fresh.serverSocket.close();
      fresh.serverSocket = old.serverSocket;
      site.discovery.awaitCall("after=41");
      site.discovery.updateHealth(old, "Gone");
      site.discovery.awaitCall("after=42");
      assertThat(client.sendAndRead(queryRequest("whole", "b", 2000, 1)).status()).isEqualTo(503);
      site.discovery.updateHealth(fresh, "Ready");
      site.discovery.awaitCall("after=43");
      assertThat(client.sendAndRead(queryRequest("whole", "c", 2000, 1)).status()).isEqualTo(200);
      // Not on the connection that was the old one's.
      assertThat(old.acceptedCount).hasValue(2);
    }
  }

  @Test
  void whereChangesComeUnaskedTheWatchIsKeptWithoutTheModule() throws Exception {
    site.discoveryMode = "push";
    site.discovery.responseOverride = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    site.start();
    site.discovery.awaitCall("/registry/instances");
    site.discovery.responseOverride = null;
    site.discovery.awaitCall("after=41");
    site.discovery.updateHealth(site.servers.get(0), "Gone");
    site.discovery.awaitCall("after=42");
    site.discovery.resetConnections();
    site.discovery.awaitCall("after=42");
  }

  @Test
  void aVersionThatGoesBackStartsTheListAnew() throws Exception {
    site.start();
    site.discovery.awaitCall("after=41");
    site.discovery.responseOverride =
        FakeSite.FakeDiscovery.httpResponse(
            site.discovery.listJson(false).replace("\"seq\":41", "\"seq\":7"));
    site.discovery.updateHealth(site.servers.get(3), "Ready");
    site.discovery.awaitCall("after=42");
    site.discovery.responseOverride = null;
    assertThat(site.discovery.awaitCall("")).isEqualTo("/registry/instances");
  }

  // ---- the program

  private FakeClient program() throws Exception {
    Process program =
        site.startProcess(
            java.util.Map.of(
                "NODE_CONFIG",
                site.writeConfigFile().toString(),
                "NODE_NAME",
                "n7",
                "NODE_LISTEN",
                "127.0.0.1:0",
                "NODE_DISCOVERY",
                site.discovery.address()),
            "serve");
    for (String line = site.stderr.readLine(); ; line = site.stderr.readLine()) {
      if (line.contains("router n7 listens on")) {
        String port = line.replaceAll(".*127.0.0.1:(\\d+).*", "$1");
        assertThat(program.isAlive()).isTrue();
        return new FakeClient(new InetSocketAddress("127.0.0.1", Integer.parseInt(port)));
      }
    }
  }

  @Test
  void onSigtermStragglersAreServedWhatWasTakenIsAnsweredAndTheProgramExitsWith0()
      throws Exception {
    silence();
    try (FakeClient held = program();
        FakeClient kept = held.connectAnother();
        FakeClient idle = held.connectAnother()) {
      assertThat(kept.fetchReadinessStatus()).isEqualTo(200);
      assertThat(idle.fetchReadinessStatus()).isEqualTo(200);
      held.send(queryRequest("once", "held", 2900, 1));
      Frame frame = anyFrame();
      site.process.toHandle().destroy();
      while (site.stderr.readLine().indexOf("shutdown requested") < 0) {
        assertThat(site.process.isAlive()).isTrue();
      }
      site.servers.forEach(server -> server.autoRespond = true);
      try (FakeClient straggler = held.connectAnother();
          FakeClient asks = held.connectAnother()) {
        assertThat(asks.fetchReadinessStatus()).isEqualTo(503);
        assertThat(straggler.sendAndRead(queryRequest("whole", "late", 2000, 1)).status())
            .isEqualTo(200);
      }
      // Clients that are here are served on, without a word of an end, until the time left gets
      // short.
      Response last = kept.sendAndRead(queryRequest("whole", "kept", 2000, 1));
      assertThat(last.status()).isEqualTo(200);
      assertThat(last.headers()).doesNotContainKey("connection");
      frame.respond("good", "worth the wait");
      assertThat(held.readResponse().body()).contains("worth the wait");
      assertThat(idle.isClosedByRouter()).isTrue();
      assertThat(site.process.waitFor()).isZero();
      assertThat(site.stderr.lines().filter(line -> line.contains("ERROR"))).isEmpty();
    }
  }

  @Test
  void aSigtermBeforeItIsReadyEndsItWith0() throws Exception {
    site.hasCachedList = false;
    site.discovery.responseOverride = "";
    try (FakeClient client = program()) {
      assertThat(client.fetchReadinessStatus()).isEqualTo(503);
      site.process.toHandle().destroy();
      assertThat(site.process.waitFor()).isZero();
      assertThat(site.stderr.lines().filter(line -> line.contains("ERROR"))).isEmpty();
    }
  }

  @Test
  void whatWouldOutlastTheStopIsAnsweredBeforeIt() throws Exception {
    silence();
    site.latencyObjectiveMs = 2000;
    try (FakeClient held = program();
        FakeClient late = held.connectAnother()) {
      held.send(queryRequest("once", "held", 6000, 1));
      anyFrame();
      long start = System.nanoTime();
      site.process.toHandle().destroy();
      while (site.stderr.readLine().indexOf("shutdown requested") < 0) {
        assertThat(site.process.isAlive()).isTrue();
      }
      late.send(queryRequest("once", "late", 6000, 1));
      assertThat(held.readResponse().status()).isEqualTo(500);
      assertThat(late.readResponse().status()).isEqualTo(500);
      assertThat(late.isClosedByRouter()).isTrue();
      assertThat(site.process.waitFor()).isZero();
      // The longest deadline, 3 s at most, and 0.7 s.
      assertThat((System.nanoTime() - start) / 1_000_000).isBetween(2500L, 3700L);
    }
  }

  @Test
  void whatIsHeldEndsWithTheProgramAndANewOneServesUnderTheSameAddress() throws Exception {
    silence();
    try (FakeClient client = program()) {
      client.send(queryRequest("whole", "a", 2900, 1));
      anyFrame();
      site.process.destroyForcibly().waitFor();
      site.configFields.put("listen", "127.0.0.1:" + client.socket.getPort());
      site.servers.forEach(server -> server.autoRespond = true);
      site.discovery.responseOverride = "";
      site.start();
      try (FakeClient again = site.connectClient()) {
        assertThat(again.sendAndRead(queryRequest("whole", "a", 2000, 1)).status()).isEqualTo(200);
      }
    }
  }

  private void hup(String config) throws Exception {
    java.nio.file.Files.writeString(site.configPath, config);
    new ProcessBuilder("kill", "-HUP", String.valueOf(site.process.pid())).start().waitFor();
  }

  @Test
  void onSighupDiscoveryIsFollowedToItsNewAddressAtOnceAndAFaultyFileChangesNothing()
      throws Exception {
    try (FakeClient client = program();
        FakeSite other = new FakeSite()) {
      site.discovery.awaitCall("after=41");
      String sound = site.configJson();
      hup(sound.substring(0, sound.length() / 2));
      while (!site.stderr.readLine().contains("stays as it was: NODE_CONFIG: found")) {
        assertThat(site.process.isAlive()).isTrue();
      }
      hup(sound.replace(site.discovery.address(), "nowhere"));
      while (!site.stderr
          .readLine()
          .contains("stays as it was: NODE_DISCOVERY or discovery: found nowhere")) {
        assertThat(site.process.isAlive()).isTrue();
      }
      // The new place counts its versions anew, and knows of other servers; the old one still
      // watches.
      hup(sound.replace(site.discovery.address(), other.discovery.address()));
      other.discovery.version = 3;
      other.discovery.awaitCall("after=3");
      other.discovery.updateHealth(other.servers.get(0), "Ready");
      other.discovery.awaitCall("after=4");
      assertThat(client.sendAndRead(queryRequest("whole", "a", 2000, 0.5, 0.5)).status())
          .isEqualTo(200);
      assertThat(framesSoFar()).isEmpty();
      hup(sound);
      site.discovery.awaitCall("/registry/instances");
      site.process.toHandle().destroy();
      hup(sound);
      assertThat(site.process.waitFor()).isZero();
    }
  }

  @Test
  void wrongArgumentsAndAWrongConfigurationStopTheStartWithOneLine() throws Exception {
    assertThat(site.startProcess(java.util.Map.of()).waitFor()).isEqualTo(2);
    assertThat(site.stderr.readLine())
        .isEqualTo("usage: java -jar tidebank.jar serve [--config FILE] | wirehost");
    assertThat(site.startProcess(java.util.Map.of("NODE_CONFIG", "/nowhere"), "serve").waitFor())
        .isEqualTo(2);
    assertThat(site.stderr.lines())
        .containsExactly("tidebank: NODE_CONFIG: found /nowhere, wanted a file that can be read");
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      site.configFields.put("listen", "127.0.0.1:" + taken.getLocalPort());
      assertThat(
              site.startProcess(
                      java.util.Map.of("NODE_CONFIG", site.writeConfigFile().toString()), "serve")
                  .waitFor())
          .isEqualTo(1);
      assertThat(site.stderr.readLine()).contains("cannot listen on").contains("in use");
    }
  }

  /**
   * Found by a replay: the gatherer heard SIGTERM and never ended, as a gone server's last
   * connection closed under its loop.
   */
  @Test
  void itEndsAlsoWhenServersThatAreGoneStillHaveConnections() throws Exception {
    site.start();
    try (FakeClient client = site.connectClient()) {
      for (int i = 0; i < 8; i++) {
        assertThat(
                client
                    .sendAndRead(queryRequest("whole", "g" + i, 2000, 0.25, 0.25, 0.25, 0.25))
                    .status())
            .isEqualTo(200);
      }
      site.discovery.awaitCall("after=41");
      for (int i = 0; i < 3; i++) {
        site.discovery.updateHealth(site.servers.get(i), "Gone");
        site.discovery.awaitCall("after=" + (42 + i));
      }
    }
    site.router().stop().get(FakeSite.WAIT_MS, java.util.concurrent.TimeUnit.MILLISECONDS);
  }
}
