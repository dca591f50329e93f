package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.postRequest;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import tidebank.FakeSite.FakeClient;

/** Guards against hundreds of unfinished requests that use up the memory of the process. */
@Timeout(60)
class UnfinishedRequestsExhaustMemoryTest {

  /** The memory limit of the deployment's processes. */
  private static final long MEMORY_LIMIT_KB = 192 * 1024;

  /** Half of 1,024 descriptors, less some for the clients that are answered. */
  private static final int STOPPED_CLIENTS = 490;

  /** The least size of a header section that a server has to accept, less some for the rest. */
  private static final int HEADER_BYTES = 7800;

  private static final int TIMEOUT_MS = 2900;
  private static final int ROUNDS = 4;

  /** What a client sends before it stops. */
  enum Unfinished {
    HEAD_OF_SHORT_FIELDS {
      @Override
      String text(int number) {
        return "POST /whole HTTP/1.1\r\n" + shortFields();
      }
    },
    BODY_AFTER_HEAD_OF_SHORT_FIELDS {
      @Override
      String text(int number) {
        return "POST /whole HTTP/1.1\r\n" + shortFields() + "Content-Length: 9\r\n\r\n{";
      }
    },
    TRAILER_OF_SHORT_FIELDS {
      @Override
      String text(int number) {
        return "POST /whole HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n{\r\n0\r\n"
            + shortFields();
      }
    },
    HEAD_WITH_A_LONG_FIELD {
      @Override
      String text(int number) {
        return "POST /whole HTTP/1.1\r\nX: " + "p".repeat(HEADER_BYTES);
      }
    },
    HALF_OF_A_LARGE_BODY {
      @Override
      String text(int number) {
        return postRequest("/whole", "half" + number, "2900m", "p".repeat(60_000))
            .substring(0, 30_000);
      }
    },
    QUERY_BEFORE_A_HEAD_OF_SHORT_FIELDS {
      @Override
      String text(int number) {
        return "GET /health/live HTTP/1.1\r\n\r\nPOST /whole HTTP/1.1\r\n" + shortFields();
      }
    };

    abstract String text(int number);

    private static String shortFields() {
      StringBuilder fields = new StringBuilder();
      for (int i = 0; fields.length() < HEADER_BYTES; i++) {
        fields.append((char) ('a' + i % 26)).append(":\r\n");
      }
      return fields.toString();
    }
  }

  private final FakeSite site = new FakeSite();
  private final List<FakeClient> stopped = new ArrayList<>();
  private final Queue<String> errors = new ConcurrentLinkedQueue<>();

  @AfterEach
  void close() throws Exception {
    for (FakeClient client : stopped) {
      client.close();
    }
    site.close();
  }

  @ParameterizedTest
  @EnumSource(Unfinished.class)
  void processStaysWithinItsMemoryAndAnswersOthers(Unfinished unfinished) throws Exception {
    site.useDeployedMemoryOptions();
    InetSocketAddress address = site.startServing("127.0.0.1:0");
    Thread log = new Thread(this::readLog);
    log.start();
    try (FakeClient client = new FakeClient(address)) {
      for (int round = 0; round < ROUNDS; round++) {
        for (int i = 0; i < STOPPED_CLIENTS / ROUNDS; i++) {
          FakeClient slow = new FakeClient(address);
          stopped.add(slow);
          sendSlowly(slow, unfinished.text(stopped.size()));
        }
        long sentAt = System.nanoTime();
        String query = queryRequest("whole", "other" + round, TIMEOUT_MS, 1);
        assertThat(client.sendAndRead(query).status()).isEqualTo(200);
        assertThat(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - sentAt))
            .isLessThan(TIMEOUT_MS);
      }
    }
    assertThat(site.process.isAlive()).isTrue();
    assertThat(errors).isEmpty();
    assertThat(peakMemoryKb()).isLessThan(MEMORY_LIMIT_KB);
  }

  private static void sendSlowly(FakeClient client, String text) {
    try {
      client.send(text.substring(0, text.length() / 2));
      client.send(text.substring(text.length() / 2));
    } catch (IOException refused) {
      // The router has ended the connection.
    }
  }

  private void readLog() {
    try {
      for (String line = site.stderr.readLine(); line != null; line = site.stderr.readLine()) {
        if (line.contains("ERROR") || line.contains("OutOfMemory")) {
          errors.add(line);
        }
      }
    } catch (IOException ended) {
      // The process has ended.
    }
  }

  /** Returns the most memory that the process has had resident, in kilobytes. */
  private long peakMemoryKb() throws IOException {
    String status = Files.readString(Path.of("/proc/" + site.process.pid() + "/status"));
    Matcher peak = Pattern.compile("VmHWM:\\s+(\\d+) kB").matcher(status);
    assertThat(peak.find()).isTrue();
    return Long.parseLong(peak.group(1));
  }
}
