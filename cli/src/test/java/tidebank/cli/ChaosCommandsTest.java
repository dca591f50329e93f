package tidebank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The rig as one at the command line has it. */
@Timeout(120)
class ChaosCommandsTest {
  @TempDir private Path folder;
  private String out;
  private String err;

  private int run(String... args) {
    StringWriter told = new StringWriter();
    StringWriter faults = new StringWriter();
    CommandLine line =
        Tidebank.commandLine().setOut(new PrintWriter(told)).setErr(new PrintWriter(faults));
    int code = line.execute(args);
    out = told.toString();
    err = faults.toString();
    return code;
  }

  @Test
  void aScriptIsListedPlayedKeptAndShown() throws Exception {
    assertThat(run("chaos", "list")).isZero();
    assertThat(out).contains("owner-killed").contains("An owner is killed");
    assertThat(run("chaos", "run", "owner-killed", "--json", "--keep", "--out", folder.toString()))
        .as(out + err)
        .isZero();
    JsonNode verdict = new ObjectMapper().readTree(out);
    assertThat(verdict.path("broken").size()).isZero();
    assertThat(verdict.path("gaps").path("kill").size()).isEqualTo(1);
    Path run;
    try (Stream<Path> runs = Files.list(folder)) {
      run = runs.findFirst().orElseThrow();
    }
    assertThat(run("chaos", "show", run.toString())).isZero();
    assertThat(out)
        .contains("owner-killed")
        .contains("held")
        .contains("again: bin/tidebank chaos run owner-killed");
    assertThat(run("chaos", "show", run.toString(), "--json")).isZero();
    assertThat(new ObjectMapper().readTree(out)).isEqualTo(verdict);
  }

  @Test
  void whatIsWrongIsNamedWithWhatToDo() {
    assertThat(run("chaos", "run", "no-such")).isEqualTo(1);
    assertThat(err).contains("TB-1201").contains("chaos list");
    assertThat(run("chaos", "show", folder.toString())).isEqualTo(1);
    assertThat(err).contains("TB-1202").contains("--keep");
    for (String[] wrong :
        new String[][] {
          {}, {"--seeds", "5..1"}, {"--seeds", "x"}, {"owner-killed", "--at-once", "0"}
        }) {
      String[] all =
          Stream.concat(Stream.of("chaos", "run"), Stream.of(wrong)).toArray(String[]::new);
      assertThat(run(all)).as(String.join(" ", all)).isEqualTo(2);
    }
    assertThat(run("chaos", "load", "--stewards", "2", "--agents", "1")).isEqualTo(2);
  }

  @Test
  void theLoadOnAStewardIsMeasured() {
    assertThat(
            run(
                "chaos",
                "load",
                "--stewards",
                "1",
                "--agents",
                "5",
                "--commands",
                "50",
                "--seconds",
                "60"))
        .as(err)
        .isZero();
    String[] row = out.lines().skip(1).findFirst().orElseThrow().trim().split(" +");
    assertThat(row).hasSize(10);
    assertThat(Integer.parseInt(row[2])).as("commands").isGreaterThanOrEqualTo(50);
    assertThat(Integer.parseInt(row[3])).as("made again").isZero();
    assertThat(Integer.parseInt(row[7])).as("MB of the leader").isBetween(20, 400);
  }
}
