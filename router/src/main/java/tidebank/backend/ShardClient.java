package tidebank.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.LengthFieldPrepender;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tidebank.config.RouterConfig;
import tidebank.metrics.Counters;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Outcome;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.BackendPort;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.TimerQueue;

/** Carries out dispatches on connections to shard servers and tells their ends. */
public final class ShardClient implements BackendPort {
  final PolicyExecutor driver;
  final Clock clock;
  final TimerQueue timers;
  final Counters counters;
  final RouterConfig.Transport transport;
  final boolean mayGiveUp;
  final long slowestUs;

  /** Connections that are open or coming up. */
  int opened;

  private final RouterConfig config;
  private final Bootstrap template;
  private final Map<String, ConnectionPool> servers = new HashMap<>();
  private final List<RequestBatch> pending = new ArrayList<>();

  public ShardClient(
      RouterConfig config,
      Bootstrap template,
      PolicyExecutor driver,
      Clock clock,
      TimerQueue timers,
      Counters counters) {
    this.config = config;
    this.transport = config.transport();
    this.mayGiveUp = config.settings().limits().cancellation();
    this.slowestUs = config.settings().longestTimeoutUs();
    this.template = template;
    this.driver = driver;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
  }

  Bootstrap bootstrap(ShardConnection connection) {
    return template
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        connection.reader,
                        new LengthFieldPrepender(FrameDecoder.LENGTH_BYTES),
                        connection);
              }
            });
  }

  int bundleMost() {
    return config.settings().layout().maxBatchSize();
  }

  void pending(RequestBatch call) {
    pending.add(call);
  }

  boolean mayOpen(ConnectionPool server) {
    return opened < config.budgets().servers()
        && server.connections.size() < config.budgets().serverMost();
  }

  @Override
  public void updateEndpoints(List<Member> members, boolean full) {
    long now = clock.now();
    Set<String> named = new HashSet<>();
    for (Member member : members) {
      String id = member.endpoint().server();
      named.add(id);
      ConnectionPool server = servers.computeIfAbsent(id, absent -> new ConnectionPool(id, this));
      if (member.endpoint().status() == EndpointStatus.IN_SERVICE) {
        server.openAgain();
        server.gone = false;
        if (!member.address().equals(server.address)) {
          server.address = member.address();
          retireConnections(id);
        }
      } else {
        leaves(server, now, member.endpoint().status() == EndpointStatus.GONE);
      }
    }
    if (full) {
      for (ConnectionPool server : List.copyOf(servers.values())) {
        if (!named.contains(server.id)) {
          leaves(server, now, true);
        }
      }
    }
  }

  private void leaves(ConnectionPool server, long now, boolean gone) {
    server.closeFrom(Math.min(server.closedFrom, now + config.settings().rules().drainGraceUs()));
    // The grace counts from when discovery wrote this, and we may have stood still since: what
    // waits need not wait for it.
    List.copyOf(server.connections).forEach(ShardConnection::dropWaiting);
    server.gone = gone;
    forgetIfGone(server);
  }

  void forgetIfGone(ConnectionPool server) {
    if ((server.gone || server.address == null) && server.connections.isEmpty()) {
      servers.remove(server.id, server);
    }
  }

  @Override
  public AttemptRequest.Handle send(AttemptRequest request) {
    return servers
        .computeIfAbsent(request.server, absent -> new ConnectionPool(request.server, this))
        .gather(request);
  }

  @Override
  public void flush() {
    for (RequestBatch call : pending) {
      call.server.gathered();
    }
    List<RequestBatch> placed = List.copyOf(pending);
    pending.clear();
    placed.forEach(call -> call.server.place(call));
  }

  @Override
  public void retireConnections(String id) {
    ConnectionPool server = servers.get(id);
    if (server != null) {
      for (ShardConnection connection : List.copyOf(server.connections)) {
        connection.retire();
      }
    }
  }

  @Override
  public void checkHealth(String id) {
    ConnectionPool server = servers.get(id);
    if (server == null) {
      driver.healthCheckCompleted(id, Outcome.UNREACHABLE, 0, Map.of());
    } else {
      server.probe(transport.probeForLoad() ? FrameCodec.PROBE_LOAD : FrameCodec.PROBE);
    }
  }

  /**
   * Closes all connections. A server that is gone leaves the map with its last one, hence the copy.
   */
  public void close() {
    List.copyOf(servers.values())
        .forEach(server -> List.copyOf(server.connections).forEach(ShardConnection::close));
  }
}
