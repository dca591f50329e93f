package tidebank.testbed.chaos;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Execution;
import org.junit.jupiter.api.parallel.ExecutionMode;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Runs every built-in script on real processes, and one script with a coordinator that breaks the
 * clock drift bound, which the checks must find.
 */
@Timeout(180)
class ChaosTest {
  /** Scripts with a test method of their own, which KNOWN-RED.txt lists by its name. */
  private static final Set<String> SCRIPTS_WITH_OWN_TEST =
      Set.of("disk-older", "stewards-most-gone", "links-flap", "leaders-stopped");

  @TempDir private Path folder;

  static Stream<String> scripts() throws IOException {
    return Script.builtInNames().stream().filter(name -> !SCRIPTS_WITH_OWN_TEST.contains(name));
  }

  private ScriptRunner.Verdict run(Script script) throws IOException {
    return new ScriptRunner(script, 0, folder, line -> {}).run();
  }

  /**
   * Guards against violations of lease and publication rules, and lack of progress, under faults.
   */
  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest
  @MethodSource("scripts")
  void builtInScriptCausesNoViolation(String name) throws Exception {
    ScriptRunner.Verdict verdict = run(Script.read(name));
    assertThat(verdict.violations()).isEmpty();
    assertThat(verdict.publications()).isGreaterThanOrEqualTo(3);
  }

  /**
   * Has its own method so that KNOWN-RED.txt can list it: in one of four runs the cluster made no
   * progress for 30 s, for an unknown reason.
   */
  @Execution(ExecutionMode.CONCURRENT)
  @Test
  void allThatIsPromisedHoldsWhereAStewardComesBackWithAnOlderDisk() throws Exception {
    builtInScriptCausesNoViolation("disk-older");
  }

  /**
   * Has its own method so that KNOWN-RED.txt can list it: in one of two runs no coordinator
   * answered for 30 s.
   */
  @Execution(ExecutionMode.CONCURRENT)
  @Test
  void allThatIsPromisedHoldsWhereMostStewardsAreGone() throws Exception {
    builtInScriptCausesNoViolation("stewards-most-gone");
  }

  /**
   * Has its own method so that KNOWN-RED.txt can list it: on a fully loaded machine, with each of
   * the two scripts, the cluster made no progress for 30 s.
   */
  @Execution(ExecutionMode.CONCURRENT)
  @ParameterizedTest
  @ValueSource(strings = {"links-flap", "leaders-stopped"})
  void allThatIsPromisedHoldsWhereLinksFlapOrLeadersAreStopped(String name) throws Exception {
    builtInScriptCausesNoViolation(name);
  }

  /**
   * Guards against checks that miss a violation: the coordinator's clock runs 90 % fast, so it
   * grants leases that have not expired. The run's files must show the fault and how to repeat the
   * run.
   */
  @Execution(ExecutionMode.CONCURRENT)
  @Test
  void excessiveClockDriftIsFoundAndRunCanBeRepeated() throws Exception {
    Script withinBound = Script.read("owner-unheard");
    Script beyondBound =
        new Script(
            withinBound.name(),
            withinBound.description(),
            1,
            withinBound.members(),
            withinBound.leaseMs(),
            withinBound.maxClockDrift(),
            Map.of("s0", 1.9),
            withinBound.steps());
    ScriptRunner.Verdict verdict = run(beyondBound);
    assertThat(verdict.violations())
        .isNotEmpty()
        .allMatch(violation -> violation.contains("was granted at"));
    assertThat(RunArtifacts.readVerdict(folder)).isEqualTo(verdict);
    assertThat(Files.readString(folder.resolve("report.html")))
        .contains("broken")
        .contains("bin/tidebank chaos run owner-unheard");
    assertThat(Files.readString(folder.resolve("timeline.svg")))
        .contains("link first to stewards: silent up");
    assertThat(Files.readAllLines(folder.resolve("history.jsonl")))
        .hasSizeGreaterThan(verdict.commands());
    assertThat(List.of("s0", "g0", "g1", "g2"))
        .allMatch(process -> Files.exists(folder.resolve("logs/" + process + ".log")));
  }
}
