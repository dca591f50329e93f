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
 * Connections in the accept backlog, complete for the kernel and unknown to the process, as the
 * process is told to end, is killed, or is started again at its address. Each has its request
 * written before that.
 */
@Timeout(30)
class AcceptBacklogTest {
  private static final int CLIENTS = 40;

  /** Past the moment of a shutdown at which the listener closes, 0.6 s. */
  private static final long PAST_CLOSE_NS = 800_000_000L;

  private static final int NO_ANSWER = 0;

  private final FakeSite site = new FakeSite();
  private final List<FakeClient> clients = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (FakeClient client : clients) {
      client.close();
    }
    site.close();
  }

  // ---- what clients do

  private void connectAll(InetSocketAddress address) throws IOException {
    for (int i = 0; i < CLIENTS; i++) {
      FakeClient client = new FakeClient(address);
      clients.add(client);
      client.send(queryRequest("once", "b" + i, 2900, 0.5, 0.5));
    }
  }

  /** The status of each client's response, {@link #NO_ANSWER} where its connection ended first. */
  private Map<String, Integer> statuses() throws IOException {
    Map<String, Integer> statuses = new HashMap<>();
    for (int i = 0; i < CLIENTS; i++) {
      int status = NO_ANSWER;
      try {
        status = clients.get(i).readResponse().status();
      } catch (EOFException | SocketException ended) {
        // Closed or reset.
      }
      statuses.put("b" + i, status);
    }
    return statuses;
  }

  private void whatWasSentIsAnswered(Map<String, Integer> statuses) {
    for (FakeShardServer server : site.servers) {
      assertThat(server.frames)
          .allSatisfy(
              frame -> assertThat(statuses.get(frame.requestId().split("[.]")[0])).isNotZero());
    }
  }

  // ---- a gatherer in this process

  @Test
  void whatIsInTheBacklogAsAShutdownBeginsIsAnswered() throws Exception {
    site.start();
    CountDownLatch go = site.stallEventLoop();
    connectAll(site.router().address());
    CompletableFuture<Void> stopped = site.router().stop();
    go.countDown();
    assertThat(statuses().values()).containsOnly(200);
    stopped.get(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  /** Stands still at the end of one pass that accepts, until the listener's time is over. */
  private static final class StandsStillAfterAccepting extends ChannelInboundHandlerAdapter {
    private int passesLeft;

    StandsStillAfterAccepting(int passes) {
      passesLeft = passes;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
      context.fireChannelReadComplete();
      if (--passesLeft == 0) {
        waitPastClose();
      }
    }
  }

  private static void waitPastClose() {
    long late = System.nanoTime() + PAST_CLOSE_NS;
    while (System.nanoTime() < late) {
      Thread.onSpinWait();
    }
  }

  /** None, some or all of them are accepted, and some read, as the listener closes. */
  @ParameterizedTest
  @ValueSource(ints = {0, 1, 2, 3})
  void whatIsInTheBacklogAsTheListenerClosesIsAnswered(int passes) throws Exception {
    site.start();
    CountDownLatch go = site.stallEventLoop();
    CompletableFuture<Void> stopped = site.router().stop();
    if (passes > 0) {
      site.listeningChannel().pipeline().addFirst(new StandsStillAfterAccepting(passes));
    } else {
      // The shutdown begins, and then the loop stands still before it accepts anything.
      go.countDown();
      go = site.stallEventLoop();
    }
    connectAll(site.router().address());
    if (passes == 0) {
      waitPastClose();
    }
    go.countDown();
    Map<String, Integer> statuses = statuses();
    whatWasSentIsAnswered(statuses);
    assertThat(statuses.values()).containsOnly(200);
    stopped.get(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  // ---- the program

  private InetSocketAddress program(String listen) throws Exception {
    site.startProcess(
        Map.of(
            "NODE_CONFIG",
            site.writeConfigFile().toString(),
            "NODE_NAME",
            "n7",
            "NODE_LISTEN",
            listen),
        "serve");
    String line = site.stderr.readLine();
    while (!line.contains("router n7 listens on")) {
      line = site.stderr.readLine();
      assertThat(line).as("a line that it listens").isNotNull();
    }
    return new InetSocketAddress(
        "127.0.0.1", Integer.parseInt(line.replaceAll(".*127.0.0.1:(\\d+).*", "$1")));
  }

  private void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(site.process.pid())).start().waitFor();
  }

  /** Stops the process, as SIGSTOP does, and waits until none of its threads runs. */
  private void stopRunning() throws Exception {
    signal("STOP");
    while (!allThreadsStopped()) {
      Thread.onSpinWait();
    }
  }

  private boolean allThreadsStopped() throws IOException {
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

  private void endsWith0() throws Exception {
    assertThat(site.process.waitFor(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS)).isTrue();
    assertThat(site.process.exitValue()).isZero();
  }

  @Test
  void whatIsInTheBacklogAtSigtermIsAnsweredOrNeverSentAndTheProgramEndsWith0() throws Exception {
    InetSocketAddress address = program("127.0.0.1:0");
    stopRunning();
    connectAll(address);
    signal("TERM");
    signal("CONT");
    whatWasSentIsAnswered(statuses());
    endsWith0();
  }

  @Test
  void whatIsInTheBacklogAtSigkillIsResetAndANewProcessServesAtTheAddress() throws Exception {
    InetSocketAddress address = program("127.0.0.1:0");
    stopRunning();
    connectAll(address);
    signal("KILL");
    site.process.waitFor();
    assertThat(statuses().values()).containsOnly(NO_ANSWER);
    // The clients' sides are still open, and so is nothing that would keep the address.
    assertThat(program("127.0.0.1:" + address.getPort())).isEqualTo(address);
    try (FakeClient again = new FakeClient(address)) {
      assertThat(again.sendAndRead(queryRequest("once", "again", 2900, 0.5, 0.5)).status())
          .isEqualTo(200);
    }
    for (FakeShardServer server : site.servers) {
      assertThat(server.frames).allMatch(frame -> frame.requestId().startsWith("again"));
    }
  }

  @Test
  void afterAShutdownThatClosedConnectionsANewProcessServesAtTheAddress() throws Exception {
    InetSocketAddress address = program("127.0.0.1:0");
    connectAll(address);
    assertThat(statuses().values()).containsOnly(200);
    signal("TERM");
    endsWith0();
    // Our side closed first, so that its address is in TIME_WAIT or, as clients stay, FIN_WAIT.
    assertThat(program("127.0.0.1:" + address.getPort())).isEqualTo(address);
    try (FakeClient again = new FakeClient(address)) {
      assertThat(again.sendAndRead(queryRequest("once", "again", 2900, 0.5, 0.5)).status())
          .isEqualTo(200);
    }
  }
}
