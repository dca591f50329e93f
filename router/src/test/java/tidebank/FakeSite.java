package tidebank;

import io.netty.channel.Channel;
import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.DataInputStream;
import java.io.EOFException;
import java.io.File;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.lang.reflect.Field;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executor;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import org.assertj.core.api.Assertions;
import tidebank.capture.DecisionLog;
import tidebank.config.RouterConfig;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Settings;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.QueryRouter;

/**
 * Small stand-ins on loopback ports of the system's choice: discovery, shard servers, a client; and
 * a gatherer's file.
 */
final class FakeSite implements AutoCloseable {
  static final int WAIT_MS = 8000;

  final List<FakeShardServer> servers = new ArrayList<>();
  final FakeDiscovery discovery = new FakeDiscovery(this);
  final Map<String, Object> limits =
      new LinkedHashMap<>(
          Map.of(
              "maxAttempts",
              3,
              "secondCopies",
              true,
              "cancel",
              true,
              "connectTimeoutMs",
              200,
              "keepaliveMs",
              20000,
              "maxStreams",
              100,
              "mostHeld",
              200));
  final Map<String, Object> configFields =
      new LinkedHashMap<>(
          Map.of("name", "n0", "listen", "127.0.0.1:0", "seed", "8c1f30d27a5be964"));
  int maxSockets = 1024;

  /** Whether the program is started under a limit of descriptors that binds. */
  boolean limitDescriptors;

  int maxBatchSize = 1;
  int pollIntervalMs = 12_000;
  int latencyObjectiveMs = 1000;
  boolean hasCachedList = true;
  String discoveryMode = "ask";
  private QueryRouter router;
  Process process;
  Path configPath;
  BufferedReader stderr;

  /**
   * Shards 0 to 3 at four positions, each held by two servers: s0 at position 0, s1 at 1 and so on.
   */
  FakeSite() {
    for (int block = 0; block < 4; block++) {
      servers.add(new FakeShardServer("s" + block, block));
    }
  }

  private String queryClassJson(String name, String repeat, double late) {
    return "{'name':'"
        + name
        + "','semantics':'"
        + repeat
        + "','onTimeMs':"
        + latencyObjectiveMs
        + ",'deadlineMs':"
        + 3 * latencyObjectiveMs
        + ",'windowMs':2000,"
        + "'lateWorth':"
        + late
        + ",'worth':1}";
  }

  String configJson() {
    configFields.put("discovery", discovery.address());
    String settings =
        "{'instances':2,'tickMs':5,'discovery':'"
            + discoveryMode
            + "','services':["
            + queryClassJson("whole", "read_like", 0.1)
            + ","
            + queryClassJson("part", "read_like", 0)
            + ","
            + queryClassJson("once", "non_idempotent", 0.3)
            + "],'specifics':{'slices':4,"
            + "'positions':4,'width':2,'bundleMax':"
            + maxBatchSize
            + ",'floorByClass':[1,0.5,1],'classNeed':[1,1,1]},"
            + "'limits':"
            + toJson(limits)
            + ",'guarantees':{'answerSlackMs':20,'askEveryMs':"
            + pollIntervalMs
            + ",'stopSendingWithinMs':500,'coldFrom':0.3,'coldMs':0,'fallMultiple':2,'tipAfterMs':1000},"
            + "'report':{'how':'on_probe'}}";
    String top = toJson(configFields);
    return (top.substring(0, top.length() - 1)
            + ",'limits':{'sockets':"
            + maxSockets
            + "}"
            + (hasCachedList ? ",'known':" + discovery.listJson(true) : "")
            + ",'settings':"
            + settings
            + "}")
        .replace('\'', '"');
  }

  private static String toJson(Map<String, Object> values) {
    return values.entrySet().stream()
        .map(
            e ->
                "'"
                    + e.getKey()
                    + "':"
                    + (e.getValue() instanceof String s ? "'" + s + "'" : e.getValue()))
        .collect(Collectors.joining(",", "{", "}"));
  }

  Path writeConfigFile() throws IOException {
    configPath = Files.createTempFile("gatherer", ".json");
    configPath.toFile().deleteOnExit();
    return Files.writeString(configPath, configJson());
  }

  /** Starts a gatherer in this process, from the environment and the file as the program does. */
  FakeSite start() throws IOException {
    router =
        QueryRouter.start(RouterConfig.read(Map.of("NODE_CONFIG", writeConfigFile().toString())));
    return this;
  }

