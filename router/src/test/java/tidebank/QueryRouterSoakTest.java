package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import tidebank.CrossingsTest.CloseMode;
import tidebank.FakeSite.FakeClient;
import tidebank.FakeSite.FakeShardServer;

/**
 * A soak test of a router process. Clients with seeded random behavior send requests while the
 * process is stopped and continued by signals, a shard server drains and leaves, and finally the
 * router is shut down within the minimum time between SIGTERM and SIGKILL. With some seeds, others
 * flood the router with input or stay idle. The clients and shard servers check that no request is
 * lost. {@code -Dtidebank.soak.seeds=50} runs 50 seeds.
 */
@Timeout(60)
class QueryRouterSoakTest {
  private static final int SEEDS = Integer.getInteger("tidebank.soak.seeds", 3);
  private static final int CLIENTS = 10;
  private static final int FLOOD_CLIENTS = 2;

  /** Together with the others, fewer than the half of 1,024 descriptors that clients may use. */
  private static final int IDLE_CLIENTS = 400;

  private static final int STOPS = 4;
  private static final long STOP_MS = 300;
  private static final long MAX_TIME_BETWEEN_STOPS_MS = 400;

  /** Longer than the configured drain grace. */
  private static final long DRAIN_MS = 700;

  /** The minimum time from SIGTERM to SIGKILL: the longest query timeout plus a grace period. */
  private static final long KILL_AFTER_MS = 1500 + 700;

  private static final int LATENCY_OBJECTIVE_MS = 500;
  private static final int TIMEOUT_MS = 1000;

  /** A response that is late by up to this time has no value; a later one counts as lost. */
  private static final long SLACK_MS = 500;

  /**
   * How long after a client's disconnect attempts may still be received: the 0.1 s of the protocol,
   * and another 0.1 s for this process to read the clock and the frame.
   */
  private static final long DISCONNECT_GRACE_MS = 200;

  /**
   * The result of a request as seen by its client.
   *
   * @param firstOnConnection whether it was the first request on its connection
   * @param duringShutdown whether the shutdown began before the request ended
   * @param durationMs how long the client waited for the response, in milliseconds
   * @param status the HTTP status, or {@link #NO_RESPONSE}
   */
  private record RequestResult(
      String id, boolean firstOnConnection, boolean duringShutdown, long durationMs, int status) {
    private static final int NO_RESPONSE = 0;

    /**
     * Returns whether the request counts as lost: it has no response, or too late a one. A missing
     * response is permitted if the router may have closed an idle connection while the request was
     * in transit.
     */
    boolean isLost(int timeoutMs) {
      boolean mayHaveCrossedClose = status == NO_RESPONSE && (!firstOnConnection || duringShutdown);
      return !mayHaveCrossedClose
          && (status == NO_RESPONSE || durationMs > timeoutMs + STOP_MS + SLACK_MS);
    }
  }

  private final FakeSite site = new FakeSite();
  private final List<AutoCloseable> disturbingClients = new ArrayList<>();
  private final AtomicInteger lastId = new AtomicInteger();
  private final ConcurrentLinkedQueue<RequestResult> results = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<String> lateIds = new ConcurrentLinkedQueue<>();
  private final Map<String, Long> disconnectedAt = new ConcurrentHashMap<>();
  private volatile boolean shutdownBegun;
  private volatile boolean finished;

  @AfterEach
  void close() throws Exception {
    finished = true;
    for (AutoCloseable client : disturbingClients) {
      client.close();
    }
    site.close();
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void noRequestIsLostUnderFaultsAndShutdown(long seed) throws Exception {
    site.latencyObjectiveMs = LATENCY_OBJECTIVE_MS;
    InetSocketAddress address = startProcess();
    List<Thread> threads = new ArrayList<>();
    site.servers.forEach(server -> threads.add(runInBackground(() -> recordLateAttempts(server))));
    for (int i = 0; i < CLIENTS; i++) {
      Random random = new Random(seed * CLIENTS + i);
      threads.add(runInBackground(() -> sendRequests(address, random)));
    }
    startDisturbingClients(address, seed);
    injectFaults(new Random(-seed));
    boolean exited = site.process.waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS);
    finished = true;
    assertThat(exited).as("exited before SIGKILL").isTrue();
    assertThat(site.process.exitValue()).isZero();
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(results).hasSizeGreaterThan(CLIENTS);
    assertThat(results).filteredOn(result -> result.isLost(TIMEOUT_MS)).isEmpty();
    // Each stop may cause one late attempt: a process that is stopped between its last check of a
    // client's connection and the write cannot know of the disconnect.
    assertThat(lateIds.stream().distinct().count())
        .as("attempts after the disconnect of: %s", lateIds)
        .isLessThan(STOPS + 1);
  }

  // ---- the router process

