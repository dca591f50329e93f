package tidebank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

/** The scale run as one at the command line has it. */
@Timeout(120)
class ScaleCommandsTest {
  private static final String TINY =
      """
      seed = 5
      repeats = 1
      list_changes = 2
      [gatherers]
      sizes = [1, 2, 3, 4, 5]
      beside_shard_servers = 20
      [shard_servers]
      sizes = [10, 20, 30, 40, 50]
      beside_gatherers = 2
      """;

  private static final int SIZES = 9;
  private static final int QUANTITIES = 19;

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

  private Path write(String name, String text) throws Exception {
    return Files.writeString(folder.resolve(name), text);
  }

  @Test
  void aTinyLadderIsRunFittedAndPutIntoAPage() throws Exception {
    Path profile = write("tiny.toml", TINY);
    Path results = folder.resolve("results");
    Path page = folder.resolve("page.md");
    Files.copy(Path.of("..", "docs", "CAPACITY.md"), page);

    assertThat(run("scale", "run", profile.toString(), "--out", results.toString(), "--json"))
        .as(out + err)
        .isZero();
    assertThat(new ObjectMapper().readTree(out).path("points").asInt())
        .isEqualTo(SIZES * QUANTITIES);
    assertThat(err).contains("warming up at 1 x 20", "9/9: 2 x 50 shard servers, repeat 1");
    assertThat(Files.readAllLines(results.resolve("points.csv")))
        .hasSize(1 + SIZES * QUANTITIES)
        .startsWith("gatherers,servers,role,quantity,unit,value,repeat,seed");

    assertThat(run("scale", "fit", results.toString(), "--json")).as(out + err).isZero();
    JsonNode fits = new ObjectMapper().readTree(out);
    assertThat(fits).isEqualTo(new ObjectMapper().readTree(results.resolve("fits.json").toFile()));
    assertThat(run("scale", "fit", results.toString())).isZero();
    assertThat(out).contains("first-list-bytes", "bytes a shard server");

    String[] write = {
      "scale",
      "page",
      results.toString(),
      "--target",
      Path.of("..", "deploy", "scale", "target.toml").toString(),
      "--file",
      page.toString()
    };
    assertThat(run(write)).as(out + err).isZero();
    assertThat(out).contains("written");
    assertThat(Files.readString(page)).contains("Run of `tiny.toml`");
    assertThat(run(write)).isZero();
    assertThat(out).contains("as it was");
  }

  @Test
  void whatIsWrongIsNamed() throws Exception {
    Path profile = write("wrong.toml", TINY.replace("repeats", "repetas"));
    Path results = folder.resolve("results");

    assertThat(run("scale", "run", profile.toString(), "--out", results.toString()))
        .isEqualTo(Tidebank.WRONG);
    assertThat(err).contains("wrong.toml:2", "repeats");
    assertThat(results).doesNotExist();
    assertThat(run("scale", "fit", results.toString())).isEqualTo(Tidebank.FAILED);
    assertThat(run("scale")).isEqualTo(Tidebank.WRONG);
  }

  @Test
  void aSizeBeyondTheMemoryEndsTheRunWithAPlainError() throws Exception {
    Path profile =
        write("large.toml", TINY.replace("4, 5]", "4, 10000]").replace("= 20\n", "= 2000\n"));

    assertThat(run("scale", "run", profile.toString(), "--out", folder.resolve("r").toString()))
        .isEqualTo(Tidebank.FAILED);
    assertThat(err).contains("half of the machine's memory").doesNotContain("Exception");
  }
}
