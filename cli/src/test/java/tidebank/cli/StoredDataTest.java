package tidebank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import tidebank.capture.CaptureRecord;
import tidebank.capture.CaptureRecorder;
import tidebank.capture.CaptureSegments;
import tidebank.model.Action;

/**
 * Captures, traces and results that an earlier build stored, as the commands show them. What is
 * expected lies beside as files; {@code -Dtests.excluded=} writes those anew.
 */
@Timeout(120)
class StoredDataTest {
  private static final Path EXPECTED = Path.of("src/test/resources/fixtures");
  private static final String CAPTURES = "../router/src/test/resources/fixtures/capture/";
  private static final String TRACE = "../testbed/src/test/resources/fixtures/trace/small.parquet";
  private static final String RUNS = "src/test/resources/fixtures/results/";

  /** Written with a run, and not stored as they are large. */
  private static final Set<String> LEFT_OUT = Set.of("capture", "report.html");

  private static final boolean WRITE = "write".equals(System.getProperty("tidebank.fixtures"));

  private int exitCode;
  private String out;

  private void run(String... args) {
    StringWriter told = new StringWriter();
    StringWriter faults = new StringWriter();
    exitCode =
        Tidebank.commandLine()
            .setOut(new PrintWriter(told))
            .setErr(new PrintWriter(faults))
            .execute(args);
    out = told.toString();
    assertThat(faults.toString()).isEmpty();
  }

  private JsonNode json(String... args) throws IOException {
    run(args);
    return new ObjectMapper().readTree(out);
  }

  private static void assertAsStored(String name, String text) throws IOException {
    Path file = EXPECTED.resolve(name);
    if (WRITE) {
      Files.createDirectories(file.getParent());
      Files.writeString(file, text);
    }
    assertThat(text).isEqualTo(Files.readString(file));
  }

  private static void assertPathsAsStored(String name, JsonNode node) throws IOException {
    assertAsStored(name, String.join("\n", JsonPaths.of(node)) + "\n");
  }

  /** The result of a command for one file, apart from where that lies. */
  private static JsonNode only(JsonNode result) {
    assertThat(result).hasSize(1);
    return result.elements().next();
  }

  // ---- captures

  @ParameterizedTest
  @CsvSource({"every-kind", "digest", "whole", "busy"})
  void captureInfoIsAsItWas(String name) throws IOException {
    run("capture", "info", CAPTURES + name, "--json");
    assertThat(exitCode).isZero();
    assertAsStored("capture/" + name + ".info.json", out);

    run("capture", "info", CAPTURES + name);
    assertThat(exitCode).isZero();
    assertAsStored("capture/" + name + ".info.txt", out);
  }

  @ParameterizedTest
  @ValueSource(strings = {"digest", "whole", "busy"})
  void captureReplayIsAsItWas(String name) throws IOException {
    ObjectNode result = (ObjectNode) json("capture", "replay", CAPTURES + name, "--json");

    assertThat(exitCode).isZero();
    assertPathsAsStored("capture/" + name + ".replay.paths", result);
    result.remove("times_real");
    assertAsStored("capture/" + name + ".replay.json", result.toString());
  }

  @Test
  void aDivergingReplayIsToldAsItWas(@TempDir Path folder) throws IOException {
    List<CaptureRecord> stored =
        CaptureSegments.read(Path.of(CAPTURES + "whole/capture-00000000.tbc")).records();
    CaptureRecord.PolicyStarted start = (CaptureRecord.PolicyStarted) stored.get(0);
    CaptureRecord.DecisionRound turn = (CaptureRecord.DecisionRound) stored.get(1);
    try (CaptureRecorder recorder =
        new CaptureRecorder(
            new CaptureRecorder.Config(folder, true, 16, 1 << 20, 1 << 30, false), () -> 0)) {
      recorder.policyStarted(start.settings(), start.seed());
      recorder.roundDecided(
          turn.nowUs(), turn.events(), List.of(new Action.LogNote("another decision")));
    }

    JsonNode result = json("capture", "replay", folder.toString(), "--json");

    assertThat(exitCode).isEqualTo(1);
    assertPathsAsStored("capture/diverging.replay.paths", result);
    assertThat(result.path("divergence").path("turn").asLong()).isZero();
    assertThat(result.path("divergence").path("then").asText()).contains("another decision");
  }

