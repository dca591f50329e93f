package tidebank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import picocli.AutoComplete;
import picocli.CommandLine;
import tidebank.coordinator.CoordinatorClient;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.testbed.fleet.CoordinatorProcesses;

/** The command line as its users meet it: results, messages and exit codes. */
@Timeout(90)
class TidebankTest {
  private static final Path EXAMPLE = Path.of("../examples/traces/task_events.csv");

  @TempDir Path folder;
  private final StringWriter out = new StringWriter();
  private final StringWriter err = new StringWriter();

  private int run(String... args) {
    out.getBuffer().setLength(0);
    err.getBuffer().setLength(0);
    return Tidebank.commandLine()
        .setOut(new PrintWriter(out))
        .setErr(new PrintWriter(err))
        .execute(args);
  }

  private JsonNode json() throws Exception {
    return new ObjectMapper().readTree(out.toString());
  }

  private String trace() {
    String file = folder.resolve("t.parquet").toString();
    assertThat(run("trace", "import", EXAMPLE.toString(), "-o", file, "--json"))
        .as(err.toString())
        .isZero();
    return file;
  }

  private static void all(CommandLine command, List<CommandLine> to) {
    to.add(command);
    command.getSubcommands().values().forEach(sub -> all(sub, to));
  }

  @Test
  void everyCommandHasHelpAndAllComplete() {
    List<CommandLine> commands = new ArrayList<>();
    all(Tidebank.commandLine(), commands);
    assertThat(commands).hasSizeGreaterThan(14);
    for (CommandLine command : commands) {
      String name = command.getCommandSpec().qualifiedName();
      assertThat(command.getUsageMessage()).as(name).contains("Usage: " + name);
      assertThat(command.getCommandSpec().usageMessage().description()).as(name).isNotEmpty();
    }
    assertThat(AutoComplete.bash("tidebank", Tidebank.commandLine()))
        .contains("_picocli_tidebank_trace_replay");
  }

  @Test
  void wrongArgumentsAreTwoAndWhatFailsIsOne() {
    assertThat(run()).isEqualTo(2);
    assertThat(run("trace")).isEqualTo(2);
    assertThat(run("trace", "imprt")).isEqualTo(2);
    assertThat(err.toString()).contains("import");
    assertThat(run("trace", "replay", "none.parquet", "--gatherers", "0")).isEqualTo(2);
    assertThat(run("trace", "replay", "none.parquet")).isEqualTo(1);
    assertThat(err.toString()).contains("none.parquet: there is no such file");
    assertThat(run("trace", "mapping", "google-2011-task-event")).isEqualTo(2);
    assertThat(err.toString()).contains("did you mean \"google-2011-task-events\"?");
    assertThat(run("--log-form", "xml", "trace", "layouts")).isEqualTo(2);
    assertThat(run("serve", "--config", folder.resolve("none.toml").toString())).isEqualTo(2);
  }

  @Test
  void layoutsAreListedAndSniffed() throws Exception {
    assertThat(run("trace", "layouts", "--json")).isZero();
    assertThat(json().fieldNames()).toIterable().hasSize(8).contains("azure-2019-invocations");
    assertThat(run("trace", "layouts")).isZero();
    assertThat(out.toString()).contains("scheduling_class");
    assertThat(run("trace", "sniff", EXAMPLE.toString(), "--json")).isZero();
    assertThat(json().path("layout").asText()).isEqualTo("google-2011-task-events");
  }

  @Test
  void theExampleIsReadAndEveryLineAccountedFor() throws Exception {
    trace();
    JsonNode told = json();
    long rejected = 0;
    for (JsonNode count : told.path("rejected")) {
      rejected += count.asLong();
    }
    for (JsonNode count : told.path("left_out")) {
      rejected += count.asLong();
    }
    assertThat(told.path("rows_out").asLong() + rejected)
        .isEqualTo(told.path("lines_in").asLong())
        .isEqualTo(Files.readAllLines(EXAMPLE).size());
    assertThat(told.path("rejected").path("duplicate").asLong()).isGreaterThan(10);
  }

  @Test
  void aMappingsFaultIsTwoAndNamesItsLine() throws Exception {
    Path mapping =
        Files.writeString(
            folder.resolve("m.toml"),
            "layout = \"google-2011-task-events\"\n"
                + "[map]\n"
                + "table_type = '\"depot-manifest\"'\n"
                + "depot = 'jb_id'\n");
    assertThat(
            run(
                "trace",
                "import",
                EXAMPLE.toString(),
                "-o",
                folder.resolve("x").toString(),
                "--mapping",
                mapping.toString()))
        .isEqualTo(2);
    assertThat(err.toString()).contains("m.toml:4: map.depot").contains("did you mean \"job_id\"?");
  }

  @Test
  void aTraceIsShownCountedShapedAndMadeAnew() throws Exception {
    String file = trace();
    assertThat(run("trace", "show", file, "--rows", "2", "--json")).isZero();
    assertThat(json().path("shown")).hasSize(2);
    String busy = folder.resolve("busy.parquet").toString();
    assertThat(
            run(
                "trace",
                "shape",
                file,
                "-o",
                busy,
                "--from-s",
                "20",
                "--until-s",
                "50",
                "--rate",
                "60",
                "--json"))
        .isZero();
    assertThat(json().path("after").path("ratePerS").asDouble()).isBetween(54.0, 66.0);
    assertThat(run("trace", "stats", file, busy, "--html", folder.resolve("s.html").toString()))
        .isZero();
    assertThat(folder.resolve("s.html")).content().contains("<svg").doesNotContain("<script");
    assertThat(
            run(
                "trace",
                "synth",
                file,
                "-o",
                folder.resolve("m.parquet").toString(),
                "--seconds",
                "300",
                "--json"))
        .isZero();
    assertThat(json().path("off").path("Zipf exponent of keys").path("off").asDouble())
        .isBetween(-0.2, 0.2);
  }

