package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeShardServer;
import tidebank.FakeSite.FakeShardServer.Frame;

/**
 * Two things that happen at one moment, forced over loopback from both sides.
 * docs/notes/crossings.md has the table.
 */
@Timeout(30)
class CrossingsTest {
  private final FakeSite site = new FakeSite();

  @AfterEach
  void close() throws Exception {
    site.close();
  }

  /** What a client says of the time that it has left, and for how long the loop stands still. */
  private static final int TIME_LEFT_MS = 1500;

  private static final long STANDSTILL_MS = 1000;

  private void silence() {
    site.servers.forEach(server -> server.autoRespond = false);
  }

  /** One server in service, s1, for the shards 0 and 1. */
  private FakeShardServer only() {
    site.servers.forEach(server -> server.health = "Gone");
    FakeShardServer one = site.servers.get(1);
    one.health = "Ready";
    return one;
  }

  private FakeClient program() throws Exception {
    site.startProcess(
        Map.of(
            "NODE_CONFIG",
            site.writeConfigFile().toString(),
            "NODE_NAME",
            "n7",
            "NODE_LISTEN",
            "127.0.0.1:0"),
        "serve");
    return new FakeClient(
        new InetSocketAddress(
            "127.0.0.1",
            Integer.parseInt(
                log("router n7 listens on").replaceAll(".*127.0.0.1:(\\d+).*", "$1"))));
  }

  private String log(String part) throws IOException {
    for (String line = site.stderr.readLine(); ; line = site.stderr.readLine()) {
      assertThat(line).as("a line of the log with " + part).isNotNull();
      if (line.contains(part)) {
        return line;
      }
    }
  }