  /** Starts the router and returns the address that it listens on. */
  private InetSocketAddress startProcess() throws Exception {
    site.startProcess(
        Map.of(
            "NODE_CONFIG",
            site.writeConfigFile().toString(),
            "NODE_NAME",
            "n7",
            "NODE_LISTEN",
            "127.0.0.1:0"),
        "serve");
    String line = site.stderr.readLine();
    while (!line.contains("listens on")) {
      line = site.stderr.readLine();
    }
    String port = line.replaceAll(".*127.0.0.1:(\\d+).*", "$1");
    // Reads all further output, as a full pipe would block the process.
    runInBackground(() -> site.stderr.lines().forEach(ignored -> {}));
    return new InetSocketAddress("127.0.0.1", Integer.parseInt(port));
  }

  /** Stops and continues the process, drains a server, reloads the settings and sends SIGTERM. */
  private void injectFaults(Random random) throws Exception {
    FakeShardServer draining = site.servers.get(random.nextInt(site.servers.size()));
    for (int i = 0; i < STOPS; i++) {
      TimeUnit.MILLISECONDS.sleep(random.nextInt((int) MAX_TIME_BETWEEN_STOPS_MS));
      sendSignal("STOP");
      TimeUnit.MILLISECONDS.sleep(STOP_MS);
      sendSignal("CONT");
    }
    site.discovery.updateHealth(draining, "Terminating");
    TimeUnit.MILLISECONDS.sleep(DRAIN_MS);
    sendSignal("HUP");
    site.discovery.updateHealth(draining, "Gone");
    TimeUnit.MILLISECONDS.sleep(random.nextInt(300));
    shutdownBegun = true;
    sendSignal("TERM");
  }

  private void sendSignal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(site.process.pid())).start().waitFor();
  }

  // ---- clients

  /** Starts a flood of input with two of three seeds, and idle clients with one of them. */
  private void startDisturbingClients(InetSocketAddress address, long seed) throws IOException {
    if (seed % 3 == 0) {
      return;
    }
    FloodClient.Kind[] kinds = FloodClient.Kind.values();
    for (int i = 0; i < FLOOD_CLIENTS; i++) {
      FloodClient.Kind kind = kinds[(int) ((seed + i) % kinds.length)];
      disturbingClients.add(kind.start(address, "flood" + i + "-"));
    }
    if (seed % 3 == 1) {
      for (int i = 0; i < IDLE_CLIENTS; i++) {
        disturbingClients.add(new FakeClient(address));
      }
    }
  }

  /** Opens one connection after another and sends a few requests on each. */
  private void sendRequests(InetSocketAddress address, Random random) throws Exception {
    while (!finished) {
      try (FakeClient client = new FakeClient(address)) {
        boolean first = true;
        for (int remaining = 1 + random.nextInt(5); remaining > 0 && !finished; remaining--) {
          if (!sendRequest(client, random, first)) {
            break;
          }
          first = false;
          TimeUnit.MILLISECONDS.sleep(random.nextInt(20));
        }
      } catch (IOException refused) {
        TimeUnit.MILLISECONDS.sleep(10);
      }
    }
  }

  /**
   * Sends a request. Some clients disconnect without reading the response, others send it in two
   * parts, and some of these also begin a second request.
   *
   * @return whether further requests may be sent on the connection
   */
  private boolean sendRequest(FakeClient client, Random random, boolean first) throws Exception {
    String id = "r" + lastId.incrementAndGet();
    String request =
        queryRequest(random.nextBoolean() ? "whole" : "part", id, TIMEOUT_MS, 0.5, 0.5);
    int behavior = random.nextInt(10);
    if (behavior < 4) {
      client.send(request);
      TimeUnit.MILLISECONDS.sleep(random.nextInt(40));
      CloseMode.values()[random.nextInt(2)].close(client);
      disconnectedAt.put(id, System.nanoTime());
      return false;
    }
    int splitAt = random.nextInt(request.length());
    boolean shutdownBegunBefore = shutdownBegun;
    long start = System.nanoTime();
    int status = RequestResult.NO_RESPONSE;
    try {
      client.send(request.substring(0, splitAt));
      client.send(request.substring(splitAt));
      start = System.nanoTime();
      if (behavior == 4) {
        client.send("\r\n" + request.substring(0, splitAt));
      }
      status = client.readResponse().status();
    } catch (IOException closed) {
      // Closed or reset. RequestResult.isLost decides whether this counts as lost.
    }
    long durationMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    results.add(
        new RequestResult(id, first, shutdownBegunBefore || shutdownBegun, durationMs, status));
    return status != RequestResult.NO_RESPONSE && behavior != 4;
  }

  // ---- shard servers

  /** Records the requests that a server receives after their clients have disconnected. */
  private void recordLateAttempts(FakeShardServer server) throws Exception {
    while (!finished) {
      FakeShardServer.Frame frame = server.frames.poll(10, TimeUnit.MILLISECONDS);
      if (frame != null && frame.type() == 'm') {
        String id = frame.requestId().split("[.]")[0];
        Long disconnectTime = disconnectedAt.get(id);
        if (disconnectTime != null
            && System.nanoTime() - disconnectTime > DISCONNECT_GRACE_MS * 1_000_000) {
          lateIds.add(id);
        }
      }
    }
  }

  private interface Task {
    void run() throws Exception;
  }

  private static Thread runInBackground(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception ended) {
                // The test has ended.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
