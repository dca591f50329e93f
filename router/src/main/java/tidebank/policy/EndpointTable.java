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
 * The shard servers as last listed by discovery, and which of them are replicas of which shard.
 * Servers that left are forgotten once nothing is in flight there.
 */
final class EndpointTable {
  private final Settings settings;
  private final long shortestObjectiveUs;
  private final Map<String, ShardServer> servers = new HashMap<>();
  private final Map<Integer, TreeMap<String, ShardServer>> byPosition = new HashMap<>();
  private final Map<Integer, List<ShardServer>> replicasByShard = new HashMap<>();
  private final Set<ShardServer> leaving = new LinkedHashSet<>();
  private int inService;

  EndpointTable(Settings settings, long shortestObjectiveUs) {
    this.settings = settings;
    this.shortestObjectiveUs = shortestObjectiveUs;
  }

  /** Returns how many servers are listed as in service. */
  int size() {
    return inService;
  }

  /** Returns the server of this id, or null. */
  ShardServer get(String id) {
    return servers.get(id);
  }

  /** Applies a list, or what changed in it. */
  void apply(Event.EndpointListReceived list) {
    if (list.update() != ListUpdate.DELTA) {
      new TreeMap<>(servers).values().forEach(server -> place(server, server.position(), false));
    }
    for (Endpoint endpoint : list.endpoints()) {
      ShardServer server = servers.computeIfAbsent(endpoint.server(), this::create);
      server.setCapacity(endpoint.capacity());
      place(server, endpoint.position(), endpoint.status() == EndpointStatus.IN_SERVICE);
    }
    leaving.removeIf(
        server ->
            server.isInService()
                || (server.inFlight().isEmpty() && servers.remove(server.id()) != null));
  }

  private ShardServer create(String id) {
    return new ShardServer(id, settings, shortestObjectiveUs);
  }

  private void place(ShardServer server, int position, boolean serves) {
    if (server.isInService() && (!serves || server.position() != position)) {
      byPosition.get(server.position()).remove(server.id());
      inService--;
      replicasByShard.clear();
      server.setInService(false);
    }
    server.setPosition(position);
    if (serves && !server.isInService()) {
      byPosition.computeIfAbsent(position, absent -> new TreeMap<>()).put(server.id(), server);
      inService++;
      replicasByShard.clear();
      server.setInService(true);
    } else if (!serves) {
      leaving.add(server);
    }
  }

  /** Returns the servers in service that hold a shard. */
  List<ShardServer> replicas(int shard) {
    return replicasByShard.computeIfAbsent(shard, this::findReplicas);
  }

  private List<ShardServer> findReplicas(int shard) {
    Settings.Layout layout = settings.layout();
    List<ShardServer> replicas = new ArrayList<>();
    for (int j = 0; j < layout.replicationSpan() && j < layout.positions(); j++) {
      TreeMap<String, ShardServer> there = byPosition.get((shard + j) % layout.positions());
      if (there != null) {
        replicas.addAll(there.values());
      }
    }
    return replicas;
  }
}
