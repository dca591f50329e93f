package tidebank;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import tidebank.config.RouterConfig;
import tidebank.discovery.EndpointListParser;
import tidebank.metrics.Counters;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.BackendPort;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.QueryRequest;
import tidebank.runtime.ResponseCallback;
import tidebank.runtime.TimerQueue;

/**
 * The names of the counters that operators and the fleet's reports read: that of each constant in
 * its declared order, and all that one run reaches.
 */
@Timeout(30)
class CounterNamesFixtureTest implements ResponseCallback, BackendPort {
  private static final Path FOLDER = Path.of("src/test/resources/fixtures/counters");

  private final FakeSite site = new FakeSite();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final EventLoop loop = group.next();
  private final Counters counters = new Counters();
  private final Clock clock = new Clock();
  private final TimerQueue timers = new TimerQueue(loop, clock, counters);
  private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
  private RouterConfig config;
  private PolicyExecutor driver;

  /** How the next request to a shard server ends; null: not. */
  private Outcome outcome = Outcome.COMPLETED;

  private boolean sendFails;

  /** Requests for this shard never end. */
  private int silentShard = -1;

  @BeforeEach
  void begin() throws Exception {
    config = RouterConfig.read(Map.of("NODE_CONFIG", site.configFile().toString()));
    driver = new PolicyExecutor(config.settings(), 7, clock, timers, loop, counters);
    driver.connect(this, on -> {});
    listSeen(ListUpdate.CACHED);
  }

  @AfterEach
  void end() throws Exception {
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).sync();
    site.close();
  }

  @Override
  public void onResponse(boolean whole, List<Value> values) {
    answers.add("answered");
  }

  @Override
  public void onThrottled(long holdOffUs) {
    answers.add("throttled");
  }

  @Override
  public void onFailed() {
    answers.add("abandoned");
  }

  @Override
  public void checkClient() {}

  @Override
  public void updateEndpoints(List<Member> members, boolean full) {}

  @Override
  public AttemptRequest.Handle send(AttemptRequest request) {
    if (sendFails) {
      throw new IllegalStateException("as the test wants it");
    }
    // Only the first request of a query ends as the test says.
    Outcome end = outcome;
    outcome = Outcome.COMPLETED;
    if (end != null && request.shard() != silentShard) {
      byte[] value = end == Outcome.COMPLETED ? new byte[0] : null;
      driver.attemptCompleted(request, end, value, Map.of());
    }
    return new AttemptRequest.Handle() {
      @Override
      public void cancel() {}

      @Override
      public void dropUnsent() {}
    };
  }

  @Override
  public void flush() {}

  @Override
  public void retireConnections(String server) {}

  @Override
  public void checkHealth(String server) {}

  private <T> T onLoop(Callable<T> task) throws Exception {
    return loop.submit(task).get();
  }

  private void listSeen(ListUpdate kind) throws Exception {
    List<Member> known = EndpointListParser.read(config.cachedList()).members();
    onLoop(
        () -> {
          driver.endpointListReceived(kind, known);
          return null;
        });
  }

  private void take(String type, String id, long timeLeftUs, int shards) throws Exception {
    List<QueryRequest.ShardRange> ranges = new ArrayList<>();
    for (int shard = 0; shard < shards; shard++) {
      ranges.add(
          new QueryRequest.ShardRange(shard, shards == 1 ? 1 : shard == 0 ? 0.75 : 0.25, ""));
    }
    onLoop(
        () ->
            driver.queryReceived(
                new QueryRequest(
                    id,
                    type,
                    "",
                    clock.now(),
                    clock.now() + timeLeftUs,
                    false,
                    "",
                    new byte[0],
                    ranges),
                this));
  }

  private String answer() throws Exception {
    return answers.poll(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  private SortedMap<String, Long> counts() throws Exception {
    return onLoop(counters::all);
  }

  /** The one counter of this kind that went up since then. */
  private String counted(String kind, SortedMap<String, Long> before) throws Exception {
    SortedMap<String, Long> now = new TreeMap<>(counts());
    now.keySet()
        .removeIf(
            name ->
                !name.startsWith(kind)
                    || counters(before, name) == now.get(name)
                    || name.equals("dispatches.completed") && now.get(name) > 1);
    assertThat(now).hasSize(1);
    return now.firstKey();
  }

  private static long counters(SortedMap<String, Long> counts, String name) {
    return counts.getOrDefault(name, 0L);
  }

  @Test
  void eachConstantKeepsItsName() throws Exception {
    List<String> names = new ArrayList<>();
    // The first ends completed; from then on a completed request is the retry of another.
    for (Outcome each : Outcome.values()) {
      SortedMap<String, Long> before = counts();
      driver = new PolicyExecutor(config.settings(), 7, clock, timers, loop, counters);
      driver.connect(this, on -> {});
      listSeen(ListUpdate.CACHED);
      outcome = each;
      take("whole", "o" + each.ordinal(), 400_000, 1);
      answer();
      names.add(counted("dispatches.", before));
      before = counts();
      onLoop(
          () -> {
            driver.healthCheckCompleted("s0", each, 100, Map.of());
            return null;
          });
      names.add(counted("probes.", before));
    }
    for (ListUpdate kind : ListUpdate.values()) {
      SortedMap<String, Long> before = counts();
      listSeen(kind);
      names.add(counted("list.", before));
    }
    compare("constants.txt", names);
  }

  @Test
  void oneRunReachesTheseNames() throws Exception {
    take("whole", "whole", 2_000_000, 1);
    assertThat(answer()).isEqualTo("answered");
    take("once", "late", 5_000, 1);
    assertThat(answer()).isEqualTo("throttled");
    outcome = Outcome.ERROR;
    take("once", "lost", 2_000_000, 1);
    assertThat(answer()).isEqualTo("abandoned");
    silentShard = 1;
    take("part", "partial", 2_500_000, 2);
    assertThat(answer()).isEqualTo("answered");
    outcome = null;
    take("once", "left", 2_000_000, 1);
    onLoop(
        () -> {
          driver.clientDisconnected("left");
          return null;
        });
    sendFails = true;
    take("once", "failed", 2_000_000, 1);
    assertThat(answer()).isEqualTo("abandoned");
    List<String> names = new ArrayList<>(counts().keySet());
    // These tell of a machine that stood still.
    names.removeAll(List.of("timers.late", "passes.long"));
    compare("names.txt", names);
  }

  private static void compare(String file, List<String> names) throws Exception {
    Path path = FOLDER.resolve(file);
    if (Boolean.getBoolean("fixtures.record")) {
      Files.write(path, names);
    }
    assertThat(names).isEqualTo(Files.readAllLines(path));
  }
}
