package tidebank.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import tidebank.config.MalformedInputException;
import tidebank.testbed.account.QueryRecord;
import tidebank.testbed.deployment.Deployment;
import tidebank.testbed.replay.Incident;
import tidebank.testbed.replay.Incident.Kind;
import tidebank.testbed.replay.Replay;
import tidebank.testbed.report.Comparison;
import tidebank.testbed.report.RunFolder;
import tidebank.testbed.trace.TraceRow;

/**
 * Replays short traces against router processes, between emulated clients, shard servers and
 * discovery.
 */
@Timeout(60)
class ReplayTest {
  private static final long S = 1_000_000;

  @TempDir Path folder;

  private static List<TraceRow> rows(int seconds, int rowsPerS) {
    List<TraceRow> rows = new ArrayList<>();
    for (int i = 0; i < seconds * rowsPerS; i++) {
      String queryClass =
          i % 4 == 0 ? "delivery-confirm" : i % 4 == 1 ? "depot-manifest" : "network-trace";
      int parts =
          queryClass.equals("network-trace") ? 8 : queryClass.equals("depot-manifest") ? 3 : 1;
      rows.add(
          new TraceRow(
              i * S / rowsPerS,
              queryClass,
              i % 24,
              parts,
              "k" + i % 50,
              parts == 1 ? 1 : 0.4,
              4000,
              "acc" + i % 3));
    }
    return rows;
  }

  private Replay.Outcome replay(List<TraceRow> rows, List<Incident> incidents, RunFolder run)
      throws Exception {
    Replay replay =
        new Replay(
            new Replay.Plan(Deployment.standard(), 2, 6, 1, incidents), run::add, sent -> {});
    return replay.run(rows.iterator());
  }

  /** Guards against queries lost, rules violated or a report incomplete without any incident. */
  @Test
  void replayWithoutIncidentsCompletesAllAndWritesReport() throws Exception {
    RunFolder run = RunFolder.create(folder, "calm");
    Replay.Outcome outcome = replay(rows(2, 60), List.of(), run);
    assertThat(outcome.violations()).isEmpty();
    assertThat(outcome.scoreSummary().countByOutcome())
        .isEqualTo(Map.of(QueryRecord.Outcome.COMPLETED, 120L));
    assertThat(outcome.scoreSummary().score()).isEqualTo(1);
    assertThat(outcome.checkedQueries()).isEqualTo(120);
    assertThat(outcome.attempts()).isGreaterThanOrEqualTo(30 + 30 * 3 + 60 * 8);
    assertThat(outcome.exitCodes()).isEqualTo(Map.of("g0", 0, "g1", 0));
    run.finish(outcome, Map.of("trace", "calm"));
    assertThat(run.folder().resolve("report.html"))
        .content()
        .contains("<svg")
        .contains("All six rules were kept")
        .doesNotContain("<script");
    assertThat(Comparison.of(run.folder(), run.folder()).difference()).isZero();
    assertThat(Files.readString(run.folder().resolve("latency.hlog"))).contains("lateness_us");
  }

  /**
   * Guards against routers that violate a rule when servers drain or fail, and against a replay
   * that can't go on after a router was killed.
   */
  @Test
  void drainedAndFailedServersAndKilledRouterKeepRules() throws Exception {
    RunFolder run = RunFolder.create(folder, "trouble");
    Replay.Outcome outcome =
        replay(
            rows(4, 60),
            List.of(
                new Incident(S / 2, Kind.SERVER_DRAINS, 1),
                new Incident(S, Kind.ROSTER_GONE, 1),
                new Incident(S, Kind.SERVER_DIES, 4),
                new Incident(2 * S, Kind.SERVER_BACK, 4),
                new Incident(3 * S / 2, Kind.GATHERER_KILLED, 1)),
            run);
    assertThat(outcome.violations()).isEmpty();
    assertThat(outcome.scoreSummary().queries()).isEqualTo(240);
    assertThat(outcome.scoreSummary().wholeRun()).isGreaterThan(0.6);
    assertThat(outcome.exitCodes()).containsEntry("g0", 0).containsEntry("g1", 0);
    run.close();
  }

  /** Guards against replays of one trace and seed that can't be compared with each other. */
  @Test
  void sameSeedSendsSameQueriesAtSameIntendedTimes() throws Exception {
    List<List<String>> sent = new ArrayList<>();
    for (int round = 0; round < 2; round++) {
      ConcurrentLinkedQueue<QueryRecord> records = new ConcurrentLinkedQueue<>();
      new Replay(
              new Replay.Plan(Deployment.standard(), 1, 4, 5, List.of()), records::add, count -> {})
          .run(rows(1, 50).iterator());
      sent.add(
          records.stream()
              .sorted((a, b) -> Long.compare(a.number(), b.number()))
              .map(
                  record -> record.number() + " " + record.queryClass() + " " + record.intendedUs())
              .toList());
    }
    assertThat(sent.get(0)).hasSize(50).isEqualTo(sent.get(1));
  }

  /** Guards against an unclear message, or router processes left behind, when a replay fails. */
  @Test
  void unknownQueryClassIsNamedAndRoutersAreStopped() {
    List<TraceRow> rows = List.of(new TraceRow(0, "unheard-of", 0, 1, "", 1, 1000, ""));
    assertThatThrownBy(
            () ->
                new Replay(
                        new Replay.Plan(Deployment.standard(), 1, 3, 1, List.of()),
                        record -> {},
                        sent -> {})
                    .run(rows.iterator()))
        .hasMessageContaining("unheard-of")
        .hasMessageContaining("network-trace");
    assertThat(
            ProcessHandle.current()
                .descendants()
                .filter(child -> child.info().commandLine().orElse("").contains("tidebank.Main")))
        .isEmpty();
  }

  /** Guards against values or faults of a deployment file that are ignored without a message. */
  @Test
  void deploymentFileOverridesDefaultsAndFaultsAreNamed() throws Exception {
    Path file =
        Files.writeString(
            folder.resolve("site.toml"),
            "shards = 8\n[servers]\nslots = 2\n[[table_type]]\n"
                + "name = 'a'\nrepeat = 'replayable'\ntarget_ms = 300\ntimeout_ms = 900\n");
    Deployment deployment = Deployment.read(file);
    assertThat(deployment.shards()).isEqualTo(8);
    assertThat(deployment.types()).containsOnlyKeys("a");
    assertThat(deployment.width()).isEqualTo(Deployment.standard().width());
    Files.writeString(
        file,
        "shard = 8\n"
            + "[[table_type]]\n"
            + "name = 'a'\n"
            + "repeat = 'keyed'\n"
            + "target_ms = 300\n"
            + "timeout_ms = 9\n");
    assertThatThrownBy(() -> Deployment.read(file))
        .isInstanceOf(MalformedInputException.class)
        .hasMessageContaining("site.toml:1: shard: unknown key; did you mean \"shards\"?")
        .hasMessageContaining("site.toml:4: table_type[0].repeat")
        .hasMessageContaining("site.toml:6: table_type[0].timeout_ms");
  }
}
