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
 * Stewards and gatherers as processes, with a relay before every address of a steward, so that
 * whatever one process asks of another can be seen and broken. Signals go only to processes that it
 * started. The script's thread owns it; relays only look up who calls.
 */
final class TestCluster implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(TestCluster.class);
  private static final long EVERY_MS = 250;
  private static final Duration SCAN = Duration.ofSeconds(8);
  private static final String SELF = "rig";

  private final Path folder;
  private final Script script;
  private final History history;
  private final FaultProxy relays;
  private final CoordinatorProcesses stewards;
  private final Map<String, RouterProcess> members = new LinkedHashMap<>();
  private final Map<String, ChildProcess> processes = new ConcurrentHashMap<>();
  private final Map<ChildProcess, Long> pids = new ConcurrentHashMap<>();
  private final Set<String> stopped = new HashSet<>();
  private final Map<String, Integer> scans = new TreeMap<>();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(SCAN).build();
  private final List<BufferedWriter> logs = new ArrayList<>();
  private int sent;
  private int untold;

  TestCluster(Path folder, Script script, History history, long seed) throws IOException {
    this.folder = folder;
    this.script = script;
    this.history = history;
    Files.createDirectories(folder.resolve("logs"));
    relays = new FaultProxy(this::caller, history, seed);
    stewards =
        new CoordinatorProcesses(
            folder,
            script.stewards(),
            "[duties]\n"
                + "names = [\"report\", \"retention\", \"spare/a\", \"spare/b\"]\n"
                + "[lease]\n"
                + "ms = "
                + script.leaseMs()
                + "\ndrift = "
                + script.drift()
                + "\n[election]\nms = 200\n[snapshot]\nevery = 100\n[log]\nlevel = \"debug\"\n"
                + "lines_a_second = 1000\n",
            this::door);
    for (int i = 0; i < script.stewards(); i++) {
      start("s" + i, rate("s" + i));
    }
    for (int i = 0; i < script.members(); i++) {
      start("g" + i, rate("g" + i));
    }
  }

  private String door(int steward, boolean raft, String address) throws IOException {
    int colon = address.lastIndexOf(':');
    InetSocketAddress door =
        relays.open(
            "s" + steward,
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            !raft);
    return door.getHostString() + ':' + door.getPort();
  }

  private String caller(int port, int relay) {
    Map<String, Long> known = new LinkedHashMap<>();
    processes.forEach(
        (name, process) ->
            known.put(
                name,
                pids.computeIfAbsent(
                    process,
                    one -> {
                      long pid = one.pid();
                      return pid < 0 ? null : pid;
                    })));
    known.values().removeIf(pid -> pid == null);
    known.put(SELF, ProcessHandle.current().pid());
    return ConnectionOwners.owner(port, relay, known);
  }

  private double rate(String name) {
    return script.clocks().getOrDefault(name, 1.0);
  }

  /** Starts one, or starts it again with its disk. */
  void start(String name, double clock) throws IOException {
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
    Consumer<String> told =
        line -> {
          try {
            log.write(line + "\n");
            log.flush();
          } catch (IOException closed) {
            // Its last lines, after the rig has closed its log.
          }
        };
    if (name.startsWith("s")) {
      int steward = Integer.parseInt(name.substring(1));
      stewards.start(steward, launcher, told);
      processes.put(name, stewards.process(steward));
    } else {
      RouterProcess member =
          RouterProcesses.start(folder, name, stewards.told(), EVERY_MS, List.of(), launcher, told);
      RouterProcess before = members.put(name, member);
      if (before != null) {
        before.close();
      }
      processes.put(name, member.process());
    }
    stopped.remove(name);
  }

  List<String> stewardNames() {
    return processes.keySet().stream().filter(name -> name.startsWith("s")).sorted().toList();
  }

  List<String> memberNames() {
    return processes.keySet().stream().filter(name -> name.startsWith("g")).sorted().toList();
  }

  /** Where the stewards are reached past all relays. */
  List<String> direct() {
    return stewards.addresses();
  }

  boolean alive(String name) {
    return processes.get(name).alive();
  }

  Path disk(String steward) {
    return stewards.disk(Integer.parseInt(steward.substring(1)));
  }

  Path shared() {
    return RouterProcesses.shared(folder);
  }

  void stop(String name) throws IOException {
    processes.get(name).stop();
    stopped.add(name);
  }

  void wake(String name) throws IOException {
    if (stopped.remove(name) && alive(name)) {
      processes.get(name).wake();
    }
  }

  /**
   * SIGKILL, or SIGTERM and then whatever it does. What it had not told of its scans may be lost.
   */
  void end(String name, boolean kill) throws IOException {
    wake(name);
    untold += scans.getOrDefault(name, 0);
    scans.remove(name);
    if (kill) {
      processes.get(name).kill();
      processes.get(name).waitFor(5000);
    } else {
      processes.get(name).terminate();
    }
  }

  void link(
      String from, String to, FaultyLink.Fault fault, long ms, long jitterMs, long bytesPerS) {
    relays.put(from, to, fault, ms * 1000, jitterMs * 1000, bytesPerS);
  }

  /** Scans to all members that can answer: whatever the stewards do, each is answered. */
  void scans(int count) throws IOException {
    for (String name : memberNames()) {
      for (int i = 0; i < count && alive(name) && !stopped.contains(name); i++) {
        scan(name);
      }
    }
  }

  private void scan(String name) throws IOException {
    InetSocketAddress at = members.get(name).address();
    try {
      int status =
          http.send(
                  HttpRequest.newBuilder(
                          URI.create("http://127.0.0.1:" + at.getPort() + "/checkout"))
                      .timeout(SCAN)
                      .header("X-Correlation-Id", Long.toHexString(++sent + (1L << 40)))
                      .header("X-Time-Left", "2000m")
                      .POST(
                          BodyPublishers.ofString(
                              "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"c41e77d0\"}"))
                      .build(),
                  BodyHandlers.discarding())
              .statusCode();
      scans.merge(name, 1, Integer::sum);
      if (status != 429 && status != 503) {
        throw new IOException("a scan at " + name + " was answered with " + status);
      }
    } catch (IOException fault) {
      throw new IOException("a scan at " + name + " failed: " + fault, fault);
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      throw new IOException("interrupted");
    }
  }

  int sent() {
    return sent;
  }

  /** Scans that may be in no report, as their gatherer ended before it told of them. */
  int untold() {
    return untold;
  }

  /** A copy of all files of a folder, in place of what is there. */
  static void copy(Path from, Path to) throws IOException {
    clear(to);
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

  static void clear(Path folder) throws IOException {
    if (Files.exists(folder)) {
      try (Stream<Path> files = Files.walk(folder)) {
        for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
          Files.delete(file);
        }
      }
    }
  }

  /** Heals all links, wakes who is stopped and starts who has ended. */
  void mend() throws IOException {
    for (String from : processes.keySet()) {
      for (String to : stewardNames()) {
        link(from, to, FaultyLink.Fault.HEAL, 0, 0, 0);
      }
    }
    for (String name : new ArrayList<>(processes.keySet())) {
      wake(name);
      if (!alive(name)) {
        history.event(name, "started");
        start(name, rate(name));
      }
    }
  }

  @Override
  public void close() {
    members.values().forEach(RouterProcess::close);
    stewards.close();
    relays.close();
    for (BufferedWriter log : logs) {
      try {
        log.close();
      } catch (IOException fault) {
        LOG.warn("a log of the run could not be closed: " + fault.getMessage());
      }
    }
  }
}
