package tidebank.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tidebank.model.Event;
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Settings;

/**
 * The shard servers as the list last told of them. Servers that left are forgotten once nothing is
 * out there.
 */
public final class EndpointTable {
  private final Settings.Layout layout;
  private final Map<String, ShardServer> servers = new HashMap<>();
  private final Map<Integer, TreeMap<String, ShardServer>> byPosition = new HashMap<>();
  private final Map<Integer, List<ShardServer>> byShard = new HashMap<>();
  private final Set<ShardServer> leaving = new LinkedHashSet<>();
  private int inService;

  public EndpointTable(Settings.Layout layout) {
    this.layout = layout;
  }

  /** How many servers are listed as in service. */
  public int size() {
    return inService;
  }

  /** The server of this id, or null. */
  public ShardServer get(String id) {
    return servers.get(id);
  }

  /** Takes a list, or what changed in it. */
  public void apply(Event.EndpointListReceived list) {
    if (list.update() != ListUpdate.DELTA) {
      new TreeMap<>(servers).values().forEach(srv -> place(srv, srv.position, false));
    }
    for (Endpoint line : list.endpoints()) {
      ShardServer srv = servers.computeIfAbsent(line.server(), ShardServer::new);
      srv.capacity = line.capacity();
      place(srv, line.position(), line.status() == EndpointStatus.IN_SERVICE);
    }
    leaving.removeIf(
        srv -> srv.inService || srv.inFlight.isEmpty() && servers.remove(srv.id) != null);
  }

  private void place(ShardServer srv, int position, boolean serves) {
    if (srv.inService && (!serves || srv.position != position)) {
      byPosition.get(srv.position).remove(srv.id);
      inService--;
      byShard.clear();
      srv.inService = false;
    }
    srv.position = position;
    if (serves && !srv.inService) {
      byPosition.computeIfAbsent(position, absent -> new TreeMap<>()).put(srv.id, srv);
      inService++;
      byShard.clear();
      srv.inService = true;
    } else if (!serves) {
      leaving.add(srv);
    }
  }

  /** The servers in service that hold a shard. */
  public List<ShardServer> replicas(int shard) {
    return byShard.computeIfAbsent(shard, this::find);
  }

  private List<ShardServer> find(int shard) {
    List<ShardServer> holders = new ArrayList<>();
    for (int j = 0; j < layout.replicationSpan() && j < layout.positions(); j++) {
      TreeMap<String, ShardServer> there = byPosition.get((shard + j) % layout.positions());
      if (there != null) {
        holders.addAll(there.values());
      }
    }
    return holders;
  }
}
