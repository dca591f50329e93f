package tidebank.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.testbed.fleet.Polling.TIMEOUT_MS;
import static tidebank.testbed.fleet.Polling.until;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tidebank.coordinator.CoordinatorClient;
import tidebank.fleet.FleetReport;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.lease.TaskLease;
import tidebank.testbed.replay.RouterProcess;

/**
 * Gatherers and a steward as processes; owners of the report are stopped, woken, killed and ended
 * amid their work.
 */
@Timeout(120)
class TasksTest {

  @TempDir private Path folder;
  private CoordinatorProcesses stewards;
  private CoordinatorClient client;
  private final List<RouterProcess> gatherers = new ArrayList<>();
  private final HttpClient http = HttpClient.newHttpClient();
  private int sent;

  @BeforeEach
  void start() throws Exception {
    stewards =
        new CoordinatorProcesses(
            folder,
            1,
            "[duties]\nnames = [\"report\"]\n[lease]\nms = 1000\n[election]\nms = 200\n");
    client = new CoordinatorClient(stewards.addresses(), TIMEOUT_MS);
    for (int i = 0; i < 3; i++) {
      gatherers.add(gatherer("g" + i, stewards.addresses(), List.of()));
    }
    until(this::published, revision -> revision > 0);
  }

  @AfterEach
  void end() {
    gatherers.forEach(RouterProcess::close);
    stewards.close();
  }

  private RouterProcess gatherer(String name, List<String> asks, List<String> flags)
      throws IOException {
    return RouterProcesses.start(folder, name, asks, 250, flags);
  }

  private TaskLease report() throws Exception {
    return until(client::state, state -> !state.tasks().isEmpty()).tasks().get(0);
  }

  private long published() throws Exception {
    return report().revision();
  }

  private int owner() throws Exception {
    String name = until(this::report, duty -> !duty.holder().isEmpty()).holder();
    return Integer.parseInt(name.substring(1, 2));
  }

  /** A scan that a gatherer without shard servers throttles, and counts. */
  private void scan(RouterProcess gatherer) throws Exception {
    InetSocketAddress at = gatherer.address();
    int status =
        http.send(
                HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + at.getPort() + "/checkout"))
                    .header("X-Correlation-Id", Long.toHexString(++sent + (1L << 40)))
                    .header("X-Time-Left", "2000m")
                    .POST(
                        BodyPublishers.ofString(
                            "{\"ranges\":[{\"range\":0,\"portion\":1}],\"predicate\":\"c41e77d0\"}"))
                    .build(),
                BodyHandlers.ofString())
            .statusCode();
    assertThat(status).isIn(429, 503);
  }

  /**
   * The scans of all reports that were published: the last one and, by the names that they give,
   * those before it.
   */
  private long counted() throws Exception {
    long sum = 0;
    long after = Long.MAX_VALUE;
    long number = published();
    for (String name = report().value(); !name.isEmpty(); ) {
      FleetReport report = read(name);
      assertThat(report.fencingToken()).as("tokens only grow").isLessThanOrEqualTo(after);
      assertThat(report.number()).isGreaterThanOrEqualTo(number--);
      after = report.fencingToken();
      sum += report.window().getOrDefault("scans.throttled", 0L);
      name = report.previous();
    }
    return sum;
  }

  private FleetReport read(String name) throws IOException {
    Path file = RouterProcesses.sharedFolder(folder).resolve("reports").resolve(name);
    return LeaseCodec.read(Files.readAllBytes(file), FleetReport.class);
  }

  private void allCounted() throws Exception {
    until(this::counted, sum -> sum == sent);
  }

  @Test
  void anOwnerStoppedPastItsLeaseAndWokenAfterItsSuccessorsFirstReportDoesNoHarm()
      throws Exception {
    for (int round = 0; round < 3; round++) {
      for (RouterProcess gatherer : gatherers) {
        scan(gatherer);
      }
      int owner = owner();
      long token = report().fencingToken();
      gatherers.get(owner).stop();
      until(this::report, duty -> duty.fencingToken() > token && duty.publishingToken() > token);
      gatherers.get(owner).wake();
      // It is one of them again, and what it had begun came to nothing.
      until(
          client::state,
          state ->
              state.members().stream()
                      .filter(member -> member.expiresAt() > state.leaderClock())
                      .count()
                  == 3);
      scan(gatherers.get(owner));
    }
    allCounted();
    assertThat(counted()).isEqualTo(12);
  }

  @Test
  void aKilledOwnersDutyIsTakenOverItsNewSelfIsAnotherAndNoneIsCountedTwice() throws Exception {
    int owner = owner();
    scan(gatherers.get(owner));
    allCounted();
    gatherers.get(owner).close();
    long token = report().fencingToken();
    until(this::report, duty -> duty.publishingToken() > token);
    gatherers.set(owner, gatherer("g" + owner, stewards.addresses(), List.of()));
    scan(gatherers.get(owner));
    scan(gatherers.get((owner + 1) % 3));
    allCounted();
    assertThat(counted()).isEqualTo(3);
  }

  @Test
  void onSigtermADutyIsHandedOverBeforeTheLeaseEndsAndTheMissingAreNamed() throws Exception {
    int owner = owner();
    long token = report().fencingToken();
    gatherers.get(owner).terminate();
    assertThat(gatherers.get(owner).waitFor(10_000)).isZero();
    TaskLease next = until(this::report, duty -> duty.publishingToken() > token);
    assertThat(next.holder()).isNotEqualTo("g" + owner);
    int silent = 3 - owner - owner();
    gatherers.get(silent).stop();
    until(
        () -> read(report().value()),
        report -> report.silentMembers().equals(List.of("g" + silent)));
    gatherers.get(silent).wake();
    until(() -> read(report().value()), report -> report.silentMembers().isEmpty());
  }

  @Test
  void withoutAnyStewardScansAreServedAsEverAndDutiesGoOnOnceItIsBack() throws Exception {
    long before = published();
    stewards.process(0).kill();
    stewards.process(0).waitFor(5000);
    for (RouterProcess gatherer : gatherers) {
      scan(gatherer);
    }
    gatherers.add(gatherer("g3", stewards.addresses(), List.of()));
    scan(gatherers.get(3));
    stewards.start(0);
    until(this::published, revision -> revision > before);
    until(() -> client.state().members().size(), count -> count == 4);
    client.operate(Kind.DRAIN, "g" + owner(), "");
    long token = report().fencingToken();
    until(this::report, duty -> duty.publishingToken() > token);
  }

  @Test
  void switchedOffNothingOfItIsLoadedAndNoThreadOfItRuns() throws Exception {
    Path loaded = folder.resolve("classes.log");
    RouterProcess plain = gatherer("plain", List.of(), List.of("-Xlog:class+load:file=" + loaded));
    gatherers.add(plain);
    scan(plain);
    plain.terminate();
    assertThat(plain.waitFor(10_000)).isZero();
    assertThat(Files.readString(loaded))
        .contains("tidebank.policy.RoutingPolicy")
        .doesNotContain("tidebank.fleet.")
        .doesNotContain("tidebank.lease.");
  }
}
