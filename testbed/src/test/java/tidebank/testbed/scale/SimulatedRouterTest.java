package tidebank.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import tidebank.runtime.QueryRouter;
import tidebank.testbed.scale.RawMeasurement.Descriptors;
import tidebank.testbed.scale.RawMeasurement.ProcessorTime;

/**
 * Simulated routers exchange nearly as many bytes and messages with discovery as real routers, and
 * these counts grow with the fleet as expected. Times are not compared.
 */
class SimulatedRouterTest {
  private static final long SEED = 39;
  private static final int CHANGES = 6;
  private static final Percentage TEN_PERCENT = Percentage.withPercentage(10);

  /** The exchanges of all routers in each step of a measurement. */
  private record StepExchanges(
      List<Exchange> firstLists, List<Exchange> changes, List<Exchange> idle) {
    static StepExchanges of(DiscoveryHarness discovery) throws IOException {
      return new StepExchanges(
          discovery.awaitFirstLists(), discovery.applyChanges(CHANGES), discovery.endIdleWatches());
    }
  }

  private static StepExchanges runSimulated(Size size) throws IOException {
    try (SimulatedFleet fleet = new SimulatedFleet(size, SEED)) {
      fleet.start();
      StepExchanges steps = StepExchanges.of(fleet.discovery());
      assertThat(fleet.failedRequests()).isZero();
      return steps;
    }
  }

  /** Returns the quantities of a size, with 0 for those of time, memory and descriptors. */
  private static Map<Quantity, Double> quantities(Size size) throws IOException {
    StepExchanges steps = runSimulated(size);
    ProcessorTime notMeasured = new ProcessorTime(0, 0);
    return Quantities.of(
        new RawMeasurement(
            size,
            CHANGES,
            steps.firstLists(),
            steps.changes(),
            steps.idle(),
            notMeasured,
            notMeasured,
            0,
            new Descriptors(0, 0)));
  }

  private static StepExchanges runReal(Size size) throws Exception {
    List<QueryRouter> routers = new ArrayList<>();
    try (DiscoveryHarness discovery = new DiscoveryHarness(size, SEED)) {
      for (int i = 0; i < size.gatherers(); i++) {
        routers.add(QueryRouter.start(RouterConfigs.config(size, i, discovery.address(i), SEED)));
      }
      return StepExchanges.of(discovery);
    } finally {
      CompletableFuture<?>[] stops =
          routers.stream().map(QueryRouter::stop).toArray(CompletableFuture[]::new);
      CompletableFuture.allOf(stops).get(20, TimeUnit.SECONDS);
    }
  }

  private static long bytes(List<Exchange> exchanges) {
    return exchanges.stream().mapToLong(Exchange::bytes).sum();
  }

  private static void assertSimilar(List<Exchange> simulated, List<Exchange> real) {
    assertThat(simulated).isNotEmpty();
    assertThat((double) simulated.size()).isCloseTo(real.size(), TEN_PERCENT);
    assertThat((double) bytes(simulated)).isCloseTo(bytes(real), TEN_PERCENT);
  }

  /** Guards against measurements of simulated routers that do not hold for real ones. */
  @Test
  void bytesOfSimulatedRoutersAreWithinTenPercentOfReal() throws Exception {
    Size size = new Size(2, 200);
    StepExchanges simulated = runSimulated(size);
    StepExchanges real = runReal(size);

    assertSimilar(simulated.firstLists(), real.firstLists());
    assertSimilar(simulated.changes(), real.changes());
    assertSimilar(simulated.idle(), real.idle());
    assertThat(simulated.idle().get(0).waitMs()).isEqualTo(real.idle().get(0).waitMs());
  }

  /** Guards against counting errors, such as missing headers or bytes of another exchange. */
  @Test
  void bytesOfSnapshotAreExact() throws IOException {
    for (int servers : new int[] {50, 100, 200}) {
      for (Exchange exchange : runSimulated(new Size(2, servers)).firstLists()) {
        assertThat(exchange.responseBytes()).isEqualTo(snapshotBytes(servers));
        assertThat(exchange.requestBytes()).isBetween(requestBytes(4), requestBytes(5));
      }
    }
  }

  /** Returns the length of a response, built here independently of the discovery emulator. */
  private static long snapshotBytes(int servers) {
    StringBuilder body = new StringBuilder("{\"seq\":1,\"whole\":true,\"hosts\":[");
    for (int i = 0; i < servers; i++) {
      body.append(i == 0 ? "" : ",")
          .append("{\"host\":\"s" + i + "\",\"dial\":\"127.0.0.1:10001\",\"site\":\"a\",")
          .append("\"class\":\"stand-in\",\"block\":" + i + ",\"health\":\"Ready\",")
          .append("\"share\":1.0,\"born_ms\":0}");
    }
    body.append("]}");
    return ("HTTP/1.1 200 OK\r\ncontent-length: " + body.length() + "\r\n\r\n" + body).length();
  }

  private static long requestBytes(int portDigits) {
    String host = "127.0.0.1:" + "0".repeat(portDigits);
    return ("GET /registry/instances HTTP/1.1\r\nhost: " + host + "\r\n\r\n").length();
  }

