package tidebank.testbed.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static tidebank.testbed.fleet.Polling.TIMEOUT_MS;
import static tidebank.testbed.fleet.Polling.pollUntil;

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
 * Tests of singleton tasks with three routers and a coordinator in separate processes. The lease
 * holder of the fleet's report is suspended, resumed, killed and terminated while it works.
 */
@Timeout(120)
class TasksTest {

  @TempDir private Path folder;
  private CoordinatorProcesses coordinators;
  private CoordinatorClient client;
  private final List<RouterProcess> routers = new ArrayList<>();
  private final HttpClient http = HttpClient.newHttpClient();
  private int queriesSent;

  @BeforeEach
  void startProcesses() throws Exception {
    coordinators =
        new CoordinatorProcesses(
            folder,
            1,
            "[duties]\nnames = [\"report\"]\n[lease]\nms = 1000\n[election]\nms = 200\n");
    client = new CoordinatorClient(coordinators.addresses(), TIMEOUT_MS);
    for (int i = 0; i < 3; i++) {
      routers.add(startRouter("g" + i, coordinators.addresses(), List.of()));
    }
    pollUntil(this::publishedRevision, revision -> revision > 0);
  }

  @AfterEach
  void stopProcesses() {
    routers.forEach(RouterProcess::close);
    coordinators.close();
  }

  private RouterProcess startRouter(
      String name, List<String> coordinatorAddresses, List<String> jvmFlags) throws IOException {
    return RouterProcesses.start(folder, name, coordinatorAddresses, 250, jvmFlags);
  }

  private TaskLease reportLease() throws Exception {
    return pollUntil(client::state, state -> !state.tasks().isEmpty()).tasks().get(0);
  }

  private long publishedRevision() throws Exception {
    return reportLease().revision();
  }

  private int holderIndex() throws Exception {
    String name = pollUntil(this::reportLease, lease -> !lease.holder().isEmpty()).holder();
    return Integer.parseInt(name.substring(1, 2));
  }

