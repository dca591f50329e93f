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
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import tidebank.capture.CaptureRecord;
import tidebank.capture.CaptureSegments;
import tidebank.testbed.capture.CaptureReplay;
import tidebank.testbed.capture.EventKind;

/** The command that summarizes a capture. */
@Command(
    name = "info",
    description =
        "Summarizes a capture: segments, decision rounds, events by kind, missing rounds and"
            + " damage.",
    mixinStandardHelpOptions = true)
final class CaptureInfoCommand extends ResultCommand {
  private static final double US_PER_S = 1e6;

  /**
   * The summary of a segment.
   *
   * @param file the name of the file
   * @param bytes the size of the file
   * @param blocks number of complete blocks
   * @param records number of records in them
   * @param damage describes the unreadable part; "" if there is none
   */
  private record SegmentSummary(String file, long bytes, int blocks, int records, String damage) {}

  @Parameters(paramLabel = "CAPTURE", description = "a directory of segments, or a single segment")
  Path capture;

  private final List<SegmentSummary> segments = new ArrayList<>();
  private final Map<String, Long> eventsByKind = new TreeMap<>();
  private long rounds;
  private long missingRounds;
  private long bytes;
  private long firstUs;
  private long lastUs;

  @Override
  public Integer call() throws IOException {
    for (Path file : CaptureReplay.listSegments(capture)) {
      addSegment(file);
    }
    if (json) {
      print(toJson());
    } else {
      printSummary();
    }
    boolean undamaged = segments.stream().allMatch(segment -> segment.damage().isEmpty());
    return undamaged ? Tidebank.DONE : Tidebank.FAILED;
  }

  private void addSegment(Path file) throws IOException {
    CaptureSegments.SegmentContent content = CaptureSegments.read(file);
    long size = Files.size(file);
    bytes += size;
    segments.add(
        new SegmentSummary(
            file.getFileName().toString(),
            size,
            content.blocks(),
            content.records().size(),
            content.damage()));
    for (CaptureRecord record : content.records()) {
      if (record instanceof CaptureRecord.DecisionRound round) {
        addRound(round);
      } else if (record instanceof CaptureRecord.Gap gap) {
        missingRounds += gap.rounds();
      }
    }
  }

  private void addRound(CaptureRecord.DecisionRound round) {
    if (rounds++ == 0) {
      firstUs = round.nowUs();
    }
    lastUs = round.nowUs();
    round.events().forEach(event -> eventsByKind.merge(EventKind.of(event), 1L, Long::sum));
  }

  private double durationSeconds() {
    return (lastUs - firstUs) / US_PER_S;
  }

  private ObjectNode toJson() {
    ObjectNode result = ResultCommand.JSON.createObjectNode();
    ArrayNode segmentsJson = result.putArray("segments");
    for (SegmentSummary segment : segments) {
      segmentsJson
          .addObject()
          .put("file", segment.file())
          .put("bytes", segment.bytes())
          .put("blocks", segment.blocks())
          .put("entries", segment.records())
          .put("torn", segment.damage());
    }
    result
        .put("turns", rounds)
        .put("missing_turns", missingRounds)
        .put("bytes", bytes)
        .put("seconds", durationSeconds());
    ObjectNode byKind = result.putObject("events");
    eventsByKind.forEach(byKind::put);
    return result;
  }

  private void printSummary() {
    long queries = eventsByKind.getOrDefault(EventKind.QUERY_RECEIVED, 0L);
    out()
        .printf(
            Locale.ROOT,
            "%,d turns over %.1f s in %d segments, %,d bytes%s%n",
            rounds,
            durationSeconds(),
            segments.size(),
            bytes,
            queries == 0
                ? ""
                : String.format(Locale.ROOT, ", %.0f a scan", (double) bytes / queries));
    eventsByKind.forEach((kind, count) -> out().printf("  %-14s %,10d%n", kind, count));
    if (missingRounds > 0) {
      out().printf("  %,d turns are missing: there was no room for them%n", missingRounds);
    }
    for (SegmentSummary segment : segments) {
      if (!segment.damage().isEmpty()) {
        out().println("  " + segment.file() + ": " + segment.damage());
      }
    }
    out().flush();
  }
}
