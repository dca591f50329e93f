package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tidebank.FakeSite.FakeClient;

/** Guards against floods of small or malformed requests that delay the responses of others. */
@Timeout(60)
class FloodDelaysOtherClientsTest {
  private static final int FLOOD_CLIENTS = 6;
  private static final long FLOOD_MS = 5000;
  private static final int OTHER_CLIENTS = 8;
  private static final int TIMEOUT_MS = 300;

  /** A response later than this after its deadline counts as lost. */
  private static final int LOST_AFTER_MS = 500;

  private static final int PAUSE_MS = 20;

  /** The share of the other clients' queries that has to be served before the deadline. */
  private static final double MIN_SERVED_SHARE = 0.5;

  private final FakeSite site = new FakeSite();
  private final List<AutoCloseable> floods = new ArrayList<>();
  private final Queue<String> lost = new ConcurrentLinkedQueue<>();
  private final Queue<Long> servedMs = new ConcurrentLinkedQueue<>();
  private final Queue<Integer> answered = new ConcurrentLinkedQueue<>();
  private final Queue<String> slowPasses = new ConcurrentLinkedQueue<>();

  @AfterEach
  void close() throws Exception {
    for (AutoCloseable flood : floods) {
      flood.close();
    }
    site.close();
  }

  @ParameterizedTest
  @EnumSource(FloodClient.Kind.class)
  void othersAreAnsweredInTime(FloodClient.Kind flood) throws Exception {
    site.useDeployedMemoryOptions();
    InetSocketAddress address = site.startServing("127.0.0.1:0");
    Thread log = new Thread(this::readLog);
    log.start();
    try (FakeClient first = new FakeClient(address)) {
      assertThat(first.sendAndRead(queryRequest("whole", "first", 3000, 1)).status())
          .isEqualTo(200);
    }
    for (int i = 0; i < FLOOD_CLIENTS; i++) {
      floods.add(flood.start(address, "f" + i + "-"));
    }
    long endsAt = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FLOOD_MS);
    List<Thread> others = new ArrayList<>();
    for (int i = 0; i < OTHER_CLIENTS; i++) {
      String name = "other" + i + "-";
      Thread other = new Thread(() -> query(address, name, endsAt));
      others.add(other);
      other.start();
    }
    for (Thread other : others) {
      other.join();
    }
    assertThat(site.process.isAlive()).isTrue();
    assertThat(lost).as("queries without a response in time; slow: %s", slowPasses).isEmpty();
    assertThat(servedMs.size())
        .as("of %d answered queries; slow: %s", answered.size(), slowPasses)
        .isGreaterThan((int) (answered.size() * MIN_SERVED_SHARE));
  }

  private void readLog() {
    try {
      for (String line = site.stderr.readLine(); line != null; line = site.stderr.readLine()) {
        if (line.contains("event loop pass slow")) {
          slowPasses.add(line);
        }
      }
    } catch (IOException ended) {
      // The process has ended.
    }
  }

  /** Sends one query after another, each second one on a new connection. */
  private void query(InetSocketAddress address, String name, long endsAt) {
    for (int i = 0; System.nanoTime() < endsAt; i += 2) {
      try (FakeClient client = new FakeClient(address)) {
        for (int j = i; j < i + 2; j++) {
          query(client, name + j);
        }
      } catch (IOException | InterruptedException fault) {
        lost.add(name + i + ": " + fault);
      }
    }
  }

  private void query(FakeClient client, String id) throws IOException, InterruptedException {
    long sentAt = System.nanoTime();
    int status = client.sendAndRead(queryRequest("whole", id, TIMEOUT_MS, 1)).status();
    long tookMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt);
    answered.add(status);
    if (tookMs > TIMEOUT_MS + LOST_AFTER_MS) {
      lost.add(id + ": " + status + " after " + tookMs + " ms");
    } else if (status == 200 && tookMs <= TIMEOUT_MS) {
      servedMs.add(tookMs);
    }
    TimeUnit.MILLISECONDS.sleep(PAUSE_MS);
  }
}