  @Test
  void captureShowIsOfTheFormItWas() throws IOException {
    JsonNode shown = json("capture", "show", CAPTURES + "whole", "--json", "--turns", "50");

    assertThat(exitCode).isZero();
    assertPathsAsStored("capture/whole.show.paths", shown);
    for (JsonNode turn : shown) {
      ((ObjectNode) turn).put("lines", turn.path("lines").size());
    }
    assertAsStored("capture/whole.show.json", shown.toString());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "ListSeen",
        "ScanTaken",
        "PartTaken",
        "DispatchEnded",
        "ScanLapsed",
        "Ending",
        "TimerDue",
        "Probed",
        "dispatchended",
        "nothing"
      })
  void eventsAreFilteredByTheKindsThereWere(String kind) throws IOException {
    JsonNode shown =
        json("capture", "show", CAPTURES + "busy", "--json", "--turns", "9999", "--kind", kind);

    assertThat(exitCode).isZero();
    StringBuilder turns = new StringBuilder();
    for (JsonNode turn : shown) {
      turns.append(turn.path("turn").asLong()).append(' ').append(turn.path("lines").size());
      turns.append('\n');
    }
    assertAsStored("capture/busy.show." + kind.toLowerCase(Locale.ROOT) + ".txt", turns.toString());
  }

  // ---- traces

  @Test
  void traceShowIsAsItWas() throws IOException {
    run("trace", "show", TRACE, "--rows", "5", "--json");
    assertThat(exitCode).isZero();
    assertAsStored("trace/show.json", out);

    run("trace", "show", TRACE, "--rows", "5", "--from-s", "1");
    assertThat(exitCode).isZero();
    assertAsStored("trace/show.txt", out.substring(out.indexOf(": ")));
  }

  @Test
  void traceStatsAreAsTheyWere() throws IOException {
    JsonNode stats = json("trace", "stats", TRACE, "--json");
    assertThat(exitCode).isZero();
    assertAsStored("trace/stats.json", only(stats).toPrettyString());

    run("trace", "stats", TRACE);
    assertThat(exitCode).isZero();
    assertAsStored("trace/stats.txt", out.substring(out.indexOf(": ")));
  }

  // ---- results of replays

  @Test
  void twoStoredRunsCompareAsTheyDid() throws IOException {
    JsonNode compared = json("trace", "compare", RUNS + "first", RUNS + "second", "--json");
    assertThat(exitCode).isZero();
    assertPathsAsStored("results/compare.paths", compared);
    assertAsStored("results/compare.json", out);

    run("trace", "compare", RUNS + "first", RUNS + "second");
    assertThat(exitCode).isZero();
    assertAsStored("results/compare.txt", out);
  }

  @Test
  void aNewRunsFilesHaveTheFormOfTheStoredOnes(@TempDir Path folder) throws IOException {
    JsonNode report = play(folder, 1);
    Path run = Path.of(report.path("folder").asText());

    Set<String> names = names(run);
    assertThat(names).contains("capture", "report.html");
    names.removeAll(LEFT_OUT);
    assertThat(names).isEqualTo(names(Path.of(RUNS + "first")));
    for (String file : new String[] {"manifest.json", "report.json"}) {
      // Which scans ended how is chance's.
      assertThat(steady(run.resolve(file)))
          .as(file)
          .isEqualTo(steady(Path.of(RUNS + "first").resolve(file)));
    }
  }

  private static Set<String> steady(Path file) throws IOException {
    Set<String> paths = JsonPaths.of(new ObjectMapper().readTree(file.toFile()));
    paths.removeIf(path -> path.matches("\\$\\.(ends|by_table_type|broken_rules)\\..*"));
    return paths;
  }

  private static Set<String> names(Path folder) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      Set<String> names = new TreeSet<>();
      files.forEach(file -> names.add(file.getFileName().toString()));
      return names;
    }
  }

  private JsonNode play(Path runs, int seed) throws IOException {
    JsonNode report =
        json(
            "trace",
            "replay",
            TRACE,
            "--gatherers",
            "1",
            "--servers",
            "8",
            "--seconds",
            "3",
            "--runs",
            runs.toString(),
            "--seed",
            String.valueOf(seed),
            "--capture",
            "--json");
    assertThat(exitCode).as(out).isZero();
    return report;
  }

  @Test
  @Tag("fixture-writer")
  void writeRuns(@TempDir Path folder) throws IOException {
    for (String name : new String[] {"first", "second"}) {
      Path to = Path.of(RUNS + name);
      if (Files.exists(to)) {
        try (Stream<Path> old = Files.walk(to)) {
          for (Path file : old.sorted(Comparator.reverseOrder()).toList()) {
            Files.delete(file);
          }
        }
      }
      Files.createDirectories(to);
      Path run = Path.of(play(folder, name.length()).path("folder").asText());
      for (String file : names(run)) {
        if (!LEFT_OUT.contains(file)) {
          Files.copy(run.resolve(file), to.resolve(file));
        }
      }
    }
  }
}
