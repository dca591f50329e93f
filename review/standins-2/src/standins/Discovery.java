package standins;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Discovery: the whole list, and watches on its changes. */
final class Discovery {
  private record Entry(String host, int port, int block, String health, long bornMs) {
    String json() {
      return "{\"host\":\""
          + host
          + "\",\"dial\":\"127.0.0.1:"
          + port
          + "\",\"site\":\"rennes-chantepie\",\"class\":\"std-2c\",\"block\":"
          + block
          + ",\"health\":\""
          + health
          + "\",\"share\":1.0,\"born_ms\":"
          + bornMs
          + "}";
    }
  }

  private static final Pattern AFTER = Pattern.compile("after=(\\d+)&wait_ms=(\\d+)");

  private final Run run;
  private final ServerSocket socket;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final TreeMap<Long, String> changes = new TreeMap<>();
  private long version = 1;

  /** When a change was last written to the router, in milliseconds of the run; 0 before. */
  volatile double toldAt;

  Discovery(Run run) throws IOException {
    this.run = run;
    socket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
  }

  int port() {
    return socket.getLocalPort();
  }

  void start() {
    Thread accepting =
        new Thread(
            () -> {
              while (true) {
                try {
                  Socket accepted = socket.accept();
                  Thread serving = new Thread(() -> serve(accepted));
                  serving.setDaemon(true);
                  serving.start();
                } catch (IOException closed) {
                  return;
                }
              }
            });
    accepting.setDaemon(true);
    accepting.start();
  }

  /** Lists a server, or changes its entry. */
  synchronized void put(String host, int port, int block, String health, long bornMs) {
    entries.put(host, new Entry(host, port, block, health, bornMs));
    changes.put(++version, host);
    run.note("discovery: seq %d, %s %s born_ms=%d", version, host, health, bornMs);
    notifyAll();
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      BufferedReader in =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
      for (String start = in.readLine(); start != null; start = in.readLine()) {
        for (String header = in.readLine(); !header.isEmpty(); ) {
          header = in.readLine();
        }
        String body = body(start);
        String head =
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length()
                + "\r\n\r\n";
        connection.getOutputStream().write((head + body).getBytes(StandardCharsets.US_ASCII));
        connection.getOutputStream().flush();
        if (body.contains("\"host\"")) {
          toldAt = run.now();
          run.note("discovery told: %s", body.length() > 300 ? "the list" : body);
        }
      }
    } catch (IOException | InterruptedException ended) {
      // The router has closed the connection.
    }
  }

  private synchronized String body(String start) throws InterruptedException {
    Matcher watch = AFTER.matcher(start);
    if (!watch.find() || Long.parseLong(watch.group(1)) > version) {
      return list(true, 0);
    }
    long after = Long.parseLong(watch.group(1));
    long until = System.nanoTime() / 1_000_000 + Long.parseLong(watch.group(2));
    while (version <= after && System.nanoTime() / 1_000_000 < until) {
      wait(Math.max(1, until - System.nanoTime() / 1_000_000));
    }
    return list(false, after);
  }

  /** Returns the whole list, or the entries that changed after a version. */
  synchronized String list(boolean whole, long after) {
    StringBuilder hosts = new StringBuilder();
    for (Entry entry : entries.values()) {
      boolean listed =
          whole
              ? !entry.health().equals("Gone")
              : changes.tailMap(after, false).containsValue(entry.host());
      if (listed) {
        hosts.append(hosts.length() == 0 ? "" : ",").append(entry.json());
      }
    }
    return "{\"seq\":" + version + ",\"whole\":" + whole + ",\"hosts\":[" + hosts + "]}";
  }
}
