package tidebank.testbed.chaos;

import java.io.BufferedWriter;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.testbed.fleet.CoordinatorProcesses;
import tidebank.testbed.fleet.RouterProcesses;
import tidebank.testbed.process.ChildProcess;
import tidebank.testbed.replay.RouterProcess;

/**
 * A cluster of coordinators and query routers that run as child processes, with a fault proxy in
 * front of every coordinator address. Sends signals only to processes that it started. Confined to
 * the script's thread, except that the proxy's event loop calls {@link #findCaller}.
 */
final class TestCluster implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(TestCluster.class);
  private static final long REPORT_INTERVAL_MS = 250;
  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(8);
  private static final long US_PER_MS = 1000;
  private static final String TESTBED = "testbed";

  private final Path folder;
  private final Script script;
  private final History history;
  private final FaultProxy proxy;
  private final CoordinatorProcesses coordinators;
  private final Map<String, RouterProcess> members = new LinkedHashMap<>();
  private final Map<String, ChildProcess> processes = new ConcurrentHashMap<>();
  private final Map<ChildProcess, Long> pidByProcess = new ConcurrentHashMap<>();
  private final Set<String> suspended = new HashSet<>();
  private final Map<String, Integer> queriesByMember = new TreeMap<>();
  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(QUERY_TIMEOUT)
          .build();
  private final List<BufferedWriter> logs = new ArrayList<>();
  private int queriesSent;
  private int queriesPossiblyUnreported;

  TestCluster(Path folder, Script script, History history, long seed) throws IOException {
    this.folder = folder;
    this.script = script;
    this.history = history;
    Files.createDirectories(folder.resolve("logs"));
    proxy = new FaultProxy(this::findCaller, history, seed);
    coordinators =
        new CoordinatorProcesses(
            folder,
            script.coordinators(),
            "[duties]\n"
                + "names = [\"report\", \"retention\", \"spare/a\", \"spare/b\"]\n"
                + "[lease]\n"
                + "ms = "
                + script.leaseMs()
                + "\ndrift = "
                + script.maxClockDrift()
                + "\n[election]\nms = 200\n[snapshot]\nevery = 100\n[log]\nlevel = \"debug\"\n"
                + "lines_a_second = 1000\n",
            this::openProxy);
    for (int i = 0; i < script.coordinators(); i++) {
      startProcess("s" + i, clockRate("s" + i));
    }
    for (int i = 0; i < script.members(); i++) {
      startProcess("g" + i, clockRate("g" + i));
    }
  }

  /**
   * Opens a proxy in front of one address of a coordinator and returns the proxy's address. The
   * history records the traffic with clients, but not the traffic between coordinators.
   */
  private String openProxy(int coordinator, boolean isRaft, String address) throws IOException {
    int colon = address.lastIndexOf(':');
    InetSocketAddress listener =
        proxy.openListener(
            "s" + coordinator,
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            !isRaft);
    return listener.getHostString() + ':' + listener.getPort();
  }

  /**
   * Returns the name of the process that opened a connection to a proxy, or null if it is unknown.
   *
   * @param port port of the caller's end
   * @param proxyPort port of the proxy's end
   */
  private String findCaller(int port, int proxyPort) {
    Map<String, Long> pidByName = new LinkedHashMap<>();
    processes.forEach(
        (name, process) ->
            pidByName.put(
                name,
                pidByProcess.computeIfAbsent(
                    process,
                    child -> {
                      long pid = child.pid();
                      return pid < 0 ? null : pid;
                    })));
    pidByName.values().removeIf(pid -> pid == null);
    pidByName.put(TESTBED, ProcessHandle.current().pid());
    return ConnectionOwners.findOwner(port, proxyPort, pidByName);
  }

  private double clockRate(String name) {
    return script.clockRates().getOrDefault(name, 1.0);
  }

  /**
   * Starts a process, or restarts it with its existing data directory.
   *
   * @param name {@code s} and a number for a coordinator, {@code g} and a number for a router
   * @param clockRate rate of its monotonic clock
   */
  void startProcess(String name, double clockRate) throws IOException {
    List<String> launcher =
        clockRate == 1
            ? List.of()
            : List.of(
                "-Dtidebank.chaos.rate=" + clockRate, "tidebank.testbed.chaos.SkewedClockLauncher");
    BufferedWriter log =
        Files.newBufferedWriter(
            folder.resolve("logs").resolve(name + ".log"),
            StandardOpenOption.CREATE,
            StandardOpenOption.APPEND);
    logs.add(log);
    Consumer<String> output =
        line -> {
          try {
            log.write(line + "\n");
            log.flush();
          } catch (IOException closed) {
            // The process wrote its last lines after the cluster had closed the log file.
          }
        };
    if (name.startsWith("s")) {
      int coordinator = Integer.parseInt(name.substring(1));
      coordinators.start(coordinator, launcher, output);
      processes.put(name, coordinators.process(coordinator));
    } else {
      RouterProcess member =
          RouterProcesses.start(
              folder,
              name,
              coordinators.advertisedAddresses(),
              REPORT_INTERVAL_MS,
              List.of(),
              launcher,
              output);
      RouterProcess previous = members.put(name, member);
      if (previous != null) {
        previous.close();
      }
      processes.put(name, member.process());
    }
    suspended.remove(name);
  }

  List<String> coordinatorNames() {
    return processes.keySet().stream().filter(name -> name.startsWith("s")).sorted().toList();
  }

  List<String> memberNames() {
    return processes.keySet().stream().filter(name -> name.startsWith("g")).sorted().toList();
  }

  /** Returns the coordinators' own addresses, which bypass the proxies. */
  List<String> coordinatorAddresses() {
    return coordinators.addresses();
  }

  boolean isAlive(String name) {
    return processes.get(name).isAlive();
  }

  Path dataDirectory(String coordinator) {
    return coordinators.dataDirectory(Integer.parseInt(coordinator.substring(1)));
  }

  Path sharedFolder() {
    return RouterProcesses.sharedFolder(folder);
  }

  void suspend(String name) throws IOException {
    processes.get(name).suspend();
    suspended.add(name);
  }

  void resume(String name) throws IOException {
    if (suspended.remove(name) && isAlive(name)) {
      processes.get(name).resume();
    }
  }

  /**
   * Ends a process by SIGKILL or SIGTERM. The queries that it has not reported yet may be missing
   * from all reports.
   */
  void endProcess(String name, boolean kill) throws IOException {
    resume(name);
    queriesPossiblyUnreported += queriesByMember.getOrDefault(name, 0);
    queriesByMember.remove(name);
    if (kill) {
      processes.get(name).kill();
      processes.get(name).waitFor(5000);
    } else {
      processes.get(name).terminate();
    }
  }

  void injectFault(
      String from, String to, FaultyLink.Fault fault, long ms, long jitterMs, long bytesPerS) {
    proxy.inject(from, to, fault, ms * US_PER_MS, jitterMs * US_PER_MS, bytesPerS);
  }

  /**
   * Sends queries to each member that is running and not suspended. Members must answer every
   * query, whatever state the coordinators are in.
   *
   * @throws IOException if a query gets no answer, or another status than 429 or 503: the routers
   *     know no shard server and reject every query
   */
  void sendQueries(int count) throws IOException {
    for (String name : memberNames()) {
      for (int i = 0; i < count && isAlive(name) && !suspended.contains(name); i++) {
        sendQuery(name);
      }
    }
  }

  private void sendQuery(String name) throws IOException {
    InetSocketAddress address = members.get(name).awaitAddress();
    try {
      int status =
          http.send(
                  HttpRequest.newBuilder(
                          URI.create("http://127.0.0.1:" + address.getPort() + "/checkout"))
                      .timeout(QUERY_TIMEOUT)
                      .header("X-Correlation-Id", Long.toHexString(++queriesSent + (1L << 40)))
                      .header("X-Time-Left", "2000m")
                      .POST(
                          BodyPublishers.ofString(
                              "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"c41e77d0\"}"))
                      .build(),
                  BodyHandlers.discarding())
              .statusCode();
      queriesByMember.merge(name, 1, Integer::sum);
      if (status != 429 && status != 503) {
        throw new IOException(
            "query to " + name + " returned status " + status + ", expected 429 or 503");
      }
    } catch (IOException fault) {
      throw new IOException("query to " + name + " failed: " + fault, fault);
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  int queriesSent() {
    return queriesSent;
  }

  /**
   * Returns how many queries may be missing from all reports: those sent to routers that ended
   * afterwards.
   */
  int queriesPossiblyUnreported() {
    return queriesPossiblyUnreported;
  }

  /** Replaces a directory with a copy of another one. */
  static void replaceDirectory(Path from, Path to) throws IOException {
    deleteDirectory(to);
    try (Stream<Path> files = Files.walk(from)) {
      for (Path file : files.toList()) {
        Path target = to.resolve(from.relativize(file).toString());
        if (Files.isDirectory(file)) {
          Files.createDirectories(target);
        } else {
          Files.copy(file, target);
        }
      }
    }
  }

  static void deleteDirectory(Path directory) throws IOException {
    if (Files.exists(directory)) {
      try (Stream<Path> files = Files.walk(directory)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }

  /** Heals all links, resumes all suspended processes and restarts those that have ended. */
  void repairAll() throws IOException {
    for (String from : processes.keySet()) {
      for (String to : coordinatorNames()) {
        injectFault(from, to, FaultyLink.Fault.HEAL, 0, 0, 0);
      }
    }
    for (String name : new ArrayList<>(processes.keySet())) {
      resume(name);
      if (!isAlive(name)) {
        history.recordEvent(name, "started");
        startProcess(name, clockRate(name));
      }
    }
  }

  @Override
  public void close() {
    members.values().forEach(RouterProcess::close);
    coordinators.close();
    proxy.close();
    for (BufferedWriter log : logs) {
      try {
        log.close();
      } catch (IOException fault) {
        LOG.warn("log file not closed: error={}", fault.getMessage());
      }
    }
  }
}