  /** Guards against snapshot bytes that do not grow linearly with the shard servers. */
  @Test
  void bytesOfSnapshotGrowEquallyPerServer() throws IOException {
    // Names and numbers of servers 100 to 999 have the same length.
    double at100 = firstListBytesPerRouter(new Size(2, 100));
    double at200 = firstListBytesPerRouter(new Size(2, 200));
    double at400 = firstListBytesPerRouter(new Size(2, 400));

    assertThat(at400 - at200).isEqualTo(2 * (at200 - at100));
  }

  private static double firstListBytesPerRouter(Size size) throws IOException {
    return quantities(size).get(Quantity.GATHERER_FIRST_LIST_BYTES);
  }

  /** Guards against changes that cost a router several exchanges, or more with more servers. */
  @Test
  void messagesOfChangeGrowWithRoutersAndNotServers() throws IOException {
    for (Size size : List.of(new Size(1, 50), new Size(2, 50), new Size(4, 50), new Size(2, 400))) {
      Map<Quantity, Double> values = quantities(size);

      assertThat(values.get(Quantity.DISCOVERY_CHANGE_MESSAGES)).isEqualTo(2.0 * size.gatherers());
      assertThat(values.get(Quantity.GATHERER_CHANGE_MESSAGES)).isEqualTo(2);
      assertThat(values.get(Quantity.DISCOVERY_FIRST_LIST_MESSAGES))
          .isEqualTo(2.0 * size.gatherers());
    }
  }

  /** Guards against a count that grows quadratically with the routers or the shard servers. */
  @Test
  void countedQuantitiesGrowLinearly() throws IOException {
    Map<Size, Map<Quantity, Double>> values = new HashMap<>();
    for (int factor : new int[] {1, 2, 4}) {
      values.put(new Size(factor, 100), quantities(new Size(factor, 100)));
      values.put(new Size(2, 100 * factor), quantities(new Size(2, 100 * factor)));
    }
    for (Quantity quantity : COUNTED_QUANTITIES) {
      assertLinear(quantity, values, List.of(new Size(1, 100), new Size(2, 100), new Size(4, 100)));
      assertLinear(quantity, values, List.of(new Size(2, 100), new Size(2, 200), new Size(2, 400)));
    }
  }

  private static final List<Quantity> COUNTED_QUANTITIES =
      List.of(
          Quantity.GATHERER_FIRST_LIST_BYTES,
          Quantity.GATHERER_FIRST_LIST_MESSAGES,
          Quantity.GATHERER_CHANGE_BYTES,
          Quantity.GATHERER_CHANGE_MESSAGES,
          Quantity.GATHERER_IDLE_BYTES,
          Quantity.GATHERER_IDLE_MESSAGES,
          Quantity.DISCOVERY_FIRST_LIST_BYTES,
          Quantity.DISCOVERY_FIRST_LIST_MESSAGES,
          Quantity.DISCOVERY_CHANGE_BYTES,
          Quantity.DISCOVERY_CHANGE_MESSAGES,
          Quantity.DISCOVERY_IDLE_BYTES,
          Quantity.DISCOVERY_IDLE_MESSAGES);

  /**
   * Checks that the second of two doublings adds twice as much as the first. The tolerance of 1%
   * allows for names and numbers with more digits.
   */
  private static void assertLinear(
      Quantity quantity, Map<Size, Map<Quantity, Double>> values, List<Size> sizes) {
    double[] at = sizes.stream().mapToDouble(size -> values.get(size).get(quantity)).toArray();

    assertThat(at[2] - at[1])
        .as(quantity + " over " + sizes)
        .isCloseTo(2 * (at[1] - at[0]), within(0.01 * at[1]));
  }

  /** Guards against a simulated router that skips or repeats list updates, unlike a real one. */
  @Test
  void simulatedRouterReceivesEachEntryOnce() throws IOException {
    Size size = new Size(1, 100);
    try (SimulatedFleet fleet = new SimulatedFleet(size, SEED)) {
      fleet.start();
      StepExchanges.of(fleet.discovery());
      RecordingShardPort shards = fleet.router(0).shardPort();

      // No request failed, so the router's event loop has applied everything that discovery sent.
      assertThat(fleet.failedRequests()).isZero();
      assertThat(shards.snapshots()).isEqualTo(2);
      assertThat(shards.deltas()).isEqualTo(CHANGES);
      assertThat(shards.entries()).isEqualTo(size.servers() + CHANGES);
    }
  }

  /** Guards against a quantity that is declared but not measured. */
  @Test
  void measurementHasValueForEachQuantity() throws IOException {
    Map<Quantity, Double> values = Quantities.of(Measurement.of(new Size(2, 100), CHANGES, SEED));

    assertThat(values).containsOnlyKeys(Quantity.values());
    assertThat(values.get(Quantity.GATHERER_CHANGE_CPU)).isPositive();
    assertThat(values.get(Quantity.DISCOVERY_FIRST_LIST_CPU)).isPositive();
  }
}