  private void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(site.process.pid())).start().waitFor();
  }

  private void endsWith0() throws Exception {
    assertThat(site.process.waitFor(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(site.process.exitValue()).isZero();
  }

  // ---- clients that leave

  /** How a client ends its connection. */
  enum CloseMode {
    FIN,
    RESET,
    HALF_CLOSE;

    void close(FakeClient client) throws IOException {
      if (this == HALF_CLOSE) {
        client.socket.shutdownOutput();
        return;
      }
      if (this == RESET) {
        client.socket.setSoLinger(true, 0);
      }
      client.close();
    }
  }

  @ParameterizedTest
  @EnumSource(CloseMode.class)
  void whatIsReadInOnePassWithTheEndOfItsClientIsNeverSent(CloseMode end) throws Exception {
    site.start();
    List<FakeClient> leavers = new ArrayList<>();
    try (FakeClient stays = site.connectClient()) {
      for (int i = 0; i < 20; i++) {
        leavers.add(site.connectClient());
        assertThat(leavers.get(i).fetchReadinessStatus()).isEqualTo(200);
      }
      CountDownLatch go = site.stallEventLoop();
      for (FakeClient leaver : leavers) {
        end.close(
            leaver.send(queryRequest("whole", "gone" + leavers.indexOf(leaver), 2900, 0.5, 0.5)));
      }
      stays.send(queryRequest("whole", "stays", 2900, 0.5, 0.5));
      go.countDown();
      assertThat(stays.readResponse().status()).isEqualTo(200);
      // Once more: whatever the first pass left over would go by now.
      assertThat(stays.sendAndRead(queryRequest("whole", "again", 2900, 0.5, 0.5)).status())
          .isEqualTo(200);
      for (FakeShardServer server : site.servers) {
        assertThat(server.frames).noneMatch(frame -> frame.content().startsWith("gone"));
      }
    } finally {
      for (FakeClient leaver : leavers) {
        leaver.close();
      }
    }
  }

  @Test
  void theEndOfAClientWithAFullPipelineIsSeen() throws Exception {
    silence();
    FakeShardServer server = only();
    site.latencyObjectiveMs = 10_000;
    site.start();
    FakeClient client = site.connectClient();
    for (int i = 0; i < 16; i++) {
      client.send(queryRequest("whole", "a" + i, 29_000, 1));
      assertThat(server.awaitFrame().type()).isEqualTo('m');
    }
    client.close();
    for (int i = 0; i < 16; i++) {
      assertThat(server.awaitFrame().type()).isEqualTo('n');
    }
  }

  @ParameterizedTest
  @EnumSource(CloseMode.class)
  void anAnswerAndTheEndOfItsClientInOnePassLeaveNothingBehind(CloseMode end) throws Exception {
    silence();
    FakeShardServer server = only();
    site.start();
    FakeClient leaver = site.connectClient();
    leaver.send(queryRequest("once", "a", 2900, 1));
    Frame frame = server.awaitFrame();
    CountDownLatch go = site.stallEventLoop();
    end.close(leaver);
    frame.respond("good", "in one pass");
    go.countDown();
    server.autoRespond = true;
    try (FakeClient other = site.connectClient()) {
      assertThat(other.sendAndRead(queryRequest("once", "b", 2900, 1)).body())
          .contains("value of b.0");
      assertThat(server.acceptedCount).as("the connection to it holds").hasValue(1);
    }
    leaver.close();
  }

  // ---- a loop that stood still

  @Test
  void whatCameInTimeIsTakenAlthoughTheLoopStoodStillPastTheTimeForIt() throws Exception {
    site.start();
    try (FakeClient asks = site.connectClient();
        FakeClient first = site.connectClient()) {
      // By this answer both are accepted, and the time for their first requests runs.
      assertThat(asks.fetchReadinessStatus()).isEqualTo(200);
      CountDownLatch go = site.stallEventLoop();
      first.send(queryRequest("whole", "a", 29_000, 0.5, 0.5));
      long late = System.nanoTime() + 2_700_000_000L;
      while (System.nanoTime() < late) {
        Thread.onSpinWait();
      }
      go.countDown();
      assertThat(first.readResponse().status()).isEqualTo(200);
    }
  }

  @Test
  void theTimeOfARequestThatCameWhileTheLoopStoodStillRunsFromThenOn() throws Exception {
    silence();
    FakeShardServer server = only();
    site.start();
    try (FakeClient first = site.connectClient();
        FakeClient client = site.connectClient()) {
      assertThat(client.fetchReadinessStatus()).isEqualTo(200);
      // Its end is due amid the standstill, by which the gatherer learns of that.
      first.send(queryRequest("whole", "a", 200, 1));
      server.awaitFrame();
      CountDownLatch go = site.stallEventLoop();
      long sent = System.nanoTime();
      client.send(queryRequest("whole", "b", TIME_LEFT_MS, 1));
      while (System.nanoTime() - sent < STANDSTILL_MS * 1_000_000) {
        Thread.onSpinWait();
      }
      go.countDown();
      assertThat(client.readResponse().status()).isEqualTo(503);
      assertThat((System.nanoTime() - sent) / 1_000_000)
          .isLessThan(TIME_LEFT_MS + STANDSTILL_MS / 2);
    }
  }

  @Test
  void aRequestThatComesAfterAStandstillHasAllOfItsTime() throws Exception {
    silence();
    FakeShardServer server = only();
    site.start();
    try (FakeClient first = site.connectClient();
        FakeClient client = site.connectClient()) {
      assertThat(client.fetchReadinessStatus()).isEqualTo(200);
      first.send(queryRequest("whole", "a", 200, 1));
      server.awaitFrame();
      CountDownLatch go = site.stallEventLoop();
      long stoodFrom = System.nanoTime();
      while (System.nanoTime() - stoodFrom < STANDSTILL_MS * 1_000_000) {
        Thread.onSpinWait();
      }
      go.countDown();
      // By this answer the loop has met what came meanwhile, and its late timers have fired.
      assertThat(first.readResponse().status()).isEqualTo(503);
      server.autoRespond = true;
      assertThat(client.sendAndRead(queryRequest("whole", "b", TIME_LEFT_MS / 2, 1)).status())
          .isEqualTo(200);
    }
  }

  // ---- closing over bytes that were not read

  @Test
  void aLastAnswerComesWholeThoughItsClientHasSentMore() throws Exception {
    silence();
    FakeShardServer server = only();
    site.start();
    // It takes in a part of the answer only; a reset would have the system drop the rest.
    try (FakeClient client = new FakeClient(site.router().address(), 4096)) {
      client.send(
          queryRequest("whole", "a", 2900, 1).replace("Host: x", "Host: x\r\nConnection: close"));
      Frame frame = server.awaitFrame();
      CountDownLatch go = site.stallEventLoop();
      // More than is read in one pass, and it goes on while the answer is under way.
      client.send("x".repeat(300_000));
      Thread more =
          new Thread(
              () -> {
                try {
                  client.send("x".repeat(3_000_000));
                } catch (IOException ended) {
                  // The gatherer's time for it is up, or it has read enough.
                }
              });
      more.start();
      frame.respond("good", "y".repeat(60_000));
      go.countDown();
      try (FakeClient other = site.connectClient()) {
        // By its second answer the gatherer has done all that it would to end the first connection.
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
        assertThat(other.fetchReadinessStatus()).isEqualTo(200);
      }
      FakeClient.Response response = client.readResponse();
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.body()).contains("y".repeat(60_000));
      assertThat(client.isClosedByRouter()).isTrue();
    }
  }

  @Test
  void aClientThatStaysPastItsLastAnswerIsClosedInTime() throws Exception {
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.sendAndRead(
          queryRequest("whole", "a", 2000, 1).replace("Host: x", "Host: x\r\nConnection: close"));
      assertThat(client.isClosedByRouter()).isTrue();
      long start = System.nanoTime();
      org.assertj.core.api.Assertions.assertThatThrownBy(
              () -> {
                while (System.nanoTime() - start < 6_000_000_000L) {
                  client.send("x");
                }
              })
          .isInstanceOf(IOException.class);
    }
  }

  // ---- shutdown

  @Test
  void aSigtermBeforeTheConfigurationIsReadEndsItWith0() throws Exception {
    Path pipe = Files.createTempDirectory("pipe").resolve("config");
    assertThat(new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor()).isZero();
    site.startProcess(Map.of("NODE_CONFIG", pipe.toString()), "serve");
    // Opening a pipe for writing waits for its reader, so the program is about to read its
    // configuration now.
    try (java.io.OutputStream writer = Files.newOutputStream(pipe)) {
      signal("HUP");
      signal("TERM");
      endsWith0();
    }
  }

  @Test
  void twoSigtermsWithSighupBetweenAndBehindAnswerWhatWasTakenAndEndItWith0() throws Exception {
    silence();
    FakeShardServer server = only();
    try (FakeClient held = program()) {
      held.send(queryRequest("once", "held", 2900, 1));
      Frame frame = server.awaitFrame();
      signal("TERM");
      log("shutdown requested");
      signal("HUP");
      signal("TERM");
      signal("HUP");
      frame.respond("good", "worth the wait");
      assertThat(held.readResponse().body()).contains("worth the wait");
      assertThat(held.isClosedByRouter()).isTrue();
      endsWith0();
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aRequestWhoseHeadIsInAtSigtermIsAnsweredIfItsBodyComesAndNeverHoldsTheEndUp(boolean comes)
      throws Exception {
    String request = queryRequest("once", "half", 2900, 1);
    try (FakeClient half = program();
        FakeClient rests = half.connectAnother()) {
      assertThat(rests.fetchReadinessStatus()).isEqualTo(200);
      long start = System.nanoTime();
      half.send(request.substring(0, request.length() - 5));
      // By its answer the gatherer has also met what came before on the other connection.
      assertThat(rests.fetchReadinessStatus()).isEqualTo(200);
      signal("TERM");
      log("shutdown requested");
      // Rests until it is ended, by when no more requests are let in.
      assertThat(rests.isClosedByRouter()).isTrue();
      if (comes) {
        half.send(request.substring(request.length() - 5));
        assertThat(half.readResponse().body()).contains("value of half.0");
      } else {
        assertThat(half.readResponse().status()).isEqualTo(408);
      }
      assertThat(half.isClosedByRouter()).isTrue();
      endsWith0();
      assertThat((System.nanoTime() - start) / 1_000_000).isLessThan(3700);
    }
  }

  @Test
  void aClientThatKeepsItsSideOpenPastItsLastAnswerIsWaitedForShortlyOnly() throws Exception {
    silence();
    FakeShardServer server = only();
    try (FakeClient stays = program();
        FakeClient waits = stays.connectAnother()) {
      stays.send(queryRequest("once", "a", 2900, 1));
      Frame first = server.awaitFrame();
      waits.send(queryRequest("once", "b", 2900, 1));
      Frame second = server.awaitFrame();
      signal("TERM");
      log("shutdown requested");
      first.respond("good", "x");
      assertThat(stays.readResponse().status()).isEqualTo(200);
      second.respond("good", "y");
      assertThat(waits.readResponse().status()).isEqualTo(200);
      // Both are still open on our side; the program ends well before the time that it was
      // promised.
      long answered = System.nanoTime();
      endsWith0();
      assertThat((System.nanoTime() - answered) / 1_000_000).isLessThan(2000);
    }
  }

  @Test
  void whoComesAtSigtermIsServedWhatHangsIsAbandonedAndItEndsWith0() throws Exception {
    silence();
    try (FakeClient first = program()) {
      assertThat(first.fetchReadinessStatus()).isEqualTo(200);
      long start = System.nanoTime();
      signal("TERM");
      log("shutdown requested");
      List<FakeClient> late = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        late.add(first.connectAnother().send(queryRequest("once", "late" + i, 2900, 1)));
      }
      site.servers.get(0).close();
      for (FakeClient client : late) {
        assertThat(client.readResponse().status()).isIn(500, 503);
        assertThat(client.isClosedByRouter()).isTrue();
        client.close();
      }
      endsWith0();
      assertThat((System.nanoTime() - start) / 1_000_000).isLessThan(3700);
    }
  }

  @Test
  void aClientThatNeverReadsDoesNotHoldTheEndUp() throws Exception {
    FakeShardServer server = only();
    silence();
    site.limits.put("mostHeld", 10_000);
    try (FakeClient deaf = program()) {
      for (int i = 0; i < 60; i++) {
        deaf.send(queryRequest("whole", "a" + i, 2900, 1));
        Frame frame = server.frames.poll(200, TimeUnit.MILLISECONDS);
        if (frame != null && frame.type() == 'm') {
          frame.respond("good", "x".repeat(60_000));
        }
      }
      long start = System.nanoTime();
      signal("TERM");
      endsWith0();
      assertThat((System.nanoTime() - start) / 1_000_000).isLessThan(3700);
    } catch (java.net.SocketException cutOff) {
      // So may a client be that does not read.
      signal("TERM");
      endsWith0();
    }
  }

  @Test
  void onConnectionsThatAreSentOnUpToTheEndEachRequestIsAnsweredOrNeverSentOn() throws Exception {
    java.util.Set<String> unanswered = java.util.concurrent.ConcurrentHashMap.newKeySet();
    try (FakeClient first = program()) {
      assertThat(first.fetchReadinessStatus()).isEqualTo(200);
      List<Thread> clients = new ArrayList<>();
      CountDownLatch asked = new CountDownLatch(8);
      for (int i = 0; i < 8; i++) {
        FakeClient one = first.connectAnother();
        String name = "c" + i;
        Thread asks =
            new Thread(
                () -> {
                  String id = "";
                  try (one) {
                    for (int n = 0; ; n++) {
                      id = name + "x" + n;
                      if (one.sendAndRead(queryRequest("once", id, 2900, 0.5, 0.5)).status()
                          != 200) {
                        unanswered.add("refused " + id);
                      }
                      asked.countDown();
                    }
                  } catch (IOException ended) {
                    unanswered.add(id);
                  }
                });
        clients.add(asks);
        asks.start();
      }
      asked.await();
      signal("TERM");
      for (Thread client : clients) {
        client.join();
      }
      endsWith0();
    }
    // One a client: the request that crossed the end of its connection, which its client may send
    // again elsewhere.
    assertThat(unanswered).hasSize(8).noneMatch(id -> id.startsWith("refused"));
    for (FakeShardServer server : site.servers) {
      assertThat(server.frames)
          .noneMatch(frame -> unanswered.contains(frame.requestId().split("[.]")[0]));
    }
  }

  // ---- repeats

  @Test
  void aLateAnswerOfTheFirstBehindTheSecondsIsDroppedAndItsConnectionHolds() throws Exception {
    silence();
    site.start();
    try (FakeClient client = site.connectClient()) {
      client.send(queryRequest("whole", "a", 2900, 1));
      Frame first = frameOf("a.0");
      // Nothing was heard for the time that a straggler has: a copy goes to the other replica.
      Frame second = frameOf("a.0");
      assertThat(second.socket()).isNotSameAs(first.socket());
      second.respond("good", "the second");
      assertThat(client.readResponse().body()).contains("the second");
      first.respond("good", "the first");
      site.servers.forEach(server -> server.autoRespond = true);
      int before = site.servers.stream().mapToInt(server -> server.acceptedCount.get()).sum();
      for (int i = 0; i < 8; i++) {
        assertThat(client.sendAndRead(queryRequest("whole", "b" + i, 2900, 1)).body())
            .contains("value of b" + i + ".0");
      }
      // Each replica of shard 0 has one connection, or a new one in place of that which had been
      // silent.
      assertThat(
              site.servers.stream().mapToInt(server -> server.acceptedCount.get()).sum() - before)
          .isLessThanOrEqualTo(1);
    }
  }

  private Frame frameOf(String part) {
    while (true) {
      for (FakeShardServer server : site.servers) {
        Frame frame = server.frames.poll();
        if (frame != null && frame.type() == 'm' && frame.requestId().equals(part)) {
          return frame;
        }
      }
      Thread.onSpinWait();
    }
  }

  @Test
  void aDialThatComesUpWhenItsScanIsOverCarriesNothingOfIt() throws Exception {
    try (java.net.ServerSocket full =
            new java.net.ServerSocket(0, 1, java.net.InetAddress.getByName("127.0.0.1"));
        java.net.Socket one = new java.net.Socket("127.0.0.1", full.getLocalPort());
        java.net.Socket two = new java.net.Socket("127.0.0.1", full.getLocalPort())) {
      FakeShardServer server = only();
      server.serverSocket.close();
      server.serverSocket = full;
      site.limits.put("connectTimeoutMs", 5000);
      site.start();
      try (FakeClient client = site.connectClient();
          FakeClient other = site.connectClient()) {
        // Abandoned, as for the module a part that waits for its dial is out; throttled if that is
        // known never to have run by then.
        assertThat(client.sendAndRead(queryRequest("once", "over", 300, 1)).status())
            .isIn(500, 503);
        other.send(queryRequest("once", "here", 2900, 1));
        assertThat(client.fetchReadinessStatus()).isEqualTo(200);
        full.accept().close();
        full.accept().close();
        try (java.net.Socket up = full.accept()) {
          up.setSoTimeout(FakeSite.WAIT_MS);
          java.io.DataInputStream in = new java.io.DataInputStream(up.getInputStream());
          assertThat(new String(in.readNBytes(in.readInt()), "UTF-8")).startsWith("mhere.0");
        }
      }
      assertThat(one.isConnected() && two.isConnected()).isTrue();
    }
  }

  // ---- descriptors

  @Test
  void idleClientsUpToTheLimitWhileDiscoveryIsDownLeaveRoomForItForServersAndForWhoAsks()
      throws Exception {
    site.maxSockets = 128;
    site.limitDescriptors = true;
    site.discovery.responseOverride = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n";
    List<FakeClient> idle = new ArrayList<>();
    try (FakeClient first = program()) {
      assertThat(first.fetchReadinessStatus()).isEqualTo(200);
      for (int i = 0; i < 300; i++) {
        // Half never ask, half ask once and stay.
        FakeClient one = first.connectAnother();
        idle.add(one);
        if (i % 2 == 0) {
          one.send("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        }
        if (i % 20 == 0) {
          try (FakeClient asks = first.connectAnother()) {
            assertThat(
                    asks.sendAndRead(queryRequest("whole", "a" + i, 2900, 0.25, 0.25, 0.25, 0.25))
                        .status())
                .as("after %d", i)
                .isEqualTo(200);
          }
        }
      }
      site.discovery.calls.clear();
      site.discovery.awaitCall("after=41");
      site.discovery.responseOverride = null;
      site.discovery.updateHealth(site.servers.get(0), "Gone");
      site.discovery.awaitCall("after=42");
      signal("TERM");
      endsWith0();
      assertThat(
              site.stderr
                  .lines()
                  .filter(line -> line.contains("Too many open files") || line.contains("ERROR")))
          .isEmpty();
    } finally {
      for (FakeClient one : idle) {
        one.close();
      }
    }
  }

  @Test
  void aRefusedClientThatStaysMakesNoRoomBeyondTheBudget() throws Exception {
    silence();
    FakeShardServer server = only();
    site.maxSockets = 128;
    site.latencyObjectiveMs = 10_000;
    site.start();
    List<FakeClient> all = new ArrayList<>();
    try {
      for (int i = 0; i < 64; i++) {
        all.add(site.connectClient().send(queryRequest("whole", "b" + i, 29_000, 1)));
        assertThat(server.awaitFrame().type()).isEqualTo('m');
      }
      for (int i = 0; i < 10; i++) {
        FakeClient surplus = site.connectClient();
        all.add(surplus);
        assertThat(surplus.sendAndRead(queryRequest("whole", "c" + i, 2000, 1)).status())
            .isEqualTo(503);
      }
      assertThat(server.frames).isEmpty();
    } finally {
      for (FakeClient one : all) {
        one.close();
      }
    }
  }

  // ---- membership

  @Test
  void anAnswerWithoutALengthIsWholeByItsEndAndNeverByAReset() throws Exception {
    site.pollIntervalMs = 6000;
    String only1 =
        "HTTP/1.1 200 OK\r\n\r\n"
            + site.discovery
                .listJson(true)
                .replace("\"seq\":41", "\"seq\":77")
                .replace("Ready", "Terminating");
    site.discovery.responseOverride = only1;
    site.discovery.closeByReset = true;
    site.start();
    try (FakeClient client = site.connectClient()) {
      site.discovery.awaitCall("after=41");
      // All of it is here, and would parse; what ends it is a reset.
      assertThat(client.sendAndRead(queryRequest("whole", "a", 2000, 1)).status()).isEqualTo(200);
      site.discovery.closePermits.release();
      site.discovery.awaitCall("after=41");
      assertThat(client.sendAndRead(queryRequest("whole", "b", 2000, 1)).status()).isEqualTo(200);
      // The call that is out now ends by a reset too, the next one by an end.
      site.discovery.closeByReset = false;
      site.discovery.closePermits.release();
      site.discovery.awaitCall("after=41");
      site.discovery.closePermits.release();
      site.discovery.awaitCall("after=77");
      assertThat(client.sendAndRead(queryRequest("whole", "c", 2000, 1)).status()).isEqualTo(503);
    }
  }

  @Test
  void anIndentedListIsAList() throws Exception {
    site.discovery.responseOverride =
        FakeSite.FakeDiscovery.httpResponse(
            site.discovery
                .listJson(true)
                .replace("\"seq\":41", "\"seq\":77")
                .replace(",", ",\r\n\t  ")
                .replace("{", "{ \n"));
    site.start();
    site.discovery.awaitCall("after=41");
    site.discovery.responseOverride = null;
    site.discovery.awaitCall("after=77");
  }

  @Test
  void withoutAnyListItIsReadyWithinHalfItsBoundAndAnswersHonestly() throws Exception {
    site.hasCachedList = false;
    site.discovery.serverSocket.close();
    site.start();
    long start = System.nanoTime();
    try (FakeClient client = site.connectClient()) {
      assertThat(client.fetchReadinessStatus()).isEqualTo(503);
      assertThat(client.sendAndRead(queryRequest("once", "a", 2000, 1)).status()).isEqualTo(503);
      int status = 503;
      while (status != 200) {
        assertThat((System.nanoTime() - start) / 1_000_000).isLessThan(8000);
        status = client.fetchReadinessStatus();
      }
      assertThat(client.sendAndRead(queryRequest("once", "b", 2000, 1)).status()).isEqualTo(503);
    }
  }
}
