package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.FakeSite.FakeClient.postRequest;
import static tidebank.FakeSite.FakeClient.queryRequest;

import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tidebank.FakeSite.FakeClient;

/**
 * Clients that stop in the middle of their bodies, in a process with the memory that operators give
 * it. The bodies took all direct memory, and each further allocation stalled the event loop, so
 * that no client was answered any more.
 */
@Timeout(60)
class IncompleteBodyFloodTest {

  /** Together with the client that is answered, less than a third of 1,024 descriptors. */
  private static final int STOPPED_CLIENTS = 320;

  /** Nearly the 64 KiB that the protocol permits. */
  private static final int BODY_BYTES = 60_000;

  /** Fills a read buffer, so that the router reads the next pieces into larger ones. */
  private static final int LARGE_PIECE_BYTES = 2000;

  private static final int SMALL_PIECE_BYTES = 50;

  /** Of this many pieces, the first is a large one. */
  private static final int PIECES_PER_CYCLE = 6;

  private static final int TIMEOUT_MS = 2900;

  /** A client has to get an error response or a close within this time of its connecting. */
  private static final long ERROR_WITHIN_MS = 3000;

  /** Time for the test to read the responses of all stopped clients. */
  private static final long READ_MS = 500;

  private final FakeSite site = new FakeSite();
  private final List<FakeClient> stopped = new ArrayList<>();

  @AfterEach
  void close() throws Exception {
    for (FakeClient client : stopped) {
      client.close();
    }
    site.close();
  }

  /** Guards against incomplete bodies that leave no memory to answer complete requests. */
  @Test
  void completeRequestsAreAnsweredWhileOthersStopWithinTheirBodies() throws Exception {
    site.useDeployedMemoryOptions();
    InetSocketAddress address = site.startServing("127.0.0.1:0");
    try (FakeClient client = new FakeClient(address)) {
      assertThat(client.sendAndRead(queryRequest("whole", "before", TIMEOUT_MS, 1)).status())
          .isEqualTo(200);
      String request = postRequest("/whole", "stopped", TIMEOUT_MS + "m", "p".repeat(BODY_BYTES));
      String head = request.substring(0, request.indexOf("\r\n\r\n") + 4);
      for (int i = 0; i < STOPPED_CLIENTS; i++) {
        FakeClient slow = new FakeClient(address);
        stopped.add(slow);
        slow.send(head);
      }
      long startedAt = System.nanoTime();
      int sentBytes = 0;
      for (int round = 0; sentBytes + LARGE_PIECE_BYTES < BODY_BYTES; round++) {
        int pieceBytes = round % PIECES_PER_CYCLE == 0 ? LARGE_PIECE_BYTES : SMALL_PIECE_BYTES;
        String piece = "p".repeat(pieceBytes);
        stopped.forEach(slow -> sendPiece(slow, piece));
        sentBytes += pieceBytes;
        // The response also shows that the router has read the pieces one by one.
        String query = queryRequest("whole", "during" + round, TIMEOUT_MS, 1);
        assertThat(client.sendAndRead(query).status()).isEqualTo(200);
      }
      long sentAfterMs = millisSince(startedAt);
      for (FakeClient slow : stopped) {
        assertThat(readStatus(slow)).isIn(408, 503);
      }
      assertThat(millisSince(startedAt))
          .isLessThan(Math.max(sentAfterMs, ERROR_WITHIN_MS) + READ_MS);
      assertThat(client.sendAndRead(queryRequest("whole", "after", TIMEOUT_MS, 1)).status())
          .isEqualTo(200);
    }
  }

  private static long millisSince(long nanoTime) {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanoTime);
  }

  private static void sendPiece(FakeClient client, String piece) {
    try {
      client.send(piece);
    } catch (IOException refused) {
      // The router has refused the request; the response is read below.
    }
  }

  private static int readStatus(FakeClient client) throws IOException {
    try {
      return client.readResponse().status();
    } catch (EOFException | SocketException closed) {
      return 503;
    }
  }
}
