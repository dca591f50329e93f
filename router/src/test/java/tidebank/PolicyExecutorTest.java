package tidebank;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tidebank.FakeSite.FakeShardServer;
import tidebank.FakeSite.FakeShardServer.Frame;
import tidebank.backend.ShardClient;
import tidebank.config.RouterConfig;
import tidebank.discovery.EndpointListParser;
import tidebank.metrics.Counters;
import tidebank.model.Event.ListUpdate;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.BackendPort;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.QueryRequest;
import tidebank.runtime.ResponseCallback;
import tidebank.runtime.TimerQueue;

/** The turn and the shard side by themselves, on a loop of their own. */
@Timeout(20)
class PolicyExecutorTest implements ResponseCallback {
  private final FakeSite site = new FakeSite();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Counters counters = new Counters();
  private final Clock clock = new Clock();
  private final TimerQueue timers = new TimerQueue(loop, clock, counters);
  private final List<String> replies = new ArrayList<>();
  private RouterConfig config;
  private PolicyExecutor driver;

  @BeforeEach
  void begin() throws Exception {
    site.limits.put("connectTimeoutMs", 2000);
    config = RouterConfig.read(Map.of("NODE_CONFIG", site.configFile().toString()));
    driver = new PolicyExecutor(config.settings(), 7, clock, timers, loop, counters);
  }

  @AfterEach
  void end() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    site.close();
  }

  @Override
  public void onResponse(boolean whole, List<Value> values) {
    replies.add("answered");
  }

  @Override
  public void onThrottled(long holdOffUs) {
    replies.add("throttled");
  }

  @Override
  public void checkClient() {}

  @Override
  public void onFailed() {
    replies.add("abandoned");
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get();
  }

  private void list() throws Exception {
    var known = EndpointListParser.read(config.cachedList()).members();
    onLoop(
        () -> {
          driver.endpointListReceived(ListUpdate.CACHED, known);
          return null;
        });
  }

  private void counted(String name, long times) throws Exception {
    while (onLoop(() -> counters.get(name)) < times) {
      Thread.onSpinWait();
    }
  }

  @Test
  void aFailureInATurnAbandonsWhatIsHeldAndTheNextScanIsServed() throws Exception {
    boolean[] fails = {true};
    driver.connect(
        new BackendPort() {
          @Override
          public void updateEndpoints(List<Member> members, boolean full) {}

          @Override
          public AttemptRequest.Handle send(AttemptRequest request) {
            if (fails[0]) {
              throw new OutOfMemoryError("as the test wants it");
            }
            driver.attemptCompleted(
                request, tidebank.model.Outcome.COMPLETED, new byte[0], Map.of());
            return null;
          }

          @Override
          public void flush() {}

          @Override
          public void retireConnections(String server) {}

          @Override
          public void checkHealth(String server) {}
        },
        on -> {});
    list();
    for (String id : List.of("a", "b")) {
      QueryRequest request =
          new QueryRequest(
              id,
              "whole",
              "",
              clock.now(),
              clock.now() + 2_000_000,
              false,
              "",
              new byte[0],
              List.of(new QueryRequest.ShardRange(0, 1, "")));
      assertThat(onLoop(() -> driver.queryReceived(request, this))).isTrue();
      counted(id.equals("a") ? "turns.failed" : "scans.whole", 1);
      fails[0] = false;
    }
    assertThat(replies).containsExactly("abandoned", "answered");
  }

  @Test
  void probesAreAnsweredInTurnAndOneThatIsNotEndsItsConnection() throws Exception {
    ShardClient shards =
        new ShardClient(
            config,
            new Bootstrap().group(group).channel(NioSocketChannel.class),
            driver,
            clock,
            timers,
            counters);
    driver.connect(shards, on -> {});
    list();
    FakeShardServer server = site.servers.get(0);
    String[][] ends = {
      {"util=0.5,inflight=3", "probes.completed"},
      {"-", "probes.completed"},
      {"bad", "probes.error"}
    };
    for (int i = 0; i < ends.length; i++) {
      onLoop(
          () -> {
            shards.checkHealth("s0");
            return null;
          });
      Frame frame = server.next();
      assertThat(frame.letter()).isEqualTo('p');
      frame.raw(FakeShardServer.frame('p', ends[i][0]));
      counted(ends[i][1], i == 1 ? 2 : 1);
    }
    onLoop(
        () -> {
          shards.checkHealth("s0");
          return null;
        });
    counted("probes.timed_out", 1);
    assertThat(server.accepted).hasValue(1);
  }
}