  /** Starts the program itself, as {@code run} does; its standard error is the result's. */
  Process startProcess(Map<String, String> env, String... args) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-ea",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "tidebank.Main"));
    command.addAll(List.of(args));
    if (limitDescriptors) {
      // As many as it is told of, and those of the test's class path, which is a single jar in
      // service.
      int jars = System.getProperty("java.class.path").split(File.pathSeparator).length;
      command.addAll(
          0, List.of("/bin/sh", "-c", "ulimit -n " + (maxSockets + jars) + "; exec \"$@\"", "sh"));
    }
    // A JVM leaves a signal alone that it inherits as ignored, as under nohup, and so would never
    // hear of SIGHUP.
    command.addAll(0, List.of("env", "--default-signal=HUP"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().putAll(env);
    process = builder.start();
    stderr = process.errorReader();
    return process;
  }

  /**
   * Has the gatherer's event loop stand still until what it returns is counted down; it does so
   * when this returns.
   */
  CountDownLatch stallEventLoop() throws Exception {
    CountDownLatch stands = new CountDownLatch(1);
    CountDownLatch go = new CountDownLatch(1);
    eventLoop()
        .execute(
            () -> {
              stands.countDown();
              try {
                go.await();
              } catch (InterruptedException fault) {
                Thread.currentThread().interrupt();
              }
            });
    stands.await();
    return go;
  }

  /**
   * Has the event loop stand still between the next decision that sends something and the sending,
   * as a process that is cold or is stopped just then; {@code stands} is counted down once it does,
   * and it goes on when {@code go} is.
   */
  void stallBeforeSending(CountDownLatch stands, CountDownLatch go) throws Exception {
    PolicyExecutor executor = (PolicyExecutor) readField(router, "executor");
    CountDownLatch set = new CountDownLatch(1);
    DecisionLog stall =
        new DecisionLog() {
          @Override
          public void policyStarted(Settings settings, long seed) {
            set.countDown();
          }

          @Override
          public void roundDecided(long nowUs, List<Event> events, List<Action> actions) {
            if (actions.stream().noneMatch(Action.SendAttempt.class::isInstance)) {
              return;
            }
            stands.countDown();
            try {
              go.await();
            } catch (InterruptedException fault) {
              Thread.currentThread().interrupt();
            }
          }

          @Override
          public void roundFailed(long nowUs, List<Event> events, Throwable cause) {}
        };
    eventLoop().execute(() -> executor.setDecisionLog(stall));
    set.await();
  }

  private Executor eventLoop() throws Exception {
    return (Executor) readField(router, "loop");
  }

  /** The gatherer's listening socket. */
  Channel listeningChannel() throws Exception {
    return (Channel) readField(readField(readField(router, "clients"), "listener"), "channel");
  }

  private static Object readField(Object owner, String name) throws Exception {
    Field field = owner.getClass().getDeclaredField(name);
    field.setAccessible(true);
    return field.get(owner);
  }

  QueryRouter router() {
    return router;
  }

  FakeClient connectClient() throws IOException {
    return new FakeClient(router.address());
  }

  @Override
  public void close() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
    if (router != null) {
      router.stop().get(WAIT_MS, TimeUnit.MILLISECONDS);
    }
    discovery.close();
    for (FakeShardServer server : servers) {
      server.close();
    }
  }

  /** Accepts connections and serves each on a thread of its own. */
  abstract static class FakeServer implements AutoCloseable {
    interface ConnectionHandler {
      void handle(Socket socket) throws IOException, InterruptedException;
    }

    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    final AtomicInteger acceptedCount = new AtomicInteger();
    ServerSocket serverSocket;

    void listen(ConnectionHandler served) {
      try {
        serverSocket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      } catch (IOException fault) {
        throw new UncheckedIOException(fault);
      }
      ServerSocket mine = serverSocket;
      runInBackground(
          () -> {
            while (true) {
              Socket socket = mine.accept();
              // Each write is a segment of its own, at once.
              socket.setTcpNoDelay(true);
              acceptedCount.incrementAndGet();
              sockets.add(socket);
              runInBackground(
                  () -> {
                    try (socket) {
                      served.handle(socket);
                    } finally {
                      sockets.remove(socket);
                    }
                  });
            }
          });
    }

