import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection: it sends queries and reads what comes back. */
final class Client implements AutoCloseable {
  /** An answer; {@code status} 0 stands for a connection that ended with none. */
  record Answer(int status, String body, double atMs) {}

  final Socket socket;
  private final RunRecord record;

  Client(int port, RunRecord record) throws IOException {
    this.record = record;
    socket = new Socket();
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 3000);
  }

  /** A query for some shards, each with an equal share of the whole. */
  static byte[] query(String type, String id, int timeLeftMs, String predicate, int... shards) {
    StringBuilder ranges = new StringBuilder();
    for (int shard : shards) {
      ranges.append(ranges.isEmpty() ? "" : ",").append(
          String.format(Locale.ROOT, "{\"range\":%d,\"portion\":%.6f}", shard, 1.0 / shards.length));
    }
    return query(type, id, timeLeftMs, "{\"ranges\":[" + ranges + "],\"predicate\":\"" + predicate + "\"}");
  }

  static byte[] query(String type, String id, int timeLeftMs, String body) {
    return ("POST /" + type + " HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: " + id
        + "\r\nX-Time-Left: " + timeLeftMs + "m\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
        .getBytes(StandardCharsets.US_ASCII);
  }

  void send(String what, byte[] bytes) throws IOException {
    record.add("client", "sends " + what);
    socket.getOutputStream().write(bytes);
  }

  /** Reads one answer; waits for {@code patienceMs} at most, and returns null if none has come. */
  Answer read(String what, int patienceMs) throws IOException {
    socket.setSoTimeout(patienceMs);
    Answer answer;
    try {
      answer = readAnswer();
    } catch (java.net.SocketTimeoutException late) {
      record.add("client", "has no answer to " + what + " after " + patienceMs + " ms");
      return null;
    } catch (IOException end) {
      answer = new Answer(0, end.toString(), record.nowMs());
    }
    record.add("client", "reads for " + what + ": " + answer.status() + " " + answer.body().trim());
    return answer;
  }

  private Answer readAnswer() throws IOException {
    InputStream in = socket.getInputStream();
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    while (!head.toString(StandardCharsets.ISO_8859_1).endsWith("\r\n\r\n")) {
      int octet = in.read();
      if (octet < 0) {
        return new Answer(0, "the connection ended", record.nowMs());
      }
      head.write(octet);
    }
    String text = head.toString(StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT);
    int at = text.indexOf("content-length: ") + 16;
    int length = Integer.parseInt(text.substring(at, text.indexOf('\r', at)));
    String body = new String(in.readNBytes(length), StandardCharsets.UTF_8);
    return new Answer(Integer.parseInt(text.substring(9, 12)), body, record.nowMs());
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
