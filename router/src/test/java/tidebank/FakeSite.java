package tidebank;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
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
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.assertj.core.api.Assertions;
import tidebank.capture.DecisionLog;
import tidebank.config.RouterConfig;
import tidebank.metrics.Counters;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Settings;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.QueryRouter;

/**
 * A router under test with fakes for everything around it: a discovery service, four shard servers
 * and clients, all on ephemeral loopback ports. A test changes the fields of the configuration file
 * before it starts the router, either in this process or as a process of its own.
 */
final class FakeSite implements AutoCloseable {
  private static final Path DEPLOY_FILE = Path.of("../deploy/balancer.toml");
  private static final Pattern MEMORY_OPTION =
      Pattern.compile("-Xm[sx]\\S+|-Xss\\S+|-XX:Max\\w+=\\S+|-XX:Reserved\\w+=\\S+");
  private static final int MEMORY_OPTIONS = 6;

  /** The maximum wait for an event that a test expects, in milliseconds. */
  static final int WAIT_MS = 8000;

  /** For how long shard servers recognize an idempotency key, in milliseconds. */
  static final int KEY_WINDOW_MS = 2000;

  final List<FakeShardServer> servers = new ArrayList<>();
  final FakeDiscovery discovery = new FakeDiscovery(this);

  /** The fields of the "limits" object in the settings. */
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

  /** Further top-level fields of the configuration file. */
  final Map<String, Object> configFields =
      new LinkedHashMap<>(
          Map.of("name", "n0", "listen", "127.0.0.1:0", "seed", "8c1f30d27a5be964"));

  int maxSockets = 1024;

  /** Whether the process is started with a file descriptor limit that fits {@link #maxSockets}. */
  boolean limitDescriptors;

  /** Further options of the process's JVM. */
  final List<String> jvmOptions = new ArrayList<>();

  int maxBatchSize = 1;
  int pollIntervalMs = 12_000;

  /** The semantics of the query class "once"; keys are recognized for {@link #KEY_WINDOW_MS}. */
  String onceSemantics = "non_idempotent";

  int latencyObjectiveMs = 1000;

  /** Whether the configuration file contains the endpoint list. */
  boolean hasCachedList = true;

  /**
   * The setting "discovery": "ask" if the router has to watch the list, "push" if an agent does.
   */
  String discoveryMode = "ask";

  /** The router in this process; null if none was started. */
  private QueryRouter router;

  /** The router's own process; null if none was started. */
  Process process;

  /** The path of the configuration file; null until it is written. */
  Path configPath;

  /** The standard error of the process, which contains its log. */
  BufferedReader stderr;

  /**
   * Creates servers s0 to s3 at the positions 0 to 3. Each of the shards 0 to 3 has two replicas:
   * at the position of its number and at the next one.
   */
  FakeSite() {
    for (int position = 0; position < 4; position++) {
      servers.add(new FakeShardServer("s" + position, position));
    }
  }

  private String queryClassJson(String name, String semantics, double lateWorth) {
    return "{'name':'"
        + name
        + "','semantics':'"
        + semantics
        + "','onTimeMs':"
        + latencyObjectiveMs
        + ",'deadlineMs':"
        + 3 * latencyObjectiveMs
        + ",'windowMs':"
        + KEY_WINDOW_MS
        + ",'lateWorth':"
        + lateWorth
        + ",'worth':1}";
  }