  @Test
  void replaysArePlayedReportedAndCompared() throws Exception {
    String file = trace();
    String runs = folder.resolve("runs").toString();
    List<String> folders = new ArrayList<>();
    for (int i = 0; i < 2; i++) {
      assertThat(
              run(
                  "trace",
                  "replay",
                  file,
                  "--gatherers",
                  "1",
                  "--servers",
                  "8",
                  "--seconds",
                  "3",
                  "--runs",
                  runs,
                  "--json",
                  "--incident",
                  "1:server-drains:2"))
          .as(out + "" + err)
          .isZero();
      folders.add(json().path("folder").asText());
      assertThat(json().path("rules_kept").asBoolean()).isTrue();
      assertThat(json().path("scans").asLong()).isGreaterThan(10);
    }
    assertThat(run("trace", "compare", folders.get(0), folders.get(1))).isZero();
    assertThat(out.toString()).contains("service differs by");
    assertThat(run("trace", "compare", folders.get(0), folder.toString())).isEqualTo(1);
    assertThat(run("trace", "replay", file, "--incident", "1:server-dances:2")).isEqualTo(2);
  }

  @Test
  void theArchiveSparesAGathererTheReadingOfItsClasses() throws Exception {
    Path jar = Path.of("../router/target/tidebank.jar");
    Path archive = folder.resolve("tidebank.jsa");
    String home = System.setProperty("tidebank.home", "..");
    try {
      assertThat(run("archive", "-o", archive.toString())).as(err.toString()).isZero();
    } finally {
      System.setProperty("tidebank.home", home == null ? "" : home);
    }
    Process start =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-Xshare:on",
                "-XX:SharedArchiveFile=" + archive,
                "-Xlog:class+load",
                "-jar",
                jar.toString())
            .redirectErrorStream(true)
            .start();
    String log =
        new String(start.getInputStream().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
    assertThat(start.waitFor()).as(log).isEqualTo(2);
    assertThat(log.lines().filter(line -> line.contains("tidebank.Main source:")))
        .singleElement()
        .asString()
        .contains("shared objects file (top)");
  }

  @Test
  void dutiesAreShownAndSteeredAndFaultsSayWhatToDo() throws Exception {
    try (CoordinatorProcesses stewards =
        new CoordinatorProcesses(
            folder, 1, "[duties]\nnames = [\"report\"]\n[election]\nms = 200\n")) {
      String at = stewards.addresses().get(0);
      CoordinatorClient client = new CoordinatorClient(stewards.addresses(), 20_000);
      client.sendCommand(tidebank.lease.LeaseCommand.of(Kind.JOIN, "a", 1, "g0"));
      while (run("fleet", "duties", "--stewards", at, "--json") != 0 || json().isEmpty()) {
        Thread.onSpinWait();
      }
      assertThat(json().get(0).path("name").asText()).isEqualTo("report");
      assertThat(run("fleet", "move", "report", "--to", "g0", "--stewards", at))
          .as(err.toString())
          .isZero();
      assertThat(run("fleet", "duties", "--stewards", at)).isZero();
      assertThat(out.toString())
          .contains("pinned to")
          .containsPattern("report +- +0 +g0 +g0 +0 +-");
      assertThat(run("fleet", "history", "report", "--stewards", at)).isZero();
      assertThat(out.toString()).contains("moved to").contains("g0");
      assertThat(run("fleet", "history", "nothing", "--stewards", at)).isEqualTo(1);
      assertThat(err.toString()).contains("TB-1001");
      assertThat(run("fleet", "drain", "g0", "--stewards", at)).isZero();
      assertThat(run("fleet", "members", "--stewards", at)).isZero();
      assertThat(out.toString()).containsPattern("g0 +(drained|silent)");
      assertThat(run("fleet", "admit", "g0", "--stewards", at)).isZero();
      assertThat(run("fleet", "retire", "g0", "--stewards", at, "--json")).isZero();
      assertThat(run("fleet", "status", "--stewards", at, "--json")).isZero();
      assertThat(json().path("members").path("retired").asInt()).isEqualTo(1);
      assertThat(json().path("without_owner").get(0).asText()).isEqualTo("report");
      assertThat(run("fleet", "move", "nothing", "--anywhere", "--stewards", at)).isEqualTo(1);
      assertThat(err.toString())
          .startsWith("tidebank: TB-1001: ")
          .contains("what to do: ")
          .contains("retry: ");
      assertThat(run("fleet", "drain", "nobody", "--stewards", at, "--json")).isEqualTo(1);
      assertThat(new ObjectMapper().readTree(err.toString()).path("code").asText())
          .isEqualTo("TB-1015");
    }
    assertThat(run("fleet", "status", "--stewards", "127.0.0.1:1", "--patience-ms", "10"))
        .isEqualTo(1);
    assertThat(err.toString()).contains("TB-1106");
    assertThat(run("fleet", "move", "report")).isEqualTo(2);
  }

  @Test
  void theFleetsDemoShowsAnOwnerStoppedAndWokenWithoutHarm() {
    assertThat(run("fleet", "demo")).as(out + "" + err).isZero();
    assertThat(out.toString())
        .containsPattern("g\\d is stopped")
        .containsPattern("g\\d is woken")
        .contains("was believed since");
  }
}
