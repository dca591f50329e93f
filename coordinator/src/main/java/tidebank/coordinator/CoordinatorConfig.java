package tidebank.coordinator;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;
import tidebank.config.MalformedInputException;
import tidebank.config.OperatorConfig;
import tidebank.config.Toml;
import tidebank.lease.LeaseConfig;
import tidebank.logging.Log;

/**
 * A coordinator's configuration, as read from its file (deploy/steward.toml).
 *
 * @param name its name, one of the peers'
 * @param dataDirectory where it keeps log and snapshots
 * @param peers all coordinators, itself among them
 * @param listen where it listens itself, which is as its peer's entry says unless a proxy stands
 *     between
 * @param logging how it logs
 * @param leaseConfig what leases are granted by
 * @param tasks the names of all singleton tasks
 * @param electionTimeoutUs how long a follower waits for its leader, in microseconds
 * @param commandsPerSnapshot commands between two snapshots
 */
public record CoordinatorConfig(
    String name,
    Path dataDirectory,
    List<Peer> peers,
    Peer listen,
    Log.Settings logging,
    LeaseConfig leaseConfig,
    List<String> tasks,
    long electionTimeoutUs,
    long commandsPerSnapshot) {
  private static final Pattern TASK_NAME = Pattern.compile("[a-z0-9][a-z0-9/._-]{0,62}");

  /**
   * A coordinator's addresses.
   *
   * @param name its name
   * @param raft where its peers reach it
   * @param http where members and operators reach it
   */
  public record Peer(String name, InetSocketAddress raft, InetSocketAddress http) {
    /** Returns the HTTP address as host:port. */
    String httpAddress() {
      return http.getHostString() + ':' + http.getPort();
    }

    /** Returns name and HTTP address, for people. */
    String describe() {
      return name + " at " + httpAddress();
    }
  }

  /**
   * Reads a file.
   *
   * @throws MalformedInputException with all that is wrong in it
   */
  public static CoordinatorConfig read(Path file) throws MalformedInputException {
    return read(Toml.read(file));
  }

  /**
   * Reads a parsed file.
   *
   * @throws MalformedInputException with all that is wrong in it
   */
  public static CoordinatorConfig read(Toml file) throws MalformedInputException {
    Toml.Table root = file.root();
    Toml.Table lease = root.table("lease");
    Toml.Table limits = root.table("limits");
    String name = root.requiredText("name");
    String dataDirectory = root.requiredText("folder");
    List<Peer> peers = readPeers(file, name);
    List<String> tasks = readTasks(file);
    LeaseConfig leaseConfig =
        new LeaseConfig(
            lease.integer("ms", 3000, 100, 600_000) * 1000,
            lease.number("drift", 0.05, 0, 0.2),
            (int) limits.integer("members", 1000, 1, 10_000),
            (int) limits.integer("text", 1024, 16, 4096));
    CoordinatorConfig config =
        new CoordinatorConfig(
            name,
            Path.of(dataDirectory),
            peers,
            readListen(root, name, peers),
            OperatorConfig.logging(root.table("log")),
            leaseConfig,
            tasks,
            root.table("election").integer("ms", 500, 50, 60_000) * 1000,
            root.table("snapshot").integer("every", 10_000, 10, 10_000_000));
    file.check();
    return config;
  }

  private static List<Peer> readPeers(Toml file, String ownName) {
    List<Peer> peers = new ArrayList<>();
    for (Toml.Table peer : file.root().tables("peers")) {
      peers.add(
          new Peer(
              peer.requiredText("name"), readAddress(peer, "raft"), readAddress(peer, "http")));
    }
    Set<String> names = new HashSet<>();
    peers.forEach(peer -> names.add(peer.name()));
    if (peers.isEmpty() || names.size() < peers.size() || peers.size() % 2 == 0) {
      file.fault(
          "peers",
          "found "
              + peers.size()
              + " of "
              + names.size()
              + " names, wanted an odd number, each name once");
    } else if (!names.contains(ownName)) {
      file.fault(
          "name", "found " + ownName + ", wanted one of the peers: " + String.join(", ", names));
    }
    return peers;
  }

  private static List<String> readTasks(Toml file) {
    List<String> tasks = file.root().table("duties").texts("names");
    for (String task : tasks) {
      if (!TASK_NAME.matcher(task).matches()) {
        file.fault(
            "duties.names", "found " + task + ", wanted small letters, digits, and / . _ - within");
      }
    }
    return tasks;
  }

  private static Peer readListen(Toml.Table root, String name, List<Peer> peers) {
    Toml.Table listen = root.table("listen");
    Peer self = peers.stream().filter(peer -> peer.name().equals(name)).findFirst().orElse(null);
    return new Peer(
        name,
        listen.has("raft") ? readAddress(listen, "raft") : self == null ? null : self.raft(),
        listen.has("http") ? readAddress(listen, "http") : self == null ? null : self.http());
  }

  private static InetSocketAddress readAddress(Toml.Table table, String key) {
    String text = table.requiredText(key);
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port > 0 && port < 1 << 16) {
        return new InetSocketAddress(text.substring(0, colon), port);
      }
    } catch (NumberFormatException notANumber) {
      // Reported below, as any other text that is no address.
    }
    table.fault(key, "found " + text + ", wanted an address such as 127.0.0.1:7100");
    return null;
  }
}
