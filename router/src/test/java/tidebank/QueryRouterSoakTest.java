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
 * A gatherer as a process of its own, under clients of several kinds that are drawn from a seed,
 * while it is stopped and woken, a server drains and goes, and it is told to end with its kill as
 * early as it may come. Each request is judged from outside by its one fate. {@code
 * -Dtidebank.soak.seeds=50} plays so many seeds.
 */
@Timeout(60)
class QueryRouterSoakTest {
  private static final int SEEDS = Integer.getInteger("tidebank.soak.seeds", 3);
  private static final int CLIENTS = 10;
  private static final int STOPS = 4;
  private static final long STOP_MS = 300;
  private static final long BETWEEN_STOPS_MS = 400;

  /** Longer than the drain grace of the settings. */
  private static final long DRAINED_MS = 700;

  /** The longest query timeout of the settings, and what is between that and the kill. */
  private static final long KILL_AFTER_MS = 1500 + 700;

  private static final int TARGET_MS = 500;
  private static final int TIME_LEFT_MS = 1000;

  /** Behind its time an answer earns nothing for as long; later it is lost. */
  private static final long SLACK_MS = 500;

  /** The 0.1 s of the protocol, and as much for this process to read the clock and the frame. */
  private static final long LEFT_MS = 200;

  /** What became of a request, as its client and the shard servers saw it. */
  private record Fate(String id, boolean first, boolean ending, long tookMs, int status) {
    private static final int NONE = 0;

    /**
     * Closed with no answer, which a request that crosses the end of a resting connection may be.
     */
    boolean isLost(int timeLeftMs) {
      boolean crossed = status == NONE && (!first || ending);
      return !crossed && (status == NONE || tookMs > timeLeftMs + STOP_MS + SLACK_MS);
    }
  }

  private final FakeSite site = new FakeSite();
  private final AtomicInteger ids = new AtomicInteger();
  private final ConcurrentLinkedQueue<Fate> fates = new ConcurrentLinkedQueue<>();
  private final ConcurrentLinkedQueue<String> late = new ConcurrentLinkedQueue<>();
  private final Map<String, Long> closedAt = new ConcurrentHashMap<>();
  private volatile boolean ending;
  private volatile boolean over;

  @AfterEach
  void close() throws Exception {
    over = true;
    site.close();
  }

  static LongStream seeds() {
    return LongStream.rangeClosed(1, SEEDS);
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void eachRequestHasItsOneFate(long seed) throws Exception {
    site.latencyObjectiveMs = TARGET_MS;
    InetSocketAddress address = start();
    List<Thread> threads = new ArrayList<>();
    site.servers.forEach(server -> threads.add(background(() -> watch(server))));
    for (int i = 0; i < CLIENTS; i++) {
      Random random = new Random(seed * CLIENTS + i);
      threads.add(background(() -> ask(address, random)));
    }
    disturb(new Random(-seed));
    boolean ended = site.process.waitFor(KILL_AFTER_MS, TimeUnit.MILLISECONDS);
    over = true;
    assertThat(ended).as("ended before the kill").isTrue();
    assertThat(site.process.exitValue()).isZero();
    for (Thread thread : threads) {
      thread.join();
    }
    assertThat(fates).hasSizeGreaterThan(CLIENTS);
    assertThat(fates).filteredOn(fate -> fate.isLost(TIME_LEFT_MS)).isEmpty();
    // A process that is stopped between its last look at a client and the writing can't know.
    assertThat(late.stream().distinct().count()).as("sent late: %s", late).isLessThan(STOPS + 1);
  }

  // ---- the process and what happens to it

  private InetSocketAddress start() throws Exception {
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
    // A full pipe would stop the process.
    background(() -> site.stderr.lines().forEach(text -> {}));
    return new InetSocketAddress("127.0.0.1", Integer.parseInt(port));
  }

  private void disturb(Random random) throws Exception {
    FakeShardServer drained = site.servers.get(random.nextInt(site.servers.size()));
    for (int i = 0; i < STOPS; i++) {
      TimeUnit.MILLISECONDS.sleep(random.nextInt((int) BETWEEN_STOPS_MS));
      signal("STOP");
      TimeUnit.MILLISECONDS.sleep(STOP_MS);
      signal("CONT");
    }
    site.discovery.updateHealth(drained, "Terminating");
    TimeUnit.MILLISECONDS.sleep(DRAINED_MS);
    signal("HUP");
    site.discovery.updateHealth(drained, "Gone");
    TimeUnit.MILLISECONDS.sleep(random.nextInt(300));
    ending = true;
    signal("TERM");
  }

  private void signal(String name) throws Exception {
    new ProcessBuilder("kill", "-" + name, String.valueOf(site.process.pid())).start().waitFor();
  }

  // ---- clients

  private void ask(InetSocketAddress address, Random random) throws Exception {
    while (!over) {
      try (FakeClient client = new FakeClient(address)) {
        boolean first = true;
        for (int left = 1 + random.nextInt(5); left > 0 && !over; left--) {
          if (!askOnce(client, random, first)) {
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

  /** Whether the connection may be asked on. */
  private boolean askOnce(FakeClient client, Random random, boolean first) throws Exception {
    String id = "r" + ids.incrementAndGet();
    String request =
        queryRequest(random.nextBoolean() ? "whole" : "part", id, TIME_LEFT_MS, 0.5, 0.5);
    int kind = random.nextInt(10);
    if (kind < 4) {
      client.send(request);
      TimeUnit.MILLISECONDS.sleep(random.nextInt(40));
      CloseMode.values()[random.nextInt(2)].close(client);
      closedAt.put(id, System.nanoTime());
      return false;
    }
    int cut = random.nextInt(request.length());
    boolean isEnding = ending;
    long start = System.nanoTime();
    int status = Fate.NONE;
    try {
      client.send(request.substring(0, cut));
      client.send(request.substring(cut));
      start = System.nanoTime();
      if (kind == 4) {
        client.send("\r\n" + request.substring(0, cut));
      }
      status = client.readResponse().status();
    } catch (IOException none) {
      // Closed or reset: what that means is for the judge.
    }
    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start);
    fates.add(new Fate(id, first, isEnding || ending, tookMs, status));
    return status != Fate.NONE && kind != 4;
  }

  // ---- shard servers

  private void watch(FakeShardServer server) throws Exception {
    while (!over) {
      FakeShardServer.Frame frame = server.frames.poll(10, TimeUnit.MILLISECONDS);
      if (frame != null && frame.type() == 'm') {
        String id = frame.requestId().split("[.]")[0];
        Long closed = closedAt.get(id);
        if (closed != null && System.nanoTime() - closed > LEFT_MS * 1_000_000) {
          late.add(id);
        }
      }
    }
  }

  private interface Task {
    void run() throws Exception;
  }

  private static Thread background(Task task) {
    Thread thread =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (Exception ended) {
                // The test is over.
              }
            });
    thread.setDaemon(true);
    thread.start();
    return thread;
  }
}
