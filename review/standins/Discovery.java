import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery as the protocol page has it: the whole list, and a watch on changes. */
final class Discovery {
  private static final Pattern AFTER = Pattern.compile("after=(-?\\d+)");
  private static final Pattern WAIT = Pattern.compile("wait_ms=(\\d+)");

  private record Entry(String json, long version) {}

  private final RunRecord record;
  private final ServerSocket listener;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private long version;

  Discovery(RunRecord record, long firstVersion) throws IOException {
    this.record = record;
    this.version = firstVersion;
    this.listener = new ServerSocket();
    listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 100);
    Lab.daemon("discovery", this::acceptAll);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  static String entry(String host, String dial, int block, String health, long bornMs) {
    return "{\"host\":\"" + host + "\",\"dial\":\"" + dial + "\",\"site\":\"a\",\"class\":\"std\",\"block\":"
        + block + ",\"health\":\"" + health + "\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
  }

  synchronized void set(String host, String dial, int block, String health, long bornMs) {
    version++;
    entries.put(host, new Entry(entry(host, dial, block, health, bornMs), version));
    record.add("discovery", "lists " + host + " " + health + " seq=" + version);
    notifyAll();
  }

  /** The list as it stands now, as a new process is handed it. */
  synchronized String whole() {
    return list(true, 0);
  }

  private String list(boolean whole, long after) {
    List<String> hosts = new ArrayList<>();
    for (Entry entry : entries.values()) {
      if (whole || entry.version() > after) {
        hosts.add(entry.json());
      }
    }
    return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + String.join(",", hosts) + "]}";
  }

  private void acceptAll() throws IOException {
    while (true) {
      Socket socket = listener.accept();
      Lab.daemon("discovery-link", () -> serve(socket));
    }
  }

  private void serve(Socket socket) throws IOException, InterruptedException {
    try (socket) {
      BufferedReader in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      while (true) {
        String head = in.readLine();
        if (head == null) {
          return;
        }
        while (!in.readLine().isEmpty()) {
          // The other headers do not matter here.
        }
        record.add("discovery", "is asked " + head);
        String body = answer(head);
        record.add("discovery", "answers " + body.length() + " bytes, seq=" + version);
        String response = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
            + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
      }
    } catch (IOException end) {
      record.add("discovery", "connection ended: " + end);
    }
  }

  private synchronized String answer(String head) throws InterruptedException {
    Matcher after = AFTER.matcher(head);
    if (!after.find()) {
      return list(true, 0);
    }
    long known = Long.parseLong(after.group(1));
    Matcher wait = WAIT.matcher(head);
    long until = System.nanoTime() + (wait.find() ? Long.parseLong(wait.group(1)) : 0) * 1_000_000;
    while (version <= known && System.nanoTime() < until) {
      wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
    }
    return list(false, known);
  }
}
