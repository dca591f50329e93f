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

/** Tests decision rounds and health checks on an event loop without a router. */
@Timeout(20)
class PolicyExecutorTest implements ResponseCallback {
  private final FakeSite site = new FakeSite();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Counters counters = new Counters();
  private final Clock clock = new Clock();
  private final TimerQueue timers = new TimerQueue(loop, clock, counters);
  private final List<String> responses = new ArrayList<>();
  private RouterConfig config;
  private PolicyExecutor executor;

  @BeforeEach
  void setUp() throws Exception {
    site.limits.put("connectTimeoutMs", 2000);
    config = RouterConfig.read(Map.of("NODE_CONFIG", site.writeConfigFile().toString()));
    executor = new PolicyExecutor(config.settings(), 7, clock, timers, loop, counters);
  }

  @AfterEach
  void tearDown() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    site.close();
  }

  @Override
  public void onResponse(boolean complete, List<Value> values) {
    responses.add("answered");
  }

  @Override
  public void onThrottled(long retryAfterUs) {
    responses.add("throttled");
  }

  @Override
  public void pollClientConnection() {}

  @Override
  public void onFailed() {
    responses.add("abandoned");
  }

  private <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get();
  }

  private void receiveList() throws Exception {
    var endpoints = EndpointListParser.parse(config.cachedEndpointList()).endpoints();
    onLoop(
        () -> {
          executor.endpointListReceived(ListUpdate.CACHED, endpoints);
          return null;
        });
  }

  private void awaitCount(String name, long times) throws Exception {
    while (onLoop(() -> counters.get(name)) < times) {
      Thread.onSpinWait();
    }
  }

  /**
   * An error while actions are executed, here an OutOfMemoryError on sending, must neither leave a
   * query without a response nor stop the router from serving.
   */
  @Test
  void aFailedRoundFailsItsQueriesAndTheNextQueryIsServed() throws Exception {
    boolean[] fails = {true};
    executor.connect(
        new BackendPort() {
          @Override
          public void updateEndpoints(List<ResolvedEndpoint> members, boolean full) {}

          @Override
          public AttemptRequest.Handle send(AttemptRequest request) {
            if (fails[0]) {
              throw new OutOfMemoryError("simulated failure");
            }
            executor.attemptCompleted(
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
    receiveList();
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
              List.of(new QueryRequest.ShardTarget(0, 1, "")));
      assertThat(onLoop(() -> executor.submitQuery(request, this))).isTrue();
      awaitCount(id.equals("a") ? "turns.failed" : "scans.whole", 1);
      fails[0] = false;
    }
    assertThat(responses).containsExactly("abandoned", "answered");
  }

  /** Health checks have no id, so each is matched to its response by order on its connection. */
  @Test
  void healthChecksOnOneConnectionCompleteFailOrTimeOut() throws Exception {
    ShardClient shards =
        new ShardClient(
            config,
            new Bootstrap().group(group).channel(NioSocketChannel.class),
            executor,
            clock,
            timers,
            counters);
    executor.connect(shards, on -> {});
    receiveList();
    FakeShardServer server = site.servers.get(0);
    String[][] responsesAndCounters = {
      {"util=0.5,inflight=3", "probes.completed"},
      {"-", "probes.completed"},
      {"bad", "probes.error"}
    };
    for (int i = 0; i < responsesAndCounters.length; i++) {
      onLoop(
          () -> {
            shards.checkHealth("s0");
            return null;
          });
      Frame frame = server.awaitFrame();
      assertThat(frame.type()).isEqualTo('p');
      frame.sendBytes(FakeShardServer.encodeFrame('p', responsesAndCounters[i][0]));
      awaitCount(responsesAndCounters[i][1], i == 1 ? 2 : 1);
    }
    onLoop(
        () -> {
          shards.checkHealth("s0");
          return null;
        });
    awaitCount("probes.timed_out", 1);
    assertThat(server.acceptedCount).hasValue(1);
  }
}
