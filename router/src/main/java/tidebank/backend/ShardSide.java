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
import tidebank.base.Counters;
import tidebank.config.NodeConfig;
import tidebank.model.Event.ServerStatus;
import tidebank.model.Outcome;
import tidebank.runtime.Clock;
import tidebank.runtime.DispatchRequest;
import tidebank.runtime.PolicyDriver;
import tidebank.runtime.ShardPort;
import tidebank.runtime.Timers;

/** Carries out dispatches on connections to shard servers and tells their ends. */
public final class ShardSide implements ShardPort {
  final PolicyDriver driver;
  final Clock clock;
  final Timers timers;
  final Counters counters;
  final NodeConfig.Transport transport;
  final boolean mayGiveUp;
  final long slowestUs;

  /** Connections that are open or coming up. */
  int opened;

  private final NodeConfig config;
  private final Bootstrap template;
  private final Map<String, Server> servers = new HashMap<>();
  private final List<Call> pending = new ArrayList<>();

  public ShardSide(
      NodeConfig config,
      Bootstrap template,
      PolicyDriver driver,
      Clock clock,
      Timers timers,
      Counters counters) {
    this.config = config;
    this.transport = config.transport();
    this.mayGiveUp = config.settings().limits().cancel();
    this.slowestUs = config.settings().slowestUs();
    this.template = template;
    this.driver = driver;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
  }

  Bootstrap bootstrap(Connection connection) {
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
                        new LengthFieldPrepender(FrameReader.LENGTH_BYTES),
                        connection);
              }
            });
  }

  int bundleMost() {
    return config.settings().layout().bundleMax();
  }

  void pending(Call call) {
    pending.add(call);
  }

  boolean mayOpen(Server server) {
    return opened < config.budgets().servers()
        && server.connections.size() < config.budgets().serverMost();
  }

  @Override
  public void listed(List<Member> members, boolean full) {
    long now = clock.now();
    Set<String> named = new HashSet<>();
    for (Member member : members) {
      String id = member.line().server();
      named.add(id);
      Server server = servers.computeIfAbsent(id, absent -> new Server(id, this));
      if (member.line().status() == ServerStatus.IN_SERVICE) {
        server.openAgain();
        server.gone = false;
        if (!member.address().equals(server.address)) {
          server.address = member.address();
          retire(id);
        }
      } else {
        leaves(server, now, member.line().status() == ServerStatus.GONE);
      }
    }
    if (full) {
      for (Server server : List.copyOf(servers.values())) {
        if (!named.contains(server.id)) {
          leaves(server, now, true);
        }
      }
    }
  }

  private void leaves(Server server, long now, boolean gone) {
    server.closeFrom(Math.min(server.closedFrom, now + config.settings().rules().drainGraceUs()));
    // The grace counts from when discovery wrote this, and we may have stood still since: what
    // waits need not wait for it.
    List.copyOf(server.connections).forEach(Connection::dropWaiting);
    server.gone = gone;
    forgetIfGone(server);
  }

  void forgetIfGone(Server server) {
    if ((server.gone || server.address == null) && server.connections.isEmpty()) {
      servers.remove(server.id, server);
    }
  }

  @Override
  public DispatchRequest.Handle send(DispatchRequest request) {
    return servers
        .computeIfAbsent(request.server, absent -> new Server(request.server, this))
        .gather(request);
  }

  @Override
  public void flush() {
    for (Call call : pending) {
      call.server.gathered();
    }
    List<Call> placed = List.copyOf(pending);
    pending.clear();
    placed.forEach(call -> call.server.place(call));
  }

  @Override
  public void retire(String id) {
    Server server = servers.get(id);
    if (server != null) {
      for (Connection connection : List.copyOf(server.connections)) {
        connection.retire();
      }
    }
  }

  @Override
  public void probe(String id) {
    Server server = servers.get(id);
    if (server == null) {
      driver.probed(id, Outcome.UNREACHABLE, 0, Map.of());
    } else {
      server.probe(transport.probeForLoad() ? Frames.PROBE_LOAD : Frames.PROBE);
    }
  }

  /**
   * Closes all connections. A server that is gone leaves the map with its last one, hence the copy.
   */
  public void close() {
    List.copyOf(servers.values())
        .forEach(server -> List.copyOf(server.connections).forEach(Connection::close));
  }
}
