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
import tidebank.model.Event.Endpoint;
import tidebank.model.Event.EndpointStatus;
import tidebank.model.Outcome;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.BackendPort;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.TimerQueue;

/**
 * The client of all shard servers. Carries out the attempts that the policy sends and reports their
 * outcomes to it. Confined to the event loop.
 */
public final class ShardClient implements BackendPort {
  private final BackendContext context;
  private final RouterConfig config;
  private final Bootstrap bootstrapTemplate;
  private final Map<String, ConnectionPool> pools = new HashMap<>();
  private final List<RequestBatch> pendingBatches = new ArrayList<>();

  /** The number of connections to all servers that are established or connecting. */
  private int connectionCount;

  /**
   * Creates a client without connections.
   *
   * @param bootstrapTemplate the bootstrap that is cloned for each connection
   */
  public ShardClient(
      RouterConfig config,
      Bootstrap bootstrapTemplate,
      PolicyExecutor policy,
      Clock clock,
      TimerQueue timers,
      Counters counters) {
    this.config = config;
    this.bootstrapTemplate = bootstrapTemplate;
    this.context =
        new BackendContext(
            policy,
            clock,
            timers,
            counters,
            config.transport(),
            config.settings().limits().healthChecks(),
            new KeyWindows(config.settings().queryClasses()),
            config.settings().limits().cancellation(),
            config.settings().longestTimeoutUs());
  }

  /** Returns a bootstrap that makes this connection the handler of its channels. */
  Bootstrap createBootstrap(ShardConnection connection) {
    return bootstrapTemplate
        .clone()
        .handler(
            new ChannelInitializer<Channel>() {
              @Override
              protected void initChannel(Channel channel) {
                channel
                    .pipeline()
                    .addLast(
                        connection.decoder(),
                        new LengthFieldPrepender(FrameDecoder.LENGTH_BYTES),
                        connection);
              }
            });
  }

  int maxBatchSize() {
    return config.settings().layout().maxBatchSize();
  }

  /** Queues a batch until the next {@link #flush}. */
  void enqueue(RequestBatch batch) {
    pendingBatches.add(batch);
  }

  boolean allowsNewConnection(ConnectionPool pool) {
    return connectionCount < config.budgets().maxServerConnections()
        && pool.connectionCount() < config.budgets().maxConnectionsPerServer();
  }

  void connectionAdded() {
    connectionCount++;
  }

  void connectionRemoved() {
    connectionCount--;
  }

  private ConnectionPool getOrCreatePool(String server) {
    return pools.computeIfAbsent(server, absent -> new ConnectionPool(server, this, context));
  }

  @Override
  public void updateEndpoints(List<ResolvedEndpoint> endpoints, boolean full) {
    long now = context.clock().now();
    Set<String> listed = new HashSet<>();
    for (ResolvedEndpoint resolved : endpoints) {
      Endpoint endpoint = resolved.endpoint();
      listed.add(endpoint.server());
      ConnectionPool pool = getOrCreatePool(endpoint.server());
      if (endpoint.status() == EndpointStatus.IN_SERVICE) {
        pool.markInService(resolved.address());
      } else {
        markDraining(pool, now, endpoint.status() == EndpointStatus.GONE);
      }
    }
    if (full) {
      for (ConnectionPool pool : List.copyOf(pools.values())) {
        if (!listed.contains(pool.server())) {
          markDraining(pool, now, true);
        }
      }
    }
  }

  private void markDraining(ConnectionPool pool, long now, boolean gone) {
    pool.markDraining(now + config.settings().rules().drainGraceUs(), gone);
  }

  /** Removes a pool without connections if its server is gone or was never listed. */
  void removeIfUnused(ConnectionPool pool) {
    if (pool.isUnused()) {
      pools.remove(pool.server(), pool);
    }
  }

  @Override
  public AttemptRequest.Handle send(AttemptRequest request) {
    return getOrCreatePool(request.server()).add(request);
  }

  @Override
  public void flush() {
    for (RequestBatch batch : pendingBatches) {
      batch.pool().closeBatch();
    }
    List<RequestBatch> batches = List.copyOf(pendingBatches);
    pendingBatches.clear();
    for (RequestBatch batch : batches) {
      batch.pool().dispatch(batch);
    }
  }

  @Override
  public void retireConnections(String server) {
    ConnectionPool pool = pools.get(server);
    if (pool != null) {
      pool.retireConnections();
    }
  }

  @Override
  public void checkHealth(String server) {
    ConnectionPool pool = pools.get(server);
    if (pool == null) {
      context.policy().healthCheckCompleted(server, Outcome.UNREACHABLE, 0, Map.of());
      return;
    }
    pool.checkHealth(
        context.transport().loadReportOnHealthCheck()
            ? FrameCodec.HEALTH_CHECK_WITH_LOAD
            : FrameCodec.HEALTH_CHECK);
  }

  /** Closes all connections. */
  public void close() {
    // Closing its last connection can remove a pool from the map, hence the copy.
    List.copyOf(pools.values()).forEach(ConnectionPool::close);
  }
}
