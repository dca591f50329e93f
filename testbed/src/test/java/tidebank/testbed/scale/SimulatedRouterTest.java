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
import tidebank.testbed.scale.Observed.Descriptors;
import tidebank.testbed.scale.Observed.ProcessorTime;

/**
 * Hollow gatherers stand for real ones, and what they cost grows as it should: counted bytes and
 * messages, no times.
 */
class SimulatedRouterTest {
  private static final long SEED = 39;
  private static final int CHANGES = 6;
  private static final Percentage TENTH = Percentage.withPercentage(10);

  /** The calls of all gatherers, by what was done. */
  private record Calls(List<Exchange> firstLists, List<Exchange> changes, List<Exchange> idle) {
    static Calls of(DiscoveryRig discovery) throws IOException {
      return new Calls(discovery.firstLists(), discovery.change(CHANGES), discovery.idle());
    }
  }

  private static Calls hollow(Size size) throws IOException {
    try (SimulatedFleet fleet = new SimulatedFleet(size, SEED)) {
      fleet.begin();
      Calls calls = Calls.of(fleet.discovery());
      assertThat(fleet.callsFailed()).isZero();
      return calls;
    }
  }

  /** Counted quantities; those of time, memory and descriptors are left at nothing. */
  private static Map<Quantity, Double> quantities(Size size) throws IOException {
    Calls calls = hollow(size);
    ProcessorTime none = new ProcessorTime(0, 0);
    return Quantities.of(
        new Observed(
            size,
            CHANGES,
            calls.firstLists(),
            calls.changes(),
            calls.idle(),
            none,
            none,
            0,
            new Descriptors(0, 0)));
  }

  private static Calls real(Size size) throws Exception {
    List<QueryRouter> gatherers = new ArrayList<>();
    try (DiscoveryRig discovery = new DiscoveryRig(size, SEED)) {
      for (int i = 0; i < size.gatherers(); i++) {
        gatherers.add(QueryRouter.start(RouterFiles.config(size, i, discovery.address(i), SEED)));
      }
      return Calls.of(discovery);
    } finally {
      CompletableFuture<?>[] ends =
          gatherers.stream().map(QueryRouter::stop).toArray(CompletableFuture[]::new);
      CompletableFuture.allOf(ends).get(20, TimeUnit.SECONDS);
    }
  }

  private static long bytes(List<Exchange> exchanges) {
    return exchanges.stream().mapToLong(Exchange::bytes).sum();
  }

  private static void assertAlike(List<Exchange> hollow, List<Exchange> real) {
    assertThat(hollow).isNotEmpty();
    assertThat((double) hollow.size()).isCloseTo(real.size(), TENTH);
    assertThat((double) bytes(hollow)).isCloseTo(bytes(real), TENTH);
  }

  @Test
  void bytesAndMessagesOfHollowGatherersAreThoseOfRealOnes() throws Exception {
    Size size = new Size(2, 200);
    Calls hollow = hollow(size);
    Calls real = real(size);

    assertAlike(hollow.firstLists(), real.firstLists());
    assertAlike(hollow.changes(), real.changes());
    assertAlike(hollow.idle(), real.idle());
    assertThat(hollow.idle().get(0).waitMs()).isEqualTo(real.idle().get(0).waitMs());
  }

  @Test
  void theBytesOfAWholeListAreExact() throws IOException {
    for (int servers : new int[] {50, 100, 200}) {
      for (Exchange exchange : hollow(new Size(2, servers)).firstLists()) {
        assertThat(exchange.responseBytes()).isEqualTo(wholeListBytes(servers));
        assertThat(exchange.requestBytes()).isBetween(requestBytes(4), requestBytes(5));
      }
    }
  }

  /** The answer as the protocol has it, put together here a second time. */
  private static long wholeListBytes(int servers) {
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

  @Test
  void theBytesOfAWholeListGrowByTheSameForEachServer() throws IOException {
    // Names and numbers of servers 100 to 999 are of one length.
    double at100 = perGatherer(new Size(2, 100));
    double at200 = perGatherer(new Size(2, 200));
    double at400 = perGatherer(new Size(2, 400));

    assertThat(at400 - at200).isEqualTo(2 * (at200 - at100));
  }

  private static double perGatherer(Size size) throws IOException {
    return quantities(size).get(Quantity.GATHERER_FIRST_LIST_BYTES);
  }

  @Test
  void theMessagesOfAChangeGoWithGatherersAndNotWithServers() throws IOException {
    for (Size size : List.of(new Size(1, 50), new Size(2, 50), new Size(4, 50), new Size(2, 400))) {
      Map<Quantity, Double> values = quantities(size);

      assertThat(values.get(Quantity.DISCOVERY_CHANGE_MESSAGES)).isEqualTo(2.0 * size.gatherers());
      assertThat(values.get(Quantity.GATHERER_CHANGE_MESSAGES)).isEqualTo(2);
      assertThat(values.get(Quantity.DISCOVERY_FIRST_LIST_MESSAGES))
          .isEqualTo(2.0 * size.gatherers());
    }
  }

  @Test
  void nothingCountedIsQuadratic() throws IOException {
    Map<Size, Map<Quantity, Double>> values = new HashMap<>();
    for (int scale : new int[] {1, 2, 4}) {
      values.put(new Size(scale, 100), quantities(new Size(scale, 100)));
      values.put(new Size(2, 100 * scale), quantities(new Size(2, 100 * scale)));
    }
    for (Quantity quantity : COUNTED) {
      assertStraight(
          quantity, values, List.of(new Size(1, 100), new Size(2, 100), new Size(4, 100)));
      assertStraight(
          quantity, values, List.of(new Size(2, 100), new Size(2, 200), new Size(2, 400)));
    }
  }

  private static final List<Quantity> COUNTED =
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

  /** Doubled twice, the second step is twice the first, to within a digit here and there. */
  private static void assertStraight(
      Quantity quantity, Map<Size, Map<Quantity, Double>> values, List<Size> sizes) {
    double[] at = sizes.stream().mapToDouble(size -> values.get(size).get(quantity)).toArray();

    assertThat(at[2] - at[1])
        .as(quantity + " over " + sizes)
        .isCloseTo(2 * (at[1] - at[0]), within(0.01 * at[1]));
  }

  @Test
  void aHollowGathererTakesEachEntryOnce() throws IOException {
    Size size = new Size(1, 100);
    try (SimulatedFleet fleet = new SimulatedFleet(size, SEED)) {
      fleet.begin();
      Calls.of(fleet.discovery());
      RecordingShardPort shards = fleet.gatherer(0).shards();

      // No call failed, so its event loop has taken all that it was told.
      assertThat(fleet.callsFailed()).isZero();
      assertThat(shards.wholeLists()).isEqualTo(2);
      assertThat(shards.changes()).isEqualTo(CHANGES);
      assertThat(shards.entries()).isEqualTo(size.servers() + CHANGES);
    }
  }

  @Test
  void aMeasurementHasAValueOfEachQuantity() throws IOException {
    Map<Quantity, Double> values = Quantities.of(Measurement.of(new Size(2, 100), CHANGES, SEED));

    assertThat(values).containsOnlyKeys(Quantity.values());
    assertThat(values.get(Quantity.GATHERER_CHANGE_CPU)).isPositive();
    assertThat(values.get(Quantity.DISCOVERY_FIRST_LIST_CPU)).isPositive();
  }
}
