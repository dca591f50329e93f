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
 * Compares the names of counters with recorded ones, as operators and the fleet's reports read
 * them: the name for each enum constant in declaration order, and all names that one run produces.
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
  private final BlockingQueue<String> responses = new LinkedBlockingQueue<>();
  private RouterConfig config;
  private PolicyExecutor executor;

  /** The outcome of the next attempt, or null if it does not complete. */
  private Outcome nextOutcome = Outcome.COMPLETED;

  private boolean sendFails;

  /** Attempts at this shard never complete. */
  private int silentShard = -1;

  @BeforeEach
  void setUp() throws Exception {
    config = RouterConfig.read(Map.of("NODE_CONFIG", site.writeConfigFile().toString()));
    executor = new PolicyExecutor(config.settings(), 7, clock, timers, loop, counters);
    executor.connect(this, on -> {});
    receiveList(ListUpdate.CACHED);
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
  public void onFailed() {
    responses.add("abandoned");
  }

  @Override
  public void pollClientConnection() {}

  @Override
  public void updateEndpoints(List<ResolvedEndpoint> members, boolean full) {}

  @Override
  public AttemptRequest.Handle send(AttemptRequest request) {
    if (sendFails) {
      throw new IllegalStateException("simulated failure");
    }
    // Only the first attempt has the outcome that the test set; later ones complete.
    Outcome outcome = nextOutcome;
    nextOutcome = Outcome.COMPLETED;
    if (outcome != null && request.shard() != silentShard) {
      byte[] value = outcome == Outcome.COMPLETED ? new byte[0] : null;
      executor.attemptCompleted(request, outcome, value, Map.of());
    }
    return new AttemptRequest.Handle() {
      @Override
      public void cancel() {}

      @Override
      public void dropUndelivered() {}
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

  private void receiveList(ListUpdate update) throws Exception {
    List<ResolvedEndpoint> endpoints =
        EndpointListParser.parse(config.cachedEndpointList()).endpoints();
    onLoop(
        () -> {
          executor.endpointListReceived(update, endpoints);
          return null;
        });
  }

  private void submit(String queryClass, String id, long timeoutUs, int shards) throws Exception {
    List<QueryRequest.ShardTarget> targets = new ArrayList<>();
    for (int shard = 0; shard < shards; shard++) {
      targets.add(
          new QueryRequest.ShardTarget(shard, shards == 1 ? 1 : shard == 0 ? 0.75 : 0.25, ""));
    }
    onLoop(
        () ->
            executor.submitQuery(
                new QueryRequest(
                    id,
                    queryClass,
                    "",
                    clock.now(),
                    clock.now() + timeoutUs,
                    false,
                    "",
                    new byte[0],
                    targets),
                this));
  }

  private String nextResponse() throws Exception {
    return responses.poll(FakeSite.WAIT_MS, TimeUnit.MILLISECONDS);
  }

  private SortedMap<String, Long> readCounters() throws Exception {
    return onLoop(counters::toMap);
  }

  /** Returns the name of the only counter with this prefix that has increased since then. */
  private String increasedCounter(String prefix, SortedMap<String, Long> before) throws Exception {
    SortedMap<String, Long> now = new TreeMap<>(readCounters());
    now.keySet()
        .removeIf(
            name ->
                !name.startsWith(prefix)
                    || count(before, name) == now.get(name)
                    || name.equals("dispatches.completed") && now.get(name) > 1);
    assertThat(now).hasSize(1);
    return now.firstKey();
  }

  private static long count(SortedMap<String, Long> counts, String name) {
    return counts.getOrDefault(name, 0L);
  }

  @Test
  void eachEnumConstantKeepsItsCounterName() throws Exception {
    List<String> names = new ArrayList<>();
    // The first attempt completes; later increases of that counter come from retries.
    for (Outcome outcome : Outcome.values()) {
      SortedMap<String, Long> before = readCounters();
      executor = new PolicyExecutor(config.settings(), 7, clock, timers, loop, counters);
      executor.connect(this, on -> {});
      receiveList(ListUpdate.CACHED);
      nextOutcome = outcome;
      submit("whole", "o" + outcome.ordinal(), 400_000, 1);
      nextResponse();
      names.add(increasedCounter("dispatches.", before));
      before = readCounters();
      onLoop(
          () -> {
            executor.healthCheckCompleted("s0", outcome, 100, Map.of());
            return null;
          });
      names.add(increasedCounter("probes.", before));
    }
    for (ListUpdate update : ListUpdate.values()) {
      SortedMap<String, Long> before = readCounters();
      receiveList(update);
      names.add(increasedCounter("list.", before));
    }
    compare("constants.txt", names);
  }

  @Test
  void aRunProducesTheRecordedCounterNames() throws Exception {
    submit("whole", "whole", 2_000_000, 1);
    assertThat(nextResponse()).isEqualTo("answered");
    submit("once", "late", 5_000, 1);
    assertThat(nextResponse()).isEqualTo("throttled");
    nextOutcome = Outcome.ERROR;
    submit("once", "lost", 2_000_000, 1);
    assertThat(nextResponse()).isEqualTo("abandoned");
    silentShard = 1;
    submit("part", "partial", 2_500_000, 2);
    assertThat(nextResponse()).isEqualTo("answered");
    nextOutcome = null;
    submit("once", "left", 2_000_000, 1);
    onLoop(
        () -> {
          executor.clientDisconnected("left");
          return null;
        });
    sendFails = true;
    submit("once", "failed", 2_000_000, 1);
    assertThat(nextResponse()).isEqualTo("abandoned");
    List<String> names = new ArrayList<>(readCounters().keySet());
    // These count stalls of the event loop, which depend on the load of the machine.
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
