package tidebank.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import tidebank.capture.CaptureRecord;
import tidebank.capture.CaptureSegments;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.testbed.capture.CaptureReplay;
import tidebank.testbed.capture.EventKind;

/** What a gatherer was told, and whether the module still decides so. */
@Command(
    name = "capture",
    description =
        "Reads and replays what a gatherer was told, as [capture] in its operator's file had it"
            + " recorded.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      CaptureCommands.Info.class,
      CaptureCommands.Show.class,
      CaptureCommands.Replay.class
    })
final class CaptureCommands implements Callable<Integer> {
  @Spec CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  @Command(
      name = "info",
      description =
          "Tells what a capture holds: segments, turns, events by kind, what is missing or torn.",
      mixinStandardHelpOptions = true)
  static final class Info extends ResultCommand {
    @Parameters(paramLabel = "CAPTURE", description = "a folder of segments, or one segment")
    Path place;

    @Override
    public Integer call() throws IOException {
      ObjectNode told = ResultCommand.JSON.createObjectNode();
      ArrayNode segments = told.putArray("segments");
      Map<String, Long> events = new TreeMap<>();
      long turns = 0;
      long missing = 0;
      long bytes = 0;
      long first = 0;
      long last = 0;
      boolean whole = true;
      for (Path file : CaptureReplay.segments(place)) {
        CaptureSegments.Read read = CaptureSegments.read(file);
        bytes += Files.size(file);
        whole &= read.torn().isEmpty();
        segments
            .addObject()
            .put("file", file.getFileName().toString())
            .put("bytes", Files.size(file))
            .put("blocks", read.blocks())
            .put("entries", read.entries().size())
            .put("torn", read.torn());
        for (CaptureRecord entry : read.entries()) {
          if (entry instanceof CaptureRecord.Iteration turn) {
            first = turns++ == 0 ? turn.nowUs() : first;
            last = turn.nowUs();
            turn.events().forEach(event -> events.merge(EventKind.of(event), 1L, Long::sum));
          } else if (entry instanceof CaptureRecord.Gap gap) {
            missing += gap.turns();
          }
        }
      }
      told.put("turns", turns)
          .put("missing_turns", missing)
          .put("bytes", bytes)
          .put("seconds", (last - first) / 1e6);
      ObjectNode byKind = told.putObject("events");
      events.forEach(byKind::put);
      long scans = events.getOrDefault(EventKind.QUERY_RECEIVED, 0L);
      if (json) {
        print(told);
      } else {
        out()
            .printf(
                Locale.ROOT,
                "%,d turns over %.1f s in %d segments, %,d bytes%s%n",
                turns,
                (last - first) / 1e6,
                segments.size(),
                bytes,
                scans == 0
                    ? ""
                    : String.format(Locale.ROOT, ", %.0f a scan", (double) bytes / scans));
        events.forEach((kind, count) -> out().printf("  %-14s %,10d%n", kind, count));
        if (missing > 0) {
          out().printf("  %,d turns are missing: there was no room for them%n", missing);
        }
        segments.forEach(
            segment -> {
              if (!segment.path("torn").asText().isEmpty()) {
                out()
                    .println(
                        "  "
                            + segment.path("file").asText()
                            + ": "
                            + segment.path("torn").asText());
              }
            });
        out().flush();
      }
      return whole ? Tidebank.DONE : Tidebank.FAILED;
    }
  }

  @Command(
      name = "show",
      description = "Shows turns, filtered by a scan, a server or a kind of event.",
      mixinStandardHelpOptions = true)
  static final class Show extends ResultCommand {
    @Parameters(paramLabel = "CAPTURE")
    Path place;

    @Option(
        names = "--about",
        paramLabel = "WORD",
        description = "only events and actions that name this scan, part or server")
    String about = "";

    @Option(
        names = "--kind",
        paramLabel = "KIND",
        description = "only events of this kind, such as DispatchEnded")
    String kind = "";

