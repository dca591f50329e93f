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
 * A coordinator's configuration, read from its file (deploy/steward.toml).
 *
 * @param name this coordinator's name, one of the peers' names
 * @param dataDirectory directory of the replicated log and the snapshots
 * @param peers all coordinators, this one included
 * @param listen the addresses to bind; those of this coordinator's peer entry, unless it is behind
 *     a proxy
 * @param logging log level, format and rate limit
 * @param leaseConfig lease duration, bound on clock drift, and limits of the lease table
 * @param tasks names of all singleton tasks
 * @param electionTimeoutUs shortest election timeout, in microseconds; the longest is twice that
 * @param commandsPerSnapshot number of commands between two snapshots
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
   * A coordinator's name and advertised addresses.
   *
   * @param name the coordinator's name
   * @param raft address for the other coordinators
   * @param http address for members and operators
   */
  public record Peer(String name, InetSocketAddress raft, InetSocketAddress http) {
    /** Returns the HTTP address as host:port. */
    String httpAddress() {
      return http.getHostString() + ':' + http.getPort();
    }

    /** Returns the name and the HTTP address, for messages. */
    String describe() {
      return name + " at " + httpAddress();
    }
  }

  /**
   * Reads a configuration file.
   *
   * @throws MalformedInputException listing all faults found in the file
   */
  public static CoordinatorConfig read(Path file) throws MalformedInputException {
    return read(Toml.read(file));
  }

  /**
   * Reads a configuration from a parsed file.
   *
   * @throws MalformedInputException listing all faults found in the file
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
            OperatorConfig.readLogSettings(root.table("log")),
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
      file.addFault(
          "peers",
          "found "
              + peers.size()
              + " peers with "
              + names.size()
              + " distinct names, wanted an odd number of peers with distinct names");
    } else if (!names.contains(ownName)) {
      file.addFault(
          "name", "found " + ownName + ", wanted one of the peers: " + String.join(", ", names));
    }
    return peers;
  }

  private static List<String> readTasks(Toml file) {
    List<String> tasks = file.root().table("duties").texts("names");
    for (String task : tasks) {
      if (!TASK_NAME.matcher(task).matches()) {
        file.addFault(
            "duties.names",
            "found "
                + task
                + ", wanted up to 63 of a-z, 0-9 and / . _ -, starting with a letter or digit");
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
    } catch (NumberFormatException exception) {
      // Reported below, like any other malformed address.
    }
    table.addFault(key, "found " + text + ", wanted an address such as 127.0.0.1:7100");
    return null;
  }
}