    private interface Task {
      void run() throws Exception;
    }

    private static void runInBackground(Task task) {
      Thread thread =
          new Thread(
              () -> {
                try {
                  task.run();
                } catch (Exception ended) {
                  // The other side or the test closed the socket.
                }
              });
      thread.setDaemon(true);
      thread.start();
    }

    String address() {
      return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    void resetConnections() throws IOException {
      for (Socket socket : sockets) {
        try {
          socket.setSoLinger(true, 0);
        } catch (SocketException closed) {
          // The gatherer was first.
        }
        socket.close();
      }
    }

    @Override
    public void close() throws IOException {
      serverSocket.close();
      resetConnections();
    }
  }

  /** Reads frames. A part is answered at once, or handed to the test. */
  static final class FakeShardServer extends FakeServer {
    /** A frame as it came, and the connection to answer on. */
    record Frame(char type, String content, Socket socket) {
      String requestId() {
        return content.split(" ")[0];
      }

      void respond(String end, String value) throws IOException {
        sendBytes(encodeFrame('q', requestId() + " " + end + " 7 util=0.61\n" + value));
      }

      void sendBytes(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
      }
    }

    final String id;
    final int position;
    final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();
    volatile boolean autoRespond = true;
    volatile String health = "Ready";

    FakeShardServer(String id, int block) {
      this.id = id;
      this.position = block;
      listenOnNewPort();
    }

    void listenOnNewPort() {
      listen(
          socket -> {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            while (true) {
              byte[] bytes = in.readNBytes(in.readInt());
              Frame frame =
                  new Frame(
                      (char) bytes[0],
                      new String(bytes, 1, bytes.length - 1, StandardCharsets.UTF_8),
                      socket);
              // How it is answered is settled before the test hears of it.
              boolean settled = autoRespond;
              frames.add(frame);
              if (settled && frame.type == 'm') {
                frame.respond("good", "value of " + frame.requestId());
              }
            }
          });
    }

    Frame awaitFrame() throws InterruptedException {
      Frame frame = frames.poll(WAIT_MS, TimeUnit.MILLISECONDS);
      Assertions.assertThat(frame).as("a frame at " + id).isNotNull();
      return frame;
    }

    static byte[] encodeFrame(char letter, String rest) {
      return encodeFrame(letter, rest.getBytes(StandardCharsets.UTF_8));
    }

    static byte[] encodeFrame(char letter, byte[] bytes) {
      return ByteBuffer.allocate(5 + bytes.length)
          .putInt(1 + bytes.length)
          .put((byte) letter)
          .put(bytes)
          .array();
    }
  }

  /** Tells the list, whole or by changes, or fails as it is told to. */
  static final class FakeDiscovery extends FakeServer {
    private final FakeSite site;
    final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

    /** What to answer in place of the list: raw HTTP, "" to say nothing. */
    volatile String responseOverride;

    /**
     * How the connection ends behind what is answered instead: by a reset, or by an end that is
     * whole; null: not.
     */
    volatile Boolean closeByReset;

    int version = 41;
    private String latestChange = "";

    /** One permit lets one connection end. */
    final java.util.concurrent.Semaphore closePermits = new java.util.concurrent.Semaphore(0);