    @Option(
        names = "--turns",
        paramLabel = "N",
        defaultValue = "20",
        description = "so many turns at most (default: ${DEFAULT-VALUE})")
    long most;

    @Override
    public Integer call() throws IOException {
      ArrayNode list = ResultCommand.JSON.createArrayNode();
      long[] shown = {0};
      long[] first = {-1};
      CaptureReplay.replay(
          place,
          (number, turn, now) -> {
            first[0] = first[0] < 0 ? turn.nowUs() : first[0];
            List<String> lines = new ArrayList<>();
            for (Event event : turn.events()) {
              if (event.toString().contains(about)
                  && (kind.isEmpty() || EventKind.matches(event, kind))) {
                lines.add("  told    " + event);
              }
            }
            for (Action action : now) {
              if (kind.isEmpty() && action.toString().contains(about)) {
                lines.add("  wanted  " + action);
              }
            }
            if (lines.isEmpty() || shown[0]++ >= most) {
              return;
            }
            if (json) {
              ObjectNode one =
                  list.addObject()
                      .put("turn", number)
                      .put("second", (turn.nowUs() - first[0]) / 1e6);
              lines.forEach(line -> one.withArray("lines").add(line.trim()));
            } else {
              out()
                  .printf(
                      Locale.ROOT, "turn %d, %.6f s%n", number, (turn.nowUs() - first[0]) / 1e6);
              lines.forEach(out()::println);
            }
          });
      if (json) {
        out().println(ResultCommand.JSON.writeValueAsString(list));
      }
      out().flush();
      return Tidebank.DONE;
    }
  }

  @Command(
      name = "replay",
      description =
          "Drives a fresh module with a capture and compares what it wants, turn by turn.",
      mixinStandardHelpOptions = true,
      footer = {
        "",
        "Exit code 1: a turn went otherwise than it was recorded, or none could be replayed."
      })
  static final class Replay extends ResultCommand {
    @Parameters(paramLabel = "CAPTURE", description = "a folder of segments, or one segment")
    Path place;

    @Override
    public Integer call() throws IOException {
      long begin = System.nanoTime();
      CaptureReplay.Result result = CaptureReplay.replay(place, (number, turn, now) -> {});
      double took = (System.nanoTime() - begin) / 1e9;
      double seconds = (result.lastUs() - result.firstUs()) / 1e6;
      if (json) {
        ObjectNode told =
            ResultCommand.JSON
                .createObjectNode()
                .put("turns", result.turns())
                .put("same", result.same())
                .put("skipped", result.skipped())
                .put("starts", result.starts())
                .put("failures", result.failures())
                .put("missing", result.missing())
                .put("digest", result.digest())
                .put("times_real", seconds / took);
        result.torn().forEach(told.withArray("torn")::add);
        if (result.divergence() != null) {
          told.putObject("divergence")
              .put("turn", result.divergence().turn())
              .put("then", String.valueOf(result.divergence().then()))
              .put("now", String.valueOf(result.divergence().now()));
        }
        print(told);
      } else {
        out()
            .printf(
                Locale.ROOT,
                "%,d turns over %.1f s replayed in %.2f s (%.0f times real time): %,d the same, %,d"
                    + " not replayed%n",
                result.turns(),
                seconds,
                took,
                seconds / took,
                result.same(),
                result.skipped());
        if (result.failures() + result.missing() > 0) {
          out()
              .printf(
                  "%,d turns had failed, %,d are missing%n", result.failures(), result.missing());
        }
        result.torn().forEach(text -> out().println("torn: " + text));
        if (result.divergence() != null) {
          out().println("DIVERGES at turn " + result.divergence().turn());
          out()
              .println(
                  "  then: "
                      + (result.divergence().then() == null
                          ? "only a digest was kept"
                          : result.divergence().then()));
          out().println("  now:  " + result.divergence().now());
        }
        out().println("digest of all actions: " + result.digest());
        out().flush();
      }
      return result.alike() && result.same() > 0 ? Tidebank.DONE : Tidebank.FAILED;
    }
  }
}
