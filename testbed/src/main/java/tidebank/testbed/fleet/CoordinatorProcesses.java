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
 * Stewards in processes of their own, as operators start them, on loopback ports of the system's
 * choice.
 */
public final class CoordinatorProcesses implements AutoCloseable {
  private static final List<String> FLAGS =
      List.of(
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-Xmx64m",
          "-XX:MaxDirectMemorySize=64m",
          "-XX:-UsePerfData");

  /** What stands before a steward's own address, so that all who call it come through there. */
  public interface Doors {
    /** The address that others are told. */
    String before(int steward, boolean raft, String address) throws IOException;
  }

  private final Path folder;
  private final String settings;
  private final List<String> raft = new ArrayList<>();
  private final List<String> http = new ArrayList<>();
  private final List<String> toldRaft = new ArrayList<>();
  private final List<String> toldHttp = new ArrayList<>();
  private final List<ChildProcess> processes = new ArrayList<>();

  /**
   * Starts them.
   *
   * @param folder for their files, logs and snapshots
   * @param count one, three or five
   * @param settings further tables of their file
   */
  public CoordinatorProcesses(Path folder, int count, String settings) throws IOException {
    this(folder, count, settings, (steward, isRaft, address) -> address);
    for (int i = 0; i < count; i++) {
      start(i);
    }
  }

  /** Only gets their addresses; each is started by {@link #start}. */
  public CoordinatorProcesses(Path folder, int count, String settings, Doors doors)
      throws IOException {
    this.folder = folder;
    this.settings = settings;
    // An address of our own in the loopback range: a call that goes out meanwhile can't be given
    // one of these ports.
    long pid = ProcessHandle.current().pid();
    String host =
        "127." + (64 + (pid >> 16 & 63)) + "." + (pid >> 8 & 255) + "." + Math.max(1, pid & 254);
    for (String port : ports(host, 2 * count)) {
      (raft.size() < count ? raft : http).add(host + ":" + port);
    }
    for (int i = 0; i < count; i++) {
      processes.add(null);
      toldRaft.add(doors.before(i, true, raft.get(i)));
      toldHttp.add(doors.before(i, false, http.get(i)));
    }
  }

  /**
   * Ports that were free a moment ago: each steward's file names them all, so that they can't be
   * chosen at its start.
   */
  private static List<String> ports(String host, int count) throws IOException {
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

  /** Starts one, or starts it again with what is on its disk. */
  public void start(int steward) throws IOException {
    start(steward, List.of(), line -> {});
  }

  /**
   * The same in another way.
   *
   * @param launcher a main class and its flags before the steward's own, or none
   * @param told hears each line of its output
   */
  public void start(int steward, List<String> launcher, Consumer<String> told) throws IOException {
    start(steward, launcher, told, Long.MAX_VALUE);
  }

  /** The same with files that can't grow beyond so many bytes. */
  public void start(int steward, List<String> launcher, Consumer<String> told, long fileBytes)
      throws IOException {
    StringBuilder file =
        new StringBuilder("name = \"s" + steward + "\"\nfolder = \"" + disk(steward) + "\"\n");
    for (int i = 0; i < raft.size(); i++) {
      file.append("[[peers]]\nname = \"s")
          .append(i)
          .append("\"\nraft = \"")
          .append(toldRaft.get(i))
          .append("\"\nhttp = \"")
          .append(toldHttp.get(i))
          .append("\"\n");
    }
    file.append("[listen]\nraft = \"")
        .append(raft.get(steward))
        .append("\"\nhttp = \"")
        .append(http.get(steward))
        .append("\"\n");
    Path config = Files.writeString(folder.resolve("s" + steward + ".toml"), file + settings);
    List<String> arguments = new ArrayList<>(FLAGS);
    arguments.addAll(List.of("-cp", System.getProperty("java.class.path")));
    arguments.addAll(launcher);
    arguments.addAll(
        List.of("tidebank.coordinator.CoordinatorMain", "--config", config.toString()));
    processes.set(
        steward, ChildProcess.java("s" + steward, arguments, Map.of(), told, () -> {}, fileBytes));
  }

  public Path disk(int steward) {
    return folder.resolve("disk-s" + steward);
  }

  public ChildProcess process(int steward) {
    return processes.get(steward);
  }

  /** Where each listens itself, whatever stands before it. */
  public List<String> addresses() {
    return List.copyOf(http);
  }

  /** Where members reach them. */
  public List<String> told() {
    return List.copyOf(toldHttp);
  }

  public int count() {
    return processes.size();
  }

  @Override
  public void close() {
    processes.stream().filter(Objects::nonNull).forEach(ChildProcess::close);
  }
}
