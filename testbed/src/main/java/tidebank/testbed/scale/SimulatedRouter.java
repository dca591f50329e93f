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
 * A gatherer without sockets to clients and shard servers. Its decisions, its timers and its client
 * of discovery are the product's own; many share an event loop.
 */
final class SimulatedRouter {
  private static final long NO_VERSION = -1;

  private final EventLoop loop;
  private final Counters counters = new Counters();
  private final PolicyExecutor driver;
  private final RecordingShardPort shards;
  private final DiscoveryClient discovery;

  SimulatedRouter(RouterConfig config, EventLoop loop) {
    this.loop = loop;
    Clock clock = new Clock();
    TimerQueue timers = new TimerQueue(loop, clock, counters);
    driver = new PolicyExecutor(config.settings(), config.seed(), clock, timers, loop, counters);
    shards = new RecordingShardPort();
    discovery = new DiscoveryClient(config, template(config), driver, clock, timers, counters);
    driver.connect(shards, discovery);
  }

  private Bootstrap template(RouterConfig config) {
    int connectMs = (int) (config.transport().connectTimeoutUs() / 1000);
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMs);
  }

  /** Begins as a gatherer that remembers no list. */
  void begin() {
    loop.execute(
        () -> {
          driver.endpointListReceived(ListUpdate.CACHED, List.of());
          discovery.start(NO_VERSION);
        });
  }

  /** What it was asked to do with shard servers. */
  RecordingShardPort shards() {
    return shards;
  }

  /** How many calls to discovery came to nothing. */
  long callsFailed() {
    return loop.submit(() -> counters.get("list.calls-failed")).syncUninterruptibly().getNow();
  }

  void close() {
    loop.submit(discovery::close).syncUninterruptibly();
  }
}
