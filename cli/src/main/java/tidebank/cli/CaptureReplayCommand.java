package tidebank.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import tidebank.testbed.capture.CaptureReplay;

/** The command that replays a capture through the routing policy of this build. */
@Command(
    name = "replay",
    description =
        "Replays a capture through the routing policy of this build and compares its actions with"
            + " the recorded ones, round by round.",
    mixinStandardHelpOptions = true,
    footer = {
      "",
      "Exit code 1: the actions of a round differ from the recorded ones, or no round could be"
          + " replayed."
    })
final class CaptureReplayCommand extends ResultCommand {
  private static final double US_PER_S = 1e6;
  private static final double NS_PER_S = 1e9;

  @Parameters(paramLabel = "CAPTURE", description = "a directory of segments, or a single segment")
  Path capture;

  @Override
  public Integer call() throws IOException {
    long startNs = System.nanoTime();
    CaptureReplay.Result result = CaptureReplay.replay(capture, (number, round, actions) -> {});
    double replaySeconds = (System.nanoTime() - startNs) / NS_PER_S;
    double recordedSeconds = (result.lastUs() - result.firstUs()) / US_PER_S;
    if (json) {
      print(toJson(result, recordedSeconds / replaySeconds));
    } else {
      printResult(result, recordedSeconds, replaySeconds);
    }
    return result.matches() && result.matching() > 0 ? Tidebank.DONE : Tidebank.FAILED;
  }

  private static ObjectNode toJson(CaptureReplay.Result result, double timesRealTime) {
    ObjectNode json =
        ResultCommand.JSON
            .createObjectNode()
            .put("turns", result.rounds())
            .put("same", result.matching())
            .put("skipped", result.skipped())
            .put("starts", result.policyStarts())
            .put("failures", result.failures())
            .put("missing", result.missingRounds())
            .put("digest", result.digest())
            .put("times_real", timesRealTime);
    result.damage().forEach(json.withArray("torn")::add);
    if (result.divergence() != null) {
      json.putObject("divergence")
          .put("turn", result.divergence().round())
          .put("then", String.valueOf(result.divergence().recorded()))
          .put("now", String.valueOf(result.divergence().replayed()));
    }
    return json;
  }

  private void printResult(
      CaptureReplay.Result result, double recordedSeconds, double replaySeconds) {
    out()
        .printf(
            Locale.ROOT,
            "%,d turns over %.1f s replayed in %.2f s (%.0f times real time): %,d the same, %,d"
                + " not replayed%n",
            result.rounds(),
            recordedSeconds,
            replaySeconds,
            recordedSeconds / replaySeconds,
            result.matching(),
            result.skipped());
    if (result.failures() + result.missingRounds() > 0) {
      out()
          .printf(
              "%,d turns had failed, %,d are missing%n", result.failures(), result.missingRounds());
    }
    result.damage().forEach(damage -> out().println("torn: " + damage));
    if (result.divergence() != null) {
      printDivergence(result.divergence());
    }
    out().println("digest of all actions: " + result.digest());
    out().flush();
  }

  private void printDivergence(CaptureReplay.Divergence divergence) {
    out().println("DIVERGES at turn " + divergence.round());
    out()
        .println(
            "  then: "
                + (divergence.recorded() == null
                    ? "only a digest was kept"
                    : divergence.recorded()));
    out().println("  now:  " + divergence.replayed());
  }
}