    FakeDiscovery(FakeSite site) {
      this.site = site;
      listen(this::serve);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
      BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream()));
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        if (line.startsWith("GET ")) {
          String path = line.split(" ")[1];
          // How it is answered is settled before the test hears of it.
          String settled = responseOverride;
          Boolean reset = closeByReset;
          calls.add(path);
          String reply =
              settled != null
                  ? settled
                  : httpResponse(path.contains("after=") ? awaitChange(path) : listJson(true));
          socket.getOutputStream().write(reply.getBytes(StandardCharsets.UTF_8));
          if (settled != null && reset != null) {
            closePermits.acquire();
            if (reset) {
              socket.setSoLinger(true, 0);
            }
            return;
          }
        }
      }
    }

    static String httpResponse(String body) {
      return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private synchronized String awaitChange(String path) throws InterruptedException {
      int after = Integer.parseInt(path.replaceAll(".*after=(\\d+).*", "$1"));
      long until =
          System.nanoTime()
              + Long.parseLong(path.replaceAll(".*wait_ms=(\\d+).*", "$1")) * 1_000_000;
      while (version <= after && System.nanoTime() < until) {
        wait(Math.max(1, (until - System.nanoTime()) / 1_000_000));
      }
      return "{\"seq\":"
          + version
          + ",\"whole\":false,\"hosts\":["
          + (version > after ? latestChange : "")
          + "]}";
    }

    /** Tells a change of this server. */
    synchronized void updateHealth(FakeShardServer server, String health) {
      server.health = health;
      latestChange = hostJson(server);
      version++;
      notifyAll();
    }

    String listJson(boolean whole) {
      return "{\"seq\":"
          + version
          + ",\"whole\":"
          + whole
          + ",\"hosts\":["
          + String.join(",", site.servers.stream().map(FakeDiscovery::hostJson).toList())
          + "]}";
    }

    static String hostJson(FakeShardServer server) {
      return ("{'host':'"
              + server.id
              + "','dial':'"
              + server.address()
              + "','site':'a','class':'m','block':"
              + server.position
              + ",'health':'"
              + server.health
              + "','share':1.0,'born_ms':0}")
          .replace('\'', '"');
    }

    /** Waits for a call of this kind. */
    String awaitCall(String part) throws InterruptedException {
      while (true) {
        String call = calls.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        Assertions.assertThat(call).as("a call of discovery with " + part).isNotNull();
        if (call.contains(part)) {
          return call;
        }
      }
    }
  }

  /** A client that writes what it is told to, byte for byte. */
  static final class FakeClient implements AutoCloseable {
    record Response(int status, Map<String, String> headers, String body) {}

    final Socket socket;
    private final InputStream in;

    FakeClient(InetSocketAddress address) throws IOException {
      this(address, 0);
    }

    /**
     * One that takes in no more than about so many bytes before it reads; 0: as many as the system
     * likes.
     */
    FakeClient(InetSocketAddress address, int receives) throws IOException {
      socket = new Socket();
      if (receives > 0) {
        socket.setReceiveBufferSize(receives);
      }
      socket.connect(address);
      socket.setSoTimeout(WAIT_MS);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }

    /** The request of a scan with these weights, one part a shard. */
    static String queryRequest(String type, String id, int timeLeftMs, double... weights) {
      StringBuilder ranges = new StringBuilder();
      for (int shard = 0; shard < weights.length; shard++) {
        ranges
            .append(shard > 0 ? "," : "")
            .append("{\"range\":")
            .append(shard)
            .append(",\"portion\":")
            .append(weights[shard])
            .append("}");
      }
      return postRequest(
          "/" + type,
          id,
          timeLeftMs + "m",
          "{\"ranges\":[" + ranges + "],\"predicate\":\"c41e77d0\"}");
    }

    static String postRequest(String path, String id, String timeLeft, String body) {
      return "POST "
          + path
          + " HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: "
          + id
          + "\r\nX-Account: a\r\nX-Time-Left: "
          + timeLeft
          + "\r\nContent-Length: "
          + body.length()
          + "\r\n\r\n"
          + body;
    }

    /** Another client of the same gatherer. */
    FakeClient connectAnother() throws IOException {
      return new FakeClient((InetSocketAddress) socket.getRemoteSocketAddress());
    }

    FakeClient send(String raw) throws IOException {
      socket.getOutputStream().write(raw.getBytes(StandardCharsets.UTF_8));
      return this;
    }

    Response sendAndRead(String raw) throws IOException {
      return send(raw).readResponse();
    }

    int fetchReadinessStatus() throws IOException {
      return sendAndRead("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status;
    }

    Response readResponse() throws IOException {
      String status = readLine();
      Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
      for (String line = readLine(); !line.isEmpty(); line = readLine()) {
        headers.put(line.split(": ")[0], line.split(": ")[1]);
      }
      byte[] body = in.readNBytes(Integer.parseInt(headers.get("Content-Length")));
      return new Response(
          Integer.parseInt(status.split(" ")[1]),
          headers,
          new String(body, StandardCharsets.UTF_8));
    }

    private String readLine() throws IOException {
      StringBuilder line = new StringBuilder();
      for (int next = in.read(); next != '\n'; next = in.read()) {
        if (next < 0) {
          throw new EOFException("the gatherer ended the connection");
        }
        line.append(next == '\r' ? "" : (char) next);
      }
      return line.toString();
    }

    /** Whether the gatherer has ended the connection. */
    boolean isClosedByRouter() throws IOException {
      return in.read() < 0;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
