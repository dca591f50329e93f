package tidebank.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tidebank.testbed.deployment.Deployment;
import tidebank.testbed.replay.Incident;
import tidebank.testbed.replay.Replay;
import tidebank.testbed.trace.shape.RowSource;
import tidebank.testbed.trace.shape.Shapes;

/** Replays a trace through real gatherers. */
@Command(
    name = "replay",
    description =
        "Replays a trace through real gatherers on loopback and reports service and rules.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Ctrl-C ends the sending and reports what was sent; a second one ends at once.",
      "Exit code 1: a rule was broken, or a gatherer did not end with 0."
    })
final class TraceReplayCommand extends ResultCommand {
  @Parameters(paramLabel = "FILE", description = "a normal form; see: trace import")
  Path file;

  @Option(
      names = "--gatherers",
      paramLabel = "N",
      defaultValue = "2",
      description = "processes (default: ${DEFAULT-VALUE})")
  int gatherers;

  @Option(
      names = "--servers",
      paramLabel = "M",
      defaultValue = "12",
      description = "stand-in shard servers (default: ${DEFAULT-VALUE})")
  int servers;

  @Option(
      names = "--site",
      paramLabel = "FILE",
      description = "table types, layout, limits and rules as TOML (default: built in)")
  Path site;

  @Option(
      names = "--from-s",
      paramLabel = "S",
      defaultValue = "0",
      description = "a window from here (default: ${DEFAULT-VALUE})")
  double from;

  @Option(
      names = "--seconds",
      paramLabel = "S",
      description = "only so many seconds of the trace, before any rate")
  Double seconds;

  @Option(names = "--rate", paramLabel = "R", description = "to this many scans a second")
  Double rate;

  @Option(
      names = "--rate-by",
      paramLabel = "WARP|COPIES",
      defaultValue = "WARP",
      description = "how the rate is reached (default: ${DEFAULT-VALUE})")
  Shapes.Scale how;

  @Option(
      names = "--incident",
      paramLabel = "S:KIND:N",
      description =
          "at second S this happens to server or gatherer N: server-drains, server-dies,"
              + " roster-gone, server-back, server-silent, server-speaks, gatherer-killed,"
              + " gatherer-restarted; may be given often")
  List<String> incidents = List.of();

  @Option(
      names = "--capture",
      description = "has each gatherer record what it is told, in the run's folder")
  boolean capture;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "of all chance (default: ${DEFAULT-VALUE})")
  long seed;

  @Option(
      names = "--runs",
      defaultValue = "runs",
      paramLabel = "FOLDER",
      description = "where results are kept (default: ${DEFAULT-VALUE})")
  Path runs;

  @Override
  public Integer call() throws IOException {
    if (gatherers < 1 || gatherers > 64 || servers < 1 || servers > 256) {
      throw wrong("--gatherers wants 1 to 64, --servers 1 to 256");
    }
    Deployment where = site == null ? Deployment.standard() : Deployment.read(site);
    RowSource rows = RowSource.file(file);
    if (from > 0 || seconds != null) {
      rows =
          Shapes.window(
              rows,
              Math.round(from * TraceOutput.SECOND_US),
              seconds == null
                  ? Long.MAX_VALUE
                  : Math.round((from + seconds) * TraceOutput.SECOND_US));
    }
    rows = rate == null ? rows : Shapes.scale(rows, rate, how, seed);
    List<Incident> script = new ArrayList<>();
    for (String text : incidents) {
      script.add(incident(text));
    }
    return Playing.play(
        new Replay.Plan(where, gatherers, servers, seed, script),
        rows.open(),
        (long) rows.count(),
        file.getFileName().toString().replaceAll("\\.parquet$", ""),
        runs,
        json,
        capture,
        out());
  }

  private Incident incident(String text) {
    String[] words = text.split(":");
    try {
      Incident.Kind kind =
          Incident.Kind.valueOf(words[1].toUpperCase(Locale.ROOT).replace('-', '_'));
      int number = Integer.parseInt(words[2]);
      int most = kind.name().startsWith("GATHERER") ? gatherers : servers;
      if (words.length == 3 && number >= 0 && number < most) {
        return new Incident(
            Math.round(Double.parseDouble(words[0]) * TraceOutput.SECOND_US), kind, number);
      }
    } catch (IllegalArgumentException | ArrayIndexOutOfBoundsException fault) {
      // Told below.
    }
    throw wrong(
        "--incident: found "
            + text
            + ", wanted S:KIND:N such as 12.5:server-dies:3, N below the number of "
            + "servers or gatherers");
  }
}
