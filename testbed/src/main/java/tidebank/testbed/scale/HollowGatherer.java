package tidebank.testbed.scale;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import tidebank.base.Counters;
import tidebank.config.NodeConfig;
import tidebank.discovery.DiscoverySide;
import tidebank.model.Event.ListKind;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyDriver;
import tidebank.runtime.Timers;

/**
 * A gatherer without sockets to clients and shard servers. Its decisions, its timers and its client
 * of discovery are the product's own; many share an event loop.
 */
final class HollowGatherer {
  private static final long NO_VERSION = -1;

  private final EventLoop loop;
  private final Counters counters = new Counters();
  private final PolicyDriver driver;
  private final RecordingShardPort shards;
  private final DiscoverySide discovery;

  HollowGatherer(NodeConfig config, EventLoop loop) {
    this.loop = loop;
    Clock clock = new Clock();
    Timers timers = new Timers(loop, clock, counters);
    driver = new PolicyDriver(config.settings(), config.seed(), clock, timers, loop, counters);
    shards = new RecordingShardPort();
    discovery = new DiscoverySide(config, template(config), driver, clock, timers, counters);
    driver.connect(shards, discovery);
  }

  private Bootstrap template(NodeConfig config) {
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
          driver.listSeen(ListKind.REMEMBERED, List.of());
          discovery.begin(NO_VERSION);
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
