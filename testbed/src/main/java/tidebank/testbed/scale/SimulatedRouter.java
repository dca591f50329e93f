package tidebank.testbed.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import tidebank.config.RouterConfig;
import tidebank.discovery.DiscoveryClient;
import tidebank.metrics.Counters;
import tidebank.model.Event.ListUpdate;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.TimerQueue;

/**
 * A router without connections to clients and shard servers. Its policy, timers and discovery
 * client are those of the real router. Many simulated routers share an event loop.
 */
final class SimulatedRouter {
  private static final long NO_VERSION = -1;

  private final EventLoop loop;
  private final Counters counters = new Counters();
  private final PolicyExecutor executor;
  private final RecordingShardPort shardPort;
  private final DiscoveryClient discovery;

  SimulatedRouter(RouterConfig config, EventLoop loop) {
    this.loop = loop;
    Clock clock = new Clock();
    TimerQueue timers = new TimerQueue(loop, clock, counters);
    executor = new PolicyExecutor(config.settings(), config.seed(), clock, timers, loop, counters);
    shardPort = new RecordingShardPort();
    discovery = new DiscoveryClient(config, bootstrap(config), executor, clock, timers, counters);
    executor.connect(shardPort, discovery);
  }

  private Bootstrap bootstrap(RouterConfig config) {
    int connectTimeoutMs = (int) (config.transport().connectTimeoutUs() / 1000);
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectTimeoutMs);
  }

  /** Starts like a router without a cached endpoint list. */
  void start() {
    loop.execute(
        () -> {
          executor.endpointListReceived(ListUpdate.CACHED, List.of());
          discovery.start(NO_VERSION);
        });
  }

  /** Returns the port that counts the router's endpoint list updates. */
  RecordingShardPort shardPort() {
    return shardPort;
  }

  /** Returns the number of requests to discovery that failed. */
  long failedRequests() {
    return loop.submit(() -> counters.get("list.calls-failed")).syncUninterruptibly().getNow();
  }

  void close() {
    loop.submit(discovery::close).syncUninterruptibly();
  }
}
