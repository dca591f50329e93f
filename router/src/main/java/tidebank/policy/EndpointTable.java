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
 * The shard servers as last listed by discovery, and the replicas of each shard. Servers that are
 * no longer in service are removed once no attempt is in flight at them.
 */
final class EndpointTable {
  private final Settings settings;
  private final long shortestObjectiveUs;
  private final Map<String, ShardServer> servers = new HashMap<>();
  private final Map<Integer, TreeMap<String, ShardServer>> byPosition = new HashMap<>();
  private final Map<Integer, List<ShardServer>> replicasByShard = new HashMap<>();
  private final Set<ShardServer> outOfService = new LinkedHashSet<>();
  private int inService;

  EndpointTable(Settings settings, long shortestObjectiveUs) {
    this.settings = settings;
    this.shortestObjectiveUs = shortestObjectiveUs;
  }

  /** Returns the number of servers in service. */
  int inServiceCount() {
    return inService;
  }

  /** Returns the server with this id, or null if it is unknown. */
  ShardServer get(String id) {
    return servers.get(id);
  }

  /** Applies a delta or a full list; a full list replaces all endpoints. */
  void apply(Event.EndpointListReceived list) {
    if (list.update() != ListUpdate.DELTA) {
      new TreeMap<>(servers).values().forEach(server -> update(server, server.position(), false));
    }
    for (Endpoint endpoint : list.endpoints()) {
      ShardServer server = servers.computeIfAbsent(endpoint.server(), this::create);
      server.setCapacity(endpoint.capacity());
      update(server, endpoint.position(), endpoint.status() == EndpointStatus.IN_SERVICE);
    }
    outOfService.removeIf(
        server ->
            server.isInService()
                || (server.inFlight().isEmpty() && servers.remove(server.id()) != null));
  }

  private ShardServer create(String id) {
    return new ShardServer(id, settings, shortestObjectiveUs);
  }

  private void update(ShardServer server, int position, boolean nowInService) {
    if (server.isInService() && (!nowInService || server.position() != position)) {
      byPosition.get(server.position()).remove(server.id());
      inService--;
      replicasByShard.clear();
      server.setInService(false);
    }
    server.setPosition(position);
    if (nowInService && !server.isInService()) {
      byPosition.computeIfAbsent(position, absent -> new TreeMap<>()).put(server.id(), server);
      inService++;
      replicasByShard.clear();
      server.setInService(true);
    } else if (!nowInService) {
      outOfService.add(server);
    }
  }

  /** Returns the servers in service that hold a shard, ordered by position and id. */
  List<ShardServer> replicas(int shard) {
    return replicasByShard.computeIfAbsent(shard, this::findReplicas);
  }

  private List<ShardServer> findReplicas(int shard) {
    Settings.Layout layout = settings.layout();
    List<ShardServer> replicas = new ArrayList<>();
    for (int i = 0; i < layout.replicationSpan() && i < layout.positions(); i++) {
      TreeMap<String, ShardServer> atPosition = byPosition.get((shard + i) % layout.positions());
      if (atPosition != null) {
        replicas.addAll(atPosition.values());
      }
    }
    return replicas;
  }
}
