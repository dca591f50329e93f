package tidebank.testbed.chaos;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.BufferedWriter;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import tidebank.errors.TestbedException;
import tidebank.fleet.LeaseJson;
import tidebank.testbed.chaos.ScriptRunner.Verdict;

/**
 * The files in the folder of a run: the script, the verdict and the history, and a timeline and a
 * report for human readers. The folder also contains the logs of the processes.
 */
public final class RunArtifacts {
  private static final ObjectMapper JSON = LeaseJson.configure(new ObjectMapper());
  private static final String SCRIPT_FILE = "script.toml";
  private static final String VERDICT_FILE = "verdict.json";
  private static final String HISTORY_FILE = "history.jsonl";
  private static final String TIMELINE_FILE = "timeline.svg";
  private static final String REPORT_FILE = "report.html";

  private RunArtifacts() {}

  /** Writes all files except the script, which must exist already. */
  static void write(Path folder, Script script, History history, Verdict verdict)
      throws IOException {
    writeHistory(folder.resolve(HISTORY_FILE), history);
    Files.writeString(
        folder.resolve(VERDICT_FILE),
        JSON.writerWithDefaultPrettyPrinter().writeValueAsString(verdict));
    String timeline = TimelineSvg.render(script, history, verdict);
    Files.writeString(folder.resolve(TIMELINE_FILE), timeline);
    Files.writeString(
        folder.resolve(REPORT_FILE),
        RunReport.render(
            script,
            history,
            verdict,
            timeline,
            replayCommand(verdict, folder),
            Files.readString(folder.resolve(SCRIPT_FILE))));
  }

  private static void writeHistory(Path file, History history) throws IOException {
    try (BufferedWriter out = Files.newBufferedWriter(file)) {
      for (History.TimelineEvent event : history.events()) {
        writeLine(out, "event", event);
      }
      for (History.RecordedCommand command : history.commands()) {
        writeLine(out, "asked", command);
      }
      for (History.RecordedRead read : history.reads()) {
        writeLine(out, "read", read);
      }
    }
  }

  private static void writeLine(BufferedWriter out, String kind, Object value) throws IOException {
    out.write(JSON.writeValueAsString(Map.of(kind, value)));
    out.newLine();
  }

  /**
   * Returns the command line that repeats the run of a folder.
   *
   * @throws IOException if the names of the built-in scripts can't be read
   */
  public static String replayCommand(Verdict verdict, Path folder) throws IOException {
    return "bin/tidebank chaos run " + scriptArgument(verdict, folder);
  }

  private static String scriptArgument(Verdict verdict, Path folder) throws IOException {
    if (verdict.script().equals("seed-" + verdict.seed())) {
      return "--seed " + verdict.seed();
    }
    return Script.builtInNames().contains(verdict.script())
        ? verdict.script()
        : folder.resolve(SCRIPT_FILE).toString();
  }

  /**
   * Reads the verdict from the folder of a run.
   *
   * @throws TestbedException.RunUnknown if the folder contains no verdict
   * @throws IOException if the verdict can't be read
   */
  public static Verdict readVerdict(Path folder) throws IOException {
    Path file = folder.resolve(VERDICT_FILE);
    if (!Files.isRegularFile(file)) {
      throw new TestbedException.RunUnknown(folder.toString());
    }
    return JSON.readValue(file.toFile(), Verdict.class);
  }
}