  /** Sends a query, which a router without shard servers rejects and counts as throttled. */
  private void sendQuery(RouterProcess router) throws Exception {
    InetSocketAddress address = router.awaitAddress();
    int status =
        http.send(
                HttpRequest.newBuilder(
                        URI.create("http://127.0.0.1:" + address.getPort() + "/checkout"))
                    .header("X-Correlation-Id", Long.toHexString(++queriesSent + (1L << 40)))
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
   * Returns the sum of the throttled queries in all published reports: the latest one and those
   * before it, each of which names its predecessor.
   */
  private long countReportedQueries() throws Exception {
    long sum = 0;
    long laterToken = Long.MAX_VALUE;
    long revision = publishedRevision();
    for (String name = reportLease().value(); !name.isEmpty(); ) {
      FleetReport report = readReport(name);
      assertThat(report.fencingToken())
          .as("fencing tokens never decrease")
          .isLessThanOrEqualTo(laterToken);
      assertThat(report.number()).isGreaterThanOrEqualTo(revision--);
      laterToken = report.fencingToken();
      sum += report.window().getOrDefault("scans.throttled", 0L);
      name = report.previous();
    }
    return sum;
  }

  private FleetReport readReport(String name) throws IOException {
    Path file = RouterProcesses.sharedFolder(folder).resolve("reports").resolve(name);
    return LeaseCodec.read(Files.readAllBytes(file), FleetReport.class);
  }

  /** Waits until the published reports contain every query sent. */
  private void awaitAllQueriesReported() throws Exception {
    pollUntil(this::countReportedQueries, count -> count == queriesSent);
  }

  /**
   * Guards against queries that are counted twice or lost: a holder is suspended past the end of
   * its lease and resumes its unfinished report after its successor has published one.
   */
  @Test
  void resumedHolderWithExpiredLeaseDoesNotAlterReports() throws Exception {
    for (int round = 0; round < 3; round++) {
      for (RouterProcess router : routers) {
        sendQuery(router);
      }
      int holder = holderIndex();
      long token = reportLease().fencingToken();
      routers.get(holder).suspend();
      pollUntil(
          this::reportLease,
          lease -> lease.fencingToken() > token && lease.publishingToken() > token);
      routers.get(holder).resume();
      // The resumed router is a member again, and its unfinished report was not published.
      pollUntil(
          client::state,
          state ->
              state.members().stream()
                      .filter(member -> member.expiresAt() > state.leaderClock())
                      .count()
                  == 3);
      sendQuery(routers.get(holder));
    }
    awaitAllQueriesReported();
    assertThat(countReportedQueries()).isEqualTo(12);
  }

  /**
   * Guards against queries that are counted twice when a killed holder restarts under the same
   * name, with counters that start from zero.
   */
  @Test
  void killedHoldersTaskIsTakenOverAndNoQueryIsCountedTwice() throws Exception {
    int holder = holderIndex();
    sendQuery(routers.get(holder));
    awaitAllQueriesReported();
    routers.get(holder).close();
    long token = reportLease().fencingToken();
    pollUntil(this::reportLease, lease -> lease.publishingToken() > token);
    routers.set(holder, startRouter("g" + holder, coordinators.addresses(), List.of()));
    sendQuery(routers.get(holder));
    sendQuery(routers.get((holder + 1) % 3));
    awaitAllQueriesReported();
    assertThat(countReportedQueries()).isEqualTo(3);
  }

  /**
   * Guards against a task that stays unclaimed after its holder was terminated, and against a
   * report that does not name the members without new counters.
   */
  @Test
  void sigtermHandsTaskOverAndSilentMembersAreReported() throws Exception {
    int holder = holderIndex();
    long token = reportLease().fencingToken();
    routers.get(holder).terminate();
    assertThat(routers.get(holder).waitFor(10_000)).isZero();
    TaskLease successorLease =
        pollUntil(this::reportLease, lease -> lease.publishingToken() > token);
    assertThat(successorLease.holder()).isNotEqualTo("g" + holder);
    int silent = 3 - holder - holderIndex();
    routers.get(silent).suspend();
    pollUntil(
        () -> readReport(reportLease().value()),
        report -> report.silentMembers().equals(List.of("g" + silent)));
    routers.get(silent).resume();
    pollUntil(() -> readReport(reportLease().value()), report -> report.silentMembers().isEmpty());
  }

  /**
   * Guards against routers that cannot serve or start while no coordinator runs, or that do not
   * join again after it restarts.
   */
  @Test
  void routersServeWithoutCoordinatorAndTasksResumeAfterwards() throws Exception {
    long revisionBefore = publishedRevision();
    coordinators.process(0).kill();
    coordinators.process(0).waitFor(5000);
    for (RouterProcess router : routers) {
      sendQuery(router);
    }
    routers.add(startRouter("g3", coordinators.addresses(), List.of()));
    sendQuery(routers.get(3));
    coordinators.start(0);
    pollUntil(this::publishedRevision, revision -> revision > revisionBefore);
    pollUntil(() -> client.state().members().size(), count -> count == 4);
    client.sendOperatorCommand(Kind.DRAIN, "g" + holderIndex(), "");
    long token = reportLease().fencingToken();
    pollUntil(this::reportLease, lease -> lease.publishingToken() > token);
  }

  /** Guards against fleet code and its threads in a router that is not configured for a fleet. */
  @Test
  void routerWithoutFleetLoadsNoFleetClasses() throws Exception {
    Path loadedClasses = folder.resolve("classes.log");
    RouterProcess standalone =
        startRouter("plain", List.of(), List.of("-Xlog:class+load:file=" + loadedClasses));
    routers.add(standalone);
    sendQuery(standalone);
    standalone.terminate();
    assertThat(standalone.waitFor(10_000)).isZero();
    assertThat(Files.readString(loadedClasses))
        .contains("tidebank.policy.RoutingPolicy")
        .doesNotContain("tidebank.fleet.")
        .doesNotContain("tidebank.lease.");
  }
}
