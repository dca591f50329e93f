package tidebank.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tidebank.capture.CaptureRecord;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.testbed.capture.CaptureReplay;
import tidebank.testbed.capture.EventKind;

/** The command that prints decision rounds of a capture. */
@Command(
    name = "show",
    description =
        "Shows decision rounds, filtered by query, shard request, server or kind of event.",
    mixinStandardHelpOptions = true)
final class CaptureShowCommand extends ResultCommand {
  private static final double US_PER_S = 1e6;

  @Parameters(paramLabel = "CAPTURE", description = "a directory of segments, or a single segment")
  Path capture;

  @Option(
      names = "--about",
      paramLabel = "WORD",
      description = "show only events and actions that mention this query, shard request or server")
  String about = "";

  @Option(
      names = "--kind",
      paramLabel = "KIND",
      description = "show only events of this kind, such as AttemptCompleted, and no actions")
  String kind = "";

  @Option(
      names = "--turns",
      paramLabel = "N",
      defaultValue = "20",
      description = "maximum number of rounds to show (default: ${DEFAULT-VALUE})")
  long maxRounds;

  private final ArrayNode jsonRounds = ResultCommand.JSON.createArrayNode();
  private long matchingRounds;
  private long firstUs = -1;

  @Override
  public Integer call() throws IOException {
    CaptureReplay.replay(capture, this::show);
    if (json) {
      out().println(ResultCommand.JSON.writeValueAsString(jsonRounds));
    }
    out().flush();
    return Tidebank.DONE;
  }

  private void show(long number, CaptureRecord.DecisionRound round, List<Action> actions) {
    firstUs = firstUs < 0 ? round.nowUs() : firstUs;
    List<String> lines = matchingLines(round, actions);
    if (lines.isEmpty() || matchingRounds++ >= maxRounds) {
      return;
    }
    double second = (round.nowUs() - firstUs) / US_PER_S;
    if (json) {
      ObjectNode result = jsonRounds.addObject().put("turn", number).put("second", second);
      lines.forEach(line -> result.withArray("lines").add(line.trim()));
    } else {
      out().printf(Locale.ROOT, "turn %d, %.6f s%n", number, second);
      lines.forEach(out()::println);
    }
  }

  private List<String> matchingLines(CaptureRecord.DecisionRound round, List<Action> actions) {
    List<String> lines = new ArrayList<>();
    for (Event event : round.events()) {
      if (event.toString().contains(about) && (kind.isEmpty() || EventKind.matches(event, kind))) {
        lines.add("  told    " + event);
      }
    }
    for (Action action : actions) {
      if (kind.isEmpty() && action.toString().contains(about)) {
        lines.add("  wanted  " + action);
      }
    }
    return lines;
  }
}
