package tidebank.testbed.fleet;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import tidebank.testbed.process.ChildProcess;

/**
 * Coordinators in processes of their own, as operators start them, on loopback ports of the
 * system's choice.
 */
public final class CoordinatorProcesses implements AutoCloseable {
  private static final List<String> JVM_FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xmx64m",
          "-XX:MaxDirectMemorySize=64m",
          "-XX:-UsePerfData");
  private static final String MAIN_CLASS = "tidebank.coordinator.CoordinatorMain";

  /** Puts a proxy before each coordinator's own addresses. */
  public interface AddressMapping {
    /** Returns the address that others are given in place of a coordinator's own. */
    String advertised(int coordinator, boolean isRaft, String ownAddress) throws IOException;
  }

  private final Path folder;
  private final String settings;
  private final List<String> raftAddresses = new ArrayList<>();
  private final List<String> httpAddresses = new ArrayList<>();
  private final List<String> advertisedRaft = new ArrayList<>();
  private final List<String> advertisedHttp = new ArrayList<>();
  private final List<ChildProcess> processes = new ArrayList<>();

  /**
   * Starts coordinators.
   *
   * @param folder for their files, logs and snapshots
   * @param count one, three or five
   * @param settings further tables of their file
   */
  public CoordinatorProcesses(Path folder, int count, String settings) throws IOException {
    this(folder, count, settings, (coordinator, isRaft, address) -> address);
    for (int i = 0; i < count; i++) {
      start(i);
    }
  }

  /** Only chooses their addresses; each is started by {@link #start}. */
  public CoordinatorProcesses(Path folder, int count, String settings, AddressMapping mapping)
      throws IOException {
    this.folder = folder;
    this.settings = settings;
    String host = ownLoopbackHost();
    for (String port : freePorts(host, 2 * count)) {
      (raftAddresses.size() < count ? raftAddresses : httpAddresses).add(host + ":" + port);
    }
    for (int i = 0; i < count; i++) {
      processes.add(null);
      advertisedRaft.add(mapping.advertised(i, true, raftAddresses.get(i)));
      advertisedHttp.add(mapping.advertised(i, false, httpAddresses.get(i)));
    }
  }

  /**
   * Returns an address of this process's own in the loopback range: an outgoing connection cannot
   * be given one of its ports meanwhile.
   */
  private static String ownLoopbackHost() {
    long pid = ProcessHandle.current().pid();
    return "127." + (64 + (pid >> 16 & 63)) + "." + (pid >> 8 & 255) + "." + Math.max(1, pid & 254);
  }

  /**
   * Returns ports that were free a moment ago: each coordinator's file names them all, so that they
   * cannot be chosen at its start.
   */
  private static List<String> freePorts(String host, int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    List<String> ports = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getByName(host)));
        ports.add(String.valueOf(sockets.get(i).getLocalPort()));
      }
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
    return ports;
  }

  /** Starts one coordinator, or starts it again with what is in its data directory. */
  public void start(int coordinator) throws IOException {
    start(coordinator, List.of(), line -> {});
  }

  /**
   * Starts one coordinator.
   *
   * @param launcher a main class and its flags before the coordinator's own, or none
   * @param output receives each line of its output
   */
  public void start(int coordinator, List<String> launcher, Consumer<String> output)
      throws IOException {
    start(coordinator, launcher, output, Long.MAX_VALUE);
  }

  /**
   * Starts one coordinator whose files cannot grow beyond a size.
   *
   * @param launcher a main class and its flags before the coordinator's own, or none
   * @param output receives each line of its output
   * @param maxFileBytes the greatest size of a file that it writes
   */
  public void start(
      int coordinator, List<String> launcher, Consumer<String> output, long maxFileBytes)
      throws IOException {
    String name = "s" + coordinator;
    Path config = Files.writeString(folder.resolve(name + ".toml"), configFile(coordinator));
    List<String> arguments = new ArrayList<>(JVM_FLAGS);
    arguments.addAll(List.of("-cp", System.getProperty("java.class.path")));
    arguments.addAll(launcher);
    arguments.addAll(List.of(MAIN_CLASS, "--config", config.toString()));
    processes.set(
        coordinator, ChildProcess.java(name, arguments, Map.of(), output, () -> {}, maxFileBytes));
  }

  private String configFile(int coordinator) {
    StringBuilder file =
        new StringBuilder("name = \"s" + coordinator + "\"\n")
            .append("folder = \"" + dataDirectory(coordinator) + "\"\n");
    for (int i = 0; i < raftAddresses.size(); i++) {
      file.append("[[peers]]\nname = \"s" + i + "\"\n")
          .append("raft = \"" + advertisedRaft.get(i) + "\"\n")
          .append("http = \"" + advertisedHttp.get(i) + "\"\n");
    }
    file.append("[listen]\nraft = \"" + raftAddresses.get(coordinator) + "\"\n")
        .append("http = \"" + httpAddresses.get(coordinator) + "\"\n");
    return file + settings;
  }

  /** Returns where one keeps its log and snapshots. */
  public Path dataDirectory(int coordinator) {
    return folder.resolve("disk-s" + coordinator);
  }

  /** Returns the process that was started last. */
  public ChildProcess process(int coordinator) {
    return processes.get(coordinator);
  }

  /** Returns where each listens for HTTP itself, whatever proxy stands before it. */
  public List<String> addresses() {
    return List.copyOf(httpAddresses);
  }

  /** Returns where members and operators reach each. */
  public List<String> advertisedAddresses() {
    return List.copyOf(advertisedHttp);
  }

  /** Returns how many coordinators there are. */
  public int count() {
    return processes.size();
  }

  @Override
  public void close() {
    processes.stream().filter(Objects::nonNull).forEach(ChildProcess::close);
  }
}
