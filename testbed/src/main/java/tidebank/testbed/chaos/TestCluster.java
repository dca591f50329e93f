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
 * Coordinators and query routers as processes of this machine, with a proxy before every address of
 * a coordinator. Signals go only to processes that it started. Belongs to the script's thread; the
 * proxy's event loop only looks up which process calls.
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

  private String openProxy(int coordinator, boolean raft, String address) throws IOException {
    int colon = address.lastIndexOf(':');
    InetSocketAddress listener =
        proxy.open(
            "s" + coordinator,
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            !raft);
    return listener.getHostString() + ':' + listener.getPort();
  }

  private String findCaller(int port, int proxyPort) {
    Map<String, Long> known = new LinkedHashMap<>();
    processes.forEach(
        (name, process) ->
            known.put(
                name,
                pidByProcess.computeIfAbsent(
                    process,
                    one -> {
                      long pid = one.pid();
                      return pid < 0 ? null : pid;
                    })));
    known.values().removeIf(pid -> pid == null);
    known.put(TESTBED, ProcessHandle.current().pid());
    return ConnectionOwners.owner(port, proxyPort, known);
  }

  private double clockRate(String name) {
    return script.clockRates().getOrDefault(name, 1.0);
  }

  /**
   * Starts a process, or starts it again with its disk.
   *
   * @param clock rate of its monotonic clock
   */
  void startProcess(String name, double clock) throws IOException {
    List<String> launcher =
        clock == 1
            ? List.of()
            : List.of(
                "-Dtidebank.chaos.rate=" + clock, "tidebank.testbed.chaos.SkewedClockLauncher");
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
            // Its last lines, after the cluster has closed its log.
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
      RouterProcess before = members.put(name, member);
      if (before != null) {
        before.close();
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

  /** Where the coordinators are reached past all proxies. */
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

  /** Ends a process by SIGKILL or SIGTERM. What it had not reported of its queries may be lost. */
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
   * Sends queries to each member that can answer: whatever the coordinators do, each is answered.
   */
  void sendQueries(int count) throws IOException {
    for (String name : memberNames()) {
      for (int i = 0; i < count && isAlive(name) && !suspended.contains(name); i++) {
        sendQuery(name);
      }
    }
  }

  private void sendQuery(String name) throws IOException {
    InetSocketAddress at = members.get(name).awaitAddress();
    try {
      int status =
          http.send(
                  HttpRequest.newBuilder(
                          URI.create("http://127.0.0.1:" + at.getPort() + "/checkout"))
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
        throw new IOException("a query to " + name + " was answered with " + status);
      }
    } catch (IOException fault) {
      throw new IOException("a query to " + name + " failed: " + fault, fault);
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  int queriesSent() {
    return queriesSent;
  }

  /**
   * Returns how many queries may be in no report, as their router ended before it reported them.
   */
  int queriesPossiblyUnreported() {
    return queriesPossiblyUnreported;
  }

  /** Copies all files of a folder, in place of what is there. */
  static void replaceDirectory(Path from, Path to) throws IOException {
    deleteDirectory(to);
    try (Stream<Path> files = Files.walk(from)) {
      for (Path file : files.toList()) {
        Path there = to.resolve(from.relativize(file).toString());
        if (Files.isDirectory(file)) {
          Files.createDirectories(there);
        } else {
          Files.copy(file, there);
        }
      }
    }
  }

  static void deleteDirectory(Path folder) throws IOException {
    if (Files.exists(folder)) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }

  /** Heals all links, resumes processes that are stopped and starts those that have ended. */
  void repairAll() throws IOException {
    for (String from : processes.keySet()) {
      for (String to : coordinatorNames()) {
        injectFault(from, to, FaultyLink.Fault.HEAL, 0, 0, 0);
      }
    }
    for (String name : new ArrayList<>(processes.keySet())) {
      resume(name);
      if (!isAlive(name)) {
        history.event(name, "started");
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
