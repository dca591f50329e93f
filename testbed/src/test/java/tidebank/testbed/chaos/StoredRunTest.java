package tidebank.testbed.chaos;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tidebank.config.Toml;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseConfig;
import tidebank.lease.LeaseTableState;
import tidebank.lease.Member;
import tidebank.lease.OperatorSession;
import tidebank.lease.TaskLease;

/**
 * The files of a run as an earlier build stored them: what is read from them, and that they are
 * written the same. With {@code -Dtidebank.fixtures=write} they are written anew.
 */
class StoredRunTest {
  private static final Path STORED = Path.of("src/test/resources/fixtures/chaos/run");
  private static final LeaseConfig TERMS = new LeaseConfig(1_000_000, 0.05, 12, 4096);

  @TempDir private Path folder;

  private static ScriptRunner.Verdict verdict() {
    Map<String, List<Long>> gaps = new LinkedHashMap<>();
    gaps.put("kill", List.of(1_234_567L, 2L));
    gaps.put("silent up", List.of(5L));
    return new ScriptRunner.Verdict(
        "owner-killed",
        7,
        List.of("report 3 stands in place 2"),
        12_345_678,
        40,
        38,
        210,
        95,
        11,
        gaps);
  }

  private static History history() {
    History history = new History();
    history.recordEvent("g0", "kill g0");
    history.recordEvent("", "over");
    long number = 0;
    for (LeaseCommand.Kind kind : LeaseCommand.Kind.values()) {
      LeaseCommand command =
          new LeaseCommand(
              kind,
              "session-g0",
              ++number,
              "g0",
              "report",
              3,
              4,
              "report-1.json",
              kind == LeaseCommand.Kind.PLAN
                  ? new LeaseCommand.Plan(TERMS, List.of("report", "retention"))
                  : null);
      history.recordSentCommand("g0", command);
      if (kind == LeaseCommand.Kind.CLAIM) {
        history.recordResult(
            command,
            new CommandResult(
                null,
                List.of(new CommandResult.Grant("report", 3)),
                List.of("retention"),
                TERMS,
                4));
      } else if (kind == LeaseCommand.Kind.PUBLISH) {
        history.recordResult(command, new CommandResult(refused(), null, null, null, 5));
      }
    }
    history.recordRead("g1", 0, state());
    return history;
  }

  private static TidebankException.Details refused() {
    return new TidebankException.Details(
        "TB-1004", "the token is old", TidebankException.Retry.LATER, "Nothing needs doing.");
  }

  private static LeaseTableState state() {
    CommandResult answer = new CommandResult(null, List.of(), List.of(), TERMS, 0);
    return new LeaseTableState(
        TERMS,
        2,
        1_500_000,
        9,
        List.of(new Member("g0", "session-g0", 2_000_000, 1_700_000, 1, false, true, 12, answer)),
        List.of(
            new TaskLease(
                "report", 3, "g0", "session-g0", 2_100_000, "g1", "g0", 4, 3, "report-1.json")),
        List.of(new OperatorSession("session-op", 2, answer)));
  }

  private void write(Path to) throws Exception {
    Script script = Script.read("owner-killed");
    Files.writeString(to.resolve("script.toml"), script.toToml());
    RunArtifacts.write(to, script, history(), verdict());
    Path lines = to.resolve("history.jsonl");
    Files.writeString(lines, untimed(Files.readString(lines)));
  }

  /** When something was seen differs from run to run. */
  private static String untimed(String lines) {
    return lines.replaceAll("\"(at|call|back)\":\\d+", "\"$1\":0");
  }

  @Test
  void aRunIsWrittenAsItWas() throws Exception {
    if ("write".equals(System.getProperty("tidebank.fixtures"))) {
      write(Files.createDirectories(STORED));
      for (String large : List.of("timeline.svg", "report.html")) {
        Files.delete(STORED.resolve(large));
      }
    }

    write(folder);

    for (String file : List.of("verdict.json", "history.jsonl", "script.toml")) {
      assertThat(folder.resolve(file)).hasSameTextualContentAs(STORED.resolve(file));
    }
  }

  @Test
  void theVerdictOfAStoredRunIsRead() throws Exception {
    assertThat(RunArtifacts.readVerdict(STORED)).isEqualTo(verdict());
    assertThat(RunArtifacts.replayCommand(verdict(), STORED))
        .isEqualTo("bin/tidebank chaos run owner-killed");
  }

  @Test
  void theScriptOfAStoredRunIsReadAndWrittenTheSame() throws Exception {
    String stored = Files.readString(STORED.resolve("script.toml"));
    Script script = Script.read(Toml.read("script.toml", stored), "owner-killed");

    assertThat(script).isEqualTo(Script.read("owner-killed"));
    assertThat(script.toToml()).isEqualTo(stored);
  }

  @Test
  void everyWordAScriptCanHaveIsReadAndWrittenTheSame() throws Exception {
    Path all = STORED.resolveSibling("every-word.toml");
    Script script = Script.read(Toml.read(all), "every-word");

    assertThat(script.toToml()).isEqualTo(Files.readString(all));
    assertThat(script.steps().stream().map(Script.Step::condition))
        .contains(Script.Condition.values());
    assertThat(script.steps().stream().map(Script.Step::operation))
        .contains(Script.Operation.values());
    assertThat(script.steps().stream().map(Script.Step::fault)).contains(FaultyLink.Fault.values());
  }

  @Test
  void scriptsDrawnFromSeedsAreTheSame() throws Exception {
    Path drawn = STORED.resolveSibling("drawn.toml");
    StringBuilder all = new StringBuilder();
    for (long seed = 1; seed <= 20; seed++) {
      all.append("# ")
          .append(seed)
          .append('\n')
          .append(RandomScript.generate(seed).toToml())
          .append('\n');
    }

    if ("write".equals(System.getProperty("tidebank.fixtures"))) {
      Files.writeString(drawn, all);
    }
    assertThat(all.toString()).isEqualTo(Files.readString(drawn));
  }

  @Test
  void linesOfAStoredHistoryAreJsonOfTheseKinds() throws Exception {
    ObjectMapper json = new ObjectMapper();
    for (String line : Files.readAllLines(STORED.resolve("history.jsonl"))) {
      assertThat(json.readTree(line).fieldNames().next()).isIn("event", "asked", "read");
    }
  }
}
