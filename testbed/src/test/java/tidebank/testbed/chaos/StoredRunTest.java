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
 * Reads the files of a run that an earlier build stored, and checks that they are still written the
 * same. With {@code -Dtidebank.fixtures=write} the fixtures are written again.
 */
class StoredRunTest {
  private static final Path STORED = Path.of("src/test/resources/fixtures/chaos/run");
  private static final LeaseConfig CONFIG = new LeaseConfig(1_000_000, 0.05, 12, 4096);

  @TempDir private Path folder;

  private static ScriptRunner.Verdict verdict() {
    Map<String, List<Long>> unownedIntervals = new LinkedHashMap<>();
    unownedIntervals.put("kill", List.of(1_234_567L, 2L));
    unownedIntervals.put("silent up", List.of(5L));
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
        unownedIntervals);
  }

  private static History history() {
    History history = new History();
    history.recordEvent("g0", "kill g0");
    history.recordEvent("", "over");
    long sequence = 0;
    for (LeaseCommand.Kind kind : LeaseCommand.Kind.values()) {
      LeaseCommand command =
          new LeaseCommand(
              kind,
              "session-g0",
              ++sequence,
              "g0",
              "report",
              3,
              4,
              "report-1.json",
              kind == LeaseCommand.Kind.PLAN
                  ? new LeaseCommand.Plan(CONFIG, List.of("report", "retention"))
                  : null);
      history.recordSentCommand("g0", command);
      if (kind == LeaseCommand.Kind.CLAIM) {
        history.recordResult(
            command,
            new CommandResult(
                null,
                List.of(new CommandResult.Grant("report", 3)),
                List.of("retention"),
                CONFIG,
                4));
      } else if (kind == LeaseCommand.Kind.PUBLISH) {
        history.recordResult(command, new CommandResult(publicationError(), null, null, null, 5));
      }
    }
    history.recordRead("g1", 0, state());
    return history;
  }

  private static TidebankException.Details publicationError() {
    return new TidebankException.Details(
        "TB-1004", "the token is old", TidebankException.Retry.LATER, "Nothing needs doing.");
  }

  private static LeaseTableState state() {
    CommandResult lastResult = new CommandResult(null, List.of(), List.of(), CONFIG, 0);
    return new LeaseTableState(
        CONFIG,
        2,
        1_500_000,
        9,
        List.of(
            new Member("g0", "session-g0", 2_000_000, 1_700_000, 1, false, true, 12, lastResult)),
        List.of(
            new TaskLease(
                "report", 3, "g0", "session-g0", 2_100_000, "g1", "g0", 4, 3, "report-1.json")),
        List.of(new OperatorSession("session-op", 2, lastResult)));
  }

  private void writeRun(Path target) throws Exception {
    Script script = Script.read("owner-killed");
    Files.writeString(target.resolve("script.toml"), script.toToml());
    RunArtifacts.write(target, script, history(), verdict());
    Path historyFile = target.resolve("history.jsonl");
    Files.writeString(historyFile, withoutTimes(Files.readString(historyFile)));
  }

  /** Replaces all times by 0, because they differ from run to run. */
  private static String withoutTimes(String historyLines) {
    return historyLines.replaceAll("\"(at|call|back)\":\\d+", "\"$1\":0");
  }

  /** Guards against changes to the files of a run that readers of stored runs do not expect. */
  @Test
  void runFilesAreWrittenAsStored() throws Exception {
    if ("write".equals(System.getProperty("tidebank.fixtures"))) {
      writeRun(Files.createDirectories(STORED));
      for (String fileNotCompared : List.of("timeline.svg", "report.html")) {
        Files.delete(STORED.resolve(fileNotCompared));
      }
    }

    writeRun(folder);

    for (String file : List.of("verdict.json", "history.jsonl", "script.toml")) {
      assertThat(folder.resolve(file)).hasSameTextualContentAs(STORED.resolve(file));
    }
  }

  /** Guards against verdicts of earlier builds that can't be read any more. */
  @Test
  void verdictOfStoredRunIsRead() throws Exception {
    assertThat(RunArtifacts.readVerdict(STORED)).isEqualTo(verdict());
    assertThat(RunArtifacts.replayCommand(verdict(), STORED))
        .isEqualTo("bin/tidebank chaos run owner-killed");
  }

  /**
   * Guards against scripts of earlier builds that can't be read or that change when written again.
   */
  @Test
  void scriptOfStoredRunIsReadAndWrittenUnchanged() throws Exception {
    String stored = Files.readString(STORED.resolve("script.toml"));
    Script script = Script.read(Toml.read("script.toml", stored), "owner-killed");

    assertThat(script).isEqualTo(Script.read("owner-killed"));
    assertThat(script.toToml()).isEqualTo(stored);
  }

  /**
   * Guards against renamed conditions, operations and faults, which stored scripts contain by name.
   */
  @Test
  void everyScriptKeywordIsReadAndWrittenUnchanged() throws Exception {
    Path scriptFile = STORED.resolveSibling("every-word.toml");
    Script script = Script.read(Toml.read(scriptFile), "every-word");

    assertThat(script.toToml()).isEqualTo(Files.readString(scriptFile));
    assertThat(script.steps().stream().map(Script.Step::condition))
        .contains(Script.Condition.values());
    assertThat(script.steps().stream().map(Script.Step::operation))
        .contains(Script.Operation.values());
    assertThat(script.steps().stream().map(Script.Step::fault)).contains(FaultyLink.Fault.values());
  }

  /** Guards against changes to the random scripts, after which a seed no longer repeats its run. */
  @Test
  void seedsGenerateTheSameScripts() throws Exception {
    Path scriptsFile = STORED.resolveSibling("drawn.toml");
    StringBuilder scripts = new StringBuilder();
    for (long seed = 1; seed <= 20; seed++) {
      scripts
          .append("# ")
          .append(seed)
          .append('\n')
          .append(RandomScript.generate(seed).toToml())
          .append('\n');
    }

    if ("write".equals(System.getProperty("tidebank.fixtures"))) {
      Files.writeString(scriptsFile, scripts);
    }
    assertThat(scripts.toString()).isEqualTo(Files.readString(scriptsFile));
  }

  /** Guards against unknown kinds of lines in stored histories. */
  @Test
  void storedHistoryLinesHaveKnownKinds() throws Exception {
    ObjectMapper json = new ObjectMapper();
    for (String line : Files.readAllLines(STORED.resolve("history.jsonl"))) {
      assertThat(json.readTree(line).fieldNames().next()).isIn("event", "asked", "read");
    }
  }
}
