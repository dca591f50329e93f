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
 * A steward's file (deploy/steward.toml).
 *
 * @param name its name, one of the peers'
 * @param folder where it keeps log and snapshots
 * @param peers all stewards, itself among them
 * @param listen where it listens itself, which is as its peer's line says unless something stands
 *     between
 * @param log how it logs
 * @param terms what leases are granted by
 * @param duties the names of all duties
 * @param electionUs how long a follower waits for its leader, in microseconds
 * @param snapshotEvery commands between two snapshots
 */
public record CoordinatorConfig(
    String name,
    Path folder,
    List<Peer> peers,
    Peer listen,
    Log.Style log,
    LeaseConfig terms,
    List<String> duties,
    long electionUs,
    long snapshotEvery) {
  private static final Pattern NAME = Pattern.compile("[a-z0-9][a-z0-9/._-]{0,62}");

  /** A steward: where its peers reach it, and where members and operators do. */
  public record Peer(String name, InetSocketAddress raft, InetSocketAddress http) {}

  public static CoordinatorConfig read(Path file) throws MalformedInputException {
    return read(Toml.read(file));
  }

  public static CoordinatorConfig read(Toml file) throws MalformedInputException {
    Toml.Table root = file.root();
    Toml.Table lease = root.table("lease");
    Toml.Table limits = root.table("limits");
    String name = root.needText("name");
    String folder = root.needText("folder");
    List<Peer> peers = new ArrayList<>();
    for (Toml.Table peer : root.tables("peers")) {
      peers.add(new Peer(peer.needText("name"), address(peer, "raft"), address(peer, "http")));
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
    } else if (!names.contains(name)) {
      file.fault(
          "name", "found " + name + ", wanted one of the peers: " + String.join(", ", names));
    }
    List<String> duties = root.table("duties").texts("names");
    for (String duty : duties) {
      if (!NAME.matcher(duty).matches()) {
        file.fault(
            "duties.names", "found " + duty + ", wanted small letters, digits, and / . _ - within");
      }
    }
    LeaseConfig terms =
        new LeaseConfig(
            lease.whole("ms", 3000, 100, 600_000) * 1000,
            lease.number("drift", 0.05, 0, 0.2),
            (int) limits.whole("members", 1000, 1, 10_000),
            (int) limits.whole("text", 1024, 16, 4096));
    Toml.Table listen = root.table("listen");
    Peer self = peers.stream().filter(peer -> peer.name().equals(name)).findFirst().orElse(null);
    Peer own =
        new Peer(
            name,
            listen.has("raft") ? address(listen, "raft") : self == null ? null : self.raft(),
            listen.has("http") ? address(listen, "http") : self == null ? null : self.http());
    CoordinatorConfig read =
        new CoordinatorConfig(
            name,
            Path.of(folder),
            peers,
            own,
            OperatorConfig.style(root.table("log")),
            terms,
            duties,
            root.table("election").whole("ms", 500, 50, 60_000) * 1000,
            root.table("snapshot").whole("every", 10_000, 10, 10_000_000));
    file.check();
    return read;
  }

  private static InetSocketAddress address(Toml.Table table, String key) {
    String text = table.needText(key);
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port > 0 && port < 1 << 16) {
        return new InetSocketAddress(text.substring(0, colon), port);
      }
    } catch (NumberFormatException fault) {
      // Named below, as any other text that is no address.
    }
    table.fault(key, "found " + text + ", wanted an address such as 127.0.0.1:7100");
    return null;
  }
}
