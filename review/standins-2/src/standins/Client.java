package standins;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** A client's connection to a router. */
final class Client implements AutoCloseable {
  /** An answer as a client sees it. */
  record Answer(int status, String body, boolean close) {}

  private final Socket socket = new Socket();
  private final InputStream in;

  Client(int port) throws IOException {
    socket.setTcpNoDelay(true);
    socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Returns a query as bytes on the wire; all its parts weigh the same. */
  static String query(String table, String id, int timeLeftMs, int... shards) {
    StringBuilder ranges = new StringBuilder();
    for (int shard : shards) {
      ranges.append(ranges.length() == 0 ? "" : ",");
      ranges.append(
          String.format(
              Locale.ROOT, "{\"range\":%d,\"portion\":%.6f}", shard, 1.0 / shards.length));
    }
    String body = "{\"ranges\":[" + ranges + "],\"predicate\":\"q-" + id + "\"}";
    return "POST /"
        + table
        + " HTTP/1.1\r\nHost: origin.svc\r\nX-Correlation-Id: "
        + id
        + "\r\nX-Account: kerloch\r\nX-Time-Left: "
        + timeLeftMs
        + "m\r\nContent-Length: "
        + body.length()
        + "\r\n\r\n"
        + body;
  }

  void send(String bytes) throws IOException {
    socket.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
    socket.getOutputStream().flush();
  }

  /** Reads one whole answer with a length; fails if none comes whole in time. */
  Answer read(int timeoutMs) throws IOException {
    socket.setSoTimeout(timeoutMs);
    String statusLine = line();
    int length = 0;
    boolean close = false;
    for (String header = line(); !header.isEmpty(); header = line()) {
      String lower = header.toLowerCase(Locale.ROOT);
      if (lower.startsWith("content-length:")) {
        length = Integer.parseInt(lower.substring(15).trim());
      }
      close |= lower.startsWith("connection:") && lower.contains("close");
    }
    byte[] body = in.readNBytes(length);
    if (body.length < length) {
      throw new EOFException("the answer is not whole");
    }
    return new Answer(
        Integer.parseInt(statusLine.split(" ")[1]),
        new String(body, StandardCharsets.UTF_8).trim(),
        close);
  }

  private String line() throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int octet = in.read(); octet != '\n'; octet = in.read()) {
      if (octet < 0) {
        throw new EOFException("closed after " + line.size() + " bytes of a line");
      }
      line.write(octet);
    }
    return line.toString(StandardCharsets.US_ASCII).trim();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
