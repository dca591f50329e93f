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
 * Coordinators in separate processes, started with the command line that operators use, on free
 * loopback ports.
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

  /** Maps each coordinator's own addresses to those of a proxy in front of it. */
  public interface AddressMapping {
    /** Returns the address to advertise instead of the coordinator's own address. */
    String advertisedAddress(int coordinator, boolean isRaft, String ownAddress) throws IOException;
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
   * @param folder directory for their configuration files, logs and snapshots
   * @param count number of coordinators: one, three or five
   * @param settings further TOML tables of their configuration files
   */
  public CoordinatorProcesses(Path folder, int count, String settings) throws IOException {
    this(folder, count, settings, (coordinator, isRaft, address) -> address);
    for (int i = 0; i < count; i++) {
      start(i);
    }
  }

  /**
   * Chooses addresses without starting any coordinator; {@link #start} starts each of them.
   *
   * @param folder directory for their configuration files, logs and snapshots
   * @param count number of coordinators: one, three or five
   * @param settings further TOML tables of their configuration files
   * @param mapping returns the addresses that each coordinator advertises
   */
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
      advertisedRaft.add(mapping.advertisedAddress(i, true, raftAddresses.get(i)));
      advertisedHttp.add(mapping.advertisedAddress(i, false, httpAddresses.get(i)));
    }
  }

  /**
   * Returns a loopback address derived from this process's id. Outgoing connections do not use it,
   * so none can take a port on it between {@link #freePorts} and the start of a coordinator.
   */
  private static String ownLoopbackHost() {
    long pid = ProcessHandle.current().pid();
    return "127." + (64 + (pid >> 16 & 63)) + "." + (pid >> 8 & 255) + "." + Math.max(1, pid & 254);
  }

  /**
   * Returns ports that were free when checked. Coordinators cannot choose their ports themselves,
   * since each one's configuration file lists the ports of all.
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

  /** Starts or restarts a coordinator, with the current content of its data directory. */
  public void start(int coordinator) throws IOException {
    start(coordinator, List.of(), line -> {});
  }

  /**
   * Starts a coordinator through a launcher.
   *
   * @param launcher main class and flags to insert before the coordinator's main class, or empty
   * @param output receives each line of the process's output
   */
  public void start(int coordinator, List<String> launcher, Consumer<String> output)
      throws IOException {
    start(coordinator, launcher, output, Long.MAX_VALUE);
  }

  /**
   * Starts a coordinator with a limit on the size of the files it writes.
   *
   * @param launcher main class and flags to insert before the coordinator's main class, or empty
   * @param output receives each line of the process's output
   * @param maxFileBytes the size limit in bytes, a multiple of 512; Long.MAX_VALUE for none
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
        coordinator,
        ChildProcess.startJava(name, arguments, Map.of(), output, () -> {}, maxFileBytes));
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

  /** Returns the directory of a coordinator's replicated log and snapshots. */
  public Path dataDirectory(int coordinator) {
    return folder.resolve("disk-s" + coordinator);
  }

  /** Returns the most recently started process of a coordinator. */
  public ChildProcess process(int coordinator) {
    return processes.get(coordinator);
  }

  /** Returns the HTTP addresses that the coordinators bind, regardless of proxies. */
  public List<String> addresses() {
    return List.copyOf(httpAddresses);
  }

  /** Returns the HTTP addresses advertised to members and operators. */
  public List<String> advertisedAddresses() {
    return List.copyOf(advertisedHttp);
  }

  /** Returns the number of coordinators. */
  public int count() {
    return processes.size();
  }

  @Override
  public void close() {
    processes.stream().filter(Objects::nonNull).forEach(ChildProcess::close);
  }
}