  /** Returns the contents of the configuration file. */
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
            + queryClassJson("once", onceSemantics, 0.3)
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
    String fields = toJson(configFields);
    return (fields.substring(0, fields.length() - 1)
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
            field ->
                "'"
                    + field.getKey()
                    + "':"
                    + (field.getValue() instanceof String text
                        ? "'" + text + "'"
                        : field.getValue()))
        .collect(Collectors.joining(",", "{", "}"));
  }

  /** Writes the configuration to a temporary file and returns its path. */
  Path writeConfigFile() throws IOException {
    configPath = Files.createTempFile("router", ".json");
    configPath.toFile().deleteOnExit();
    return Files.writeString(configPath, configJson());
  }

  /** Gives the router's process the limits on memory of the deploy file. */
  void useDeployedMemoryOptions() throws IOException {
    MEMORY_OPTION
        .matcher(Files.readString(DEPLOY_FILE))
        .results()
        .map(MatchResult::group)
        .forEach(jvmOptions::add);
    Assertions.assertThat(jvmOptions).hasSize(MEMORY_OPTIONS);
  }

  /** Starts the router in this process. It listens when this returns. */
  FakeSite start() throws IOException {
    router =
        QueryRouter.start(RouterConfig.read(Map.of("NODE_CONFIG", writeConfigFile().toString())));
    return this;
  }

  /** Starts the router's main class as a process with these environment variables and arguments. */
  Process startProcess(Map<String, String> env, String... args) throws IOException {
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-ea",
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1"));
    command.addAll(jvmOptions);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "tidebank.Main"));
    command.addAll(List.of(args));
    if (limitDescriptors) {
      // The limit also covers the jars of the test's class path, as each needs a descriptor. In
      // production the class path is a single jar.
      int jars = System.getProperty("java.class.path").split(File.pathSeparator).length;
      command.addAll(
          0, List.of("/bin/sh", "-c", "ulimit -n " + (maxSockets + jars) + "; exec \"$@\"", "sh"));
    }
    // A JVM does not handle a signal that its parent ignores. Under nohup, the router would
    // otherwise never receive SIGHUP.
    command.addAll(0, List.of("env", "--default-signal=HUP"));
    ProcessBuilder builder = new ProcessBuilder(command);
    builder.environment().putAll(env);
    process = builder.start();
    stderr = process.errorReader();
    return process;
  }

  /**
   * Starts a router process named n7 and returns the address on which it listens.
   *
   * @param listen the address to listen on; with port 0 the system picks a port
   */
  InetSocketAddress startServing(String listen) throws IOException {
    startProcess(
        Map.of(
            "NODE_CONFIG", writeConfigFile().toString(), "NODE_NAME", "n7", "NODE_LISTEN", listen),
        "serve");
    String line = stderr.readLine();
    while (!line.contains("router n7 listens on")) {
      line = stderr.readLine();
      Assertions.assertThat(line).as("log line with the listening address").isNotNull();
    }
    return new InetSocketAddress(
        "127.0.0.1", Integer.parseInt(line.replaceAll(".*127.0.0.1:(\\d+).*", "$1")));
  }

  /**
   * Stalls the router's event loop. The loop is stalled when this returns, and resumes when the
   * returned latch is counted down.
   */
  CountDownLatch stallEventLoop() throws Exception {
    CountDownLatch stalled = new CountDownLatch(1);
    CountDownLatch resume = new CountDownLatch(1);
    eventLoop()
        .execute(
            () -> {
              stalled.countDown();
              try {
                resume.await();
              } catch (InterruptedException fault) {
                Thread.currentThread().interrupt();
              }
            });
    stalled.await();
    return resume;
  }

  /**
   * Stalls the event loop after the next decision round that sends an attempt, before the attempt
   * is sent. A process that has just started, or is stopped at that moment, stalls in the same way.
   *
   * @param stalled counted down when the loop stalls
   * @param resume counted down by the test to let the loop resume
   */
  void stallBeforeSending(CountDownLatch stalled, CountDownLatch resume) throws Exception {
    PolicyExecutor executor = (PolicyExecutor) readField(router, "executor");
    CountDownLatch installed = new CountDownLatch(1);
    DecisionLog stallingLog =
        new DecisionLog() {
          @Override
          public void policyStarted(Settings settings, long seed) {
            installed.countDown();
          }

          @Override
          public void roundDecided(long nowUs, List<Event> events, List<Action> actions) {
            if (actions.stream().noneMatch(Action.SendAttempt.class::isInstance)) {
              return;
            }
            stalled.countDown();
            try {
              resume.await();
            } catch (InterruptedException fault) {
              Thread.currentThread().interrupt();
            }
          }

          @Override
          public void roundFailed(long nowUs, List<Event> events, Throwable cause) {}
        };
    eventLoop().execute(() -> executor.setDecisionLog(stallingLog));
    installed.await();
  }

  private EventLoop eventLoop() throws Exception {
    return (EventLoop) readField(router, "loop");
  }

  /** Waits until the router in this process has incremented this counter. */
  void awaitCounter(String name) throws Exception {
    Counters counters = (Counters) readField(router, "counters");
    while (eventLoop().submit(() -> counters.get(name)).get() == 0) {
      Thread.sleep(1);
    }
  }

  /**
   * Waits for the end of the event loop's current pass. A channel that was closed during the pass
   * releases its socket only then.
   */
  void awaitEndOfPass() throws Exception {
    // A scheduled task runs in the pass after the one in which it was added, at the earliest.
    eventLoop().schedule(() -> {}, 1, TimeUnit.MILLISECONDS).get();
  }

  /** Returns the channel of the router's listening socket. */
  Channel listeningChannel() throws Exception {
    return (Channel) readField(readField(readField(router, "clients"), "listener"), "channel");
  }

  private static Object readField(Object owner, String name) throws Exception {
    Field field = owner.getClass().getDeclaredField(name);
    field.setAccessible(true);
    return field.get(owner);
  }

  /** Returns the router in this process; null if none was started. */
  QueryRouter router() {
    return router;
  }

  /** Lets the test respond to all batches. */
  void disableAutoRespond() {
    servers.forEach(server -> server.autoRespond = false);
  }

  /** Lists all servers but s1 as gone. Returns s1, which has the shards 0 and 1. */
  FakeShardServer keepOnlyServer1() {
    servers.forEach(server -> server.health = "Gone");
    FakeShardServer server = servers.get(1);
    server.health = "Ready";
    return server;
  }

  /** Connects a client to the router in this process. */
  FakeClient connectClient() throws IOException {
    return new FakeClient(router.address());
  }

  /** Kills the router's process, stops the router in this process, and closes the fakes. */
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

  /** A server that accepts connections and handles each on a thread of its own. */
  abstract static class FakeServer implements AutoCloseable {
    /** A handler of one connection, which is closed when it returns or throws. */
    interface ConnectionHandler {
      void handle(Socket socket) throws IOException, InterruptedException;
    }

    /** The open connections. */
    final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

    /** The number of connections accepted so far, including closed ones. */
    final AtomicInteger acceptedCount = new AtomicInteger();

    ServerSocket serverSocket;

    /** Listens on an ephemeral loopback port. An earlier server socket stays open. */
    void listen(ConnectionHandler handler) {
      try {
        serverSocket = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
      } catch (IOException fault) {
        throw new UncheckedIOException(fault);
      }
      ServerSocket listening = serverSocket;
      runInBackground(
          () -> {
            while (true) {
              Socket socket = listening.accept();
              // Sends each write as a segment of its own, without delay.
              socket.setTcpNoDelay(true);
              acceptedCount.incrementAndGet();
              sockets.add(socket);
              runInBackground(
                  () -> {
                    try (socket) {
                      handler.handle(socket);
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
                } catch (Exception closed) {
                  // The router or the test closed the socket.
                }
              });
      thread.setDaemon(true);
      thread.start();
    }

    String address() {
      return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    /** Closes all open connections with a reset. */
    void resetConnections() throws IOException {
      for (Socket socket : sockets) {
        try {
          socket.setSoLinger(true, 0);
        } catch (SocketException closed) {
          // The connection is already closed.
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

  /**
   * A shard server. It records all frames and responds to batches if {@link #autoRespond} is set;
   * otherwise the test responds.
   */
  static final class FakeShardServer extends FakeServer {
    /**
     * A received frame.
     *
     * @param type the type byte
     * @param content the rest of the frame
     * @param socket the connection that it was received on
     */
    record Frame(char type, String content, Socket socket) {
      /** Returns the id of the first shard request in a batch, or of the one to cancel. */
      String requestId() {
        return content.split(" ")[0];
      }

      /**
       * Responds to the first shard request on the same connection.
       *
       * @param status "good", "bad" or "later"
       */
      void respond(String status, String value) throws IOException {
        sendBytes(encodeFrame('q', requestId() + " " + status + " 7 util=0.61\n" + value));
      }

      /** Sends these bytes on the connection that the frame was received on. */
      void sendBytes(byte[] bytes) throws IOException {
        socket.getOutputStream().write(bytes);
      }
    }

    final String id;
    final int position;
    final BlockingQueue<Frame> frames = new LinkedBlockingQueue<>();

    /** Whether the server responds to each batch immediately, to its first shard request only. */
    volatile boolean autoRespond = true;

    /** The status in the endpoint list: "Ready", "Terminating" or "Gone". */
    volatile String health = "Ready";

    FakeShardServer(String id, int position) {
      this.id = id;
      this.position = position;
      listenOnNewPort();
    }

    /** Listens on a new port. Connections to the earlier one are still accepted. */
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
              // Read first, so that a test that takes the frame can change it for later frames.
              boolean respond = autoRespond;
              frames.add(frame);
              if (respond && frame.type == 'm') {
                frame.respond("good", "value of " + frame.requestId());
              }
            }
          });
    }

    /** Removes and returns the next frame, and fails if none arrives in time. */
    Frame awaitFrame() throws InterruptedException {
      Frame frame = frames.poll(WAIT_MS, TimeUnit.MILLISECONDS);
      Assertions.assertThat(frame).as("a frame at " + id).isNotNull();
      return frame;
    }

    /** Encodes a frame with its length, type and content. */
    static byte[] encodeFrame(char type, String content) {
      return encodeFrame(type, content.getBytes(StandardCharsets.UTF_8));
    }

    /** Encodes a frame with its length, type and content. */
    static byte[] encodeFrame(char type, byte[] content) {
      return ByteBuffer.allocate(5 + content.length)
          .putInt(1 + content.length)
          .put((byte) type)
          .put(content)
          .array();
    }

    /** Returns the bytes of several frames in one array, to be sent in one segment. */
    static byte[] concatenate(byte[]... frames) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      for (byte[] frame : frames) {
        all.writeBytes(frame);
      }
      return all.toByteArray();
    }
  }

  /** A discovery service. It sends the complete list, deltas, or the response set by the test. */
  static final class FakeDiscovery extends FakeServer {
    private final FakeSite site;

    /** The request target of each call, with its query string. */
    final BlockingQueue<String> calls = new LinkedBlockingQueue<>();

    /** The raw HTTP response sent instead of a list; empty to not respond, null to send a list. */
    volatile String responseOverride;

    /**
     * How the connection is closed after {@link #responseOverride}: true for a reset, false for an
     * orderly close. Null keeps it open.
     */
    volatile Boolean closeByReset;

    int version = 41;

    /** The endpoint in the delta that led to the current version; empty if there is none. */
    private String latestChange = "";

    /** Each permit lets one connection close, if {@link #closeByReset} is set. */
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
          // Read first, so that a test that takes the call can change them for later calls.
          String override = responseOverride;
          Boolean reset = closeByReset;
          calls.add(path);
          String response =
              override != null
                  ? override
                  : httpResponse(path.contains("after=") ? awaitChange(path) : listJson(true));
          socket.getOutputStream().write(response.getBytes(StandardCharsets.UTF_8));
          if (override != null && reset != null) {
            closePermits.acquire();
            if (reset) {
              socket.setSoLinger(true, 0);
            }
            return;
          }
        }
      }
    }

    /** Returns a successful HTTP response with this body, which has to be ASCII. */
    static String httpResponse(String body) {
      return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /**
     * Waits for a version above that of a watch call, for as long as the call allows, and returns
     * the delta; it has no endpoints if there was no change.
     */
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

    /** Changes a server's status and completes the pending watch call with this change. */
    synchronized void updateHealth(FakeShardServer server, String health) {
      server.health = health;
      latestChange = hostJson(server);
      version++;
      notifyAll();
    }

    /**
     * Returns the list of all servers.
     *
     * @param complete whether it is marked as complete rather than as a delta
     */
    String listJson(boolean complete) {
      return "{\"seq\":"
          + version
          + ",\"whole\":"
          + complete
          + ",\"hosts\":["
          + String.join(",", site.servers.stream().map(FakeDiscovery::hostJson).toList())
          + "]}";
    }

    /** Returns a server's entry in the list. */
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

    /**
     * Waits for a call with this text in its target and returns the target. Removes it and all
     * calls before it, and fails if it does not arrive in time.
     */
    String awaitCall(String text) throws InterruptedException {
      while (true) {
        String call = calls.poll(WAIT_MS, TimeUnit.MILLISECONDS);
        Assertions.assertThat(call).as("a call to discovery with " + text).isNotNull();
        if (call.contains(text)) {
          return call;
        }
      }
    }
  }

  /** A client of the router that sends its requests byte for byte as given. */
  static final class FakeClient implements AutoCloseable {
    record Response(int status, Map<String, String> headers, String body) {}

    final Socket socket;
    private final InputStream in;

    FakeClient(InetSocketAddress address) throws IOException {
      this(address, 0);
    }

    /**
     * Connects to a router.
     *
     * @param receiveBufferBytes the approximate size of the socket's receive buffer; 0 for the
     *     system default
     */
    FakeClient(InetSocketAddress address, int receiveBufferBytes) throws IOException {
      socket = new Socket();
      if (receiveBufferBytes > 0) {
        socket.setReceiveBufferSize(receiveBufferBytes);
      }
      socket.connect(address);
      socket.setSoTimeout(WAIT_MS);
      socket.setTcpNoDelay(true);
      in = new BufferedInputStream(socket.getInputStream());
    }

    /**
     * Returns the HTTP request of a query.
     *
     * @param weights the weights of the shard requests, one for each shard from 0
     */
    static String queryRequest(String queryClass, String id, int timeoutMs, double... weights) {
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
          "/" + queryClass,
          id,
          timeoutMs + "m",
          "{\"ranges\":[" + ranges + "],\"predicate\":\"c41e77d0\"}");
    }

    /**
     * Returns a POST request.
     *
     * @param timeout the value of its X-Time-Left header
     */
    static String postRequest(String path, String id, String timeout, String body) {
      return "POST "
          + path
          + " HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: "
          + id
          + "\r\nX-Account: a\r\nX-Time-Left: "
          + timeout
          + "\r\nContent-Length: "
          + body.length()
          + "\r\n\r\n"
          + body;
    }

    /** Connects another client to the same router. */
    FakeClient connectAnother() throws IOException {
      return new FakeClient((InetSocketAddress) socket.getRemoteSocketAddress());
    }

    FakeClient send(String raw) throws IOException {
      socket.getOutputStream().write(raw.getBytes(StandardCharsets.UTF_8));
      return this;
    }

    /** Sends a request and reads the next response. */
    Response sendAndRead(String raw) throws IOException {
      return send(raw).readResponse();
    }

    /** Returns the HTTP status of the readiness check: 200 or 503. */
    int fetchReadinessStatus() throws IOException {
      return sendAndRead("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status;
    }

    /** Reads a response, and fails if the connection is closed first. */
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
          throw new EOFException("the router closed the connection");
        }
        line.append(next == '\r' ? "" : (char) next);
      }
      return line.toString();
    }

    /** Waits for input; returns true if the router closed the connection instead of sending any. */
    boolean isClosedByRouter() throws IOException {
      return in.read() < 0;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }
}
