package tidebank.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tidebank.testbed.trace.shape.RowSource;
import tidebank.testbed.trace.shape.Shapes;
import tidebank.testbed.trace.stats.TraceStats;
import tidebank.testbed.trace.store.TraceFile;
import tidebank.testbed.trace.store.TraceMeta;

/** Shapes a trace into another. */
@Command(
    name = "shape",
    description =
        "Shapes a trace: window, time warp, thinning, copies, rate, loop, merge; in this order.",
    mixinStandardHelpOptions = true)
final class TraceShapeCommand extends ResultCommand {
  @Parameters(paramLabel = "FILE")
  Path file;

  @Option(
      names = {"-o", "--output"},
      required = true,
      paramLabel = "FILE")
  Path output;

  @Option(names = "--from-s", paramLabel = "S", description = "a window from here")
  Double from;

  @Option(names = "--until-s", paramLabel = "S", description = "a window until here")
  Double until;

  @Option(names = "--warp", paramLabel = "F", description = "all times by this: 2 is twice as slow")
  Double warp;

  @Option(names = "--thin", paramLabel = "SHARE", description = "only this share of the rows")
  Double thin;

  @Option(
      names = "--thin-by",
      paramLabel = "ROW|KEY",
      defaultValue = "ROW",
      description = "by row or by key (default: ${DEFAULT-VALUE})")
  Shapes.By by;

  @Option(
      names = "--copies",
      paramLabel = "N",
      description = "so many copies at once, each turned round in time")
  Integer copies;

  @Option(names = "--rate", paramLabel = "R", description = "to this many a second")
  Double rate;

  @Option(
      names = "--rate-by",
      paramLabel = "WARP|COPIES",
      defaultValue = "COPIES",
      description = "how the rate is reached (default: ${DEFAULT-VALUE})")
  Shapes.Scale how;

  @Option(names = "--loop-s", paramLabel = "S", description = "over and over until here")
  Double loop;

  @Option(names = "--merge", paramLabel = "FILE", description = "with these others")
  List<Path> merge = List.of();

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "of all chance (default: ${DEFAULT-VALUE})")
  long seed;

  @Override
  public Integer call() throws IOException {
    TraceMeta source = TraceFile.meta(file);
    RowSource before = RowSource.file(file);
    RowSource rows = before;
    int depots = source.depots();
    if (from != null || until != null) {
      rows =
          Shapes.window(
              rows,
              from == null ? 0 : Math.round(from * TraceOutput.SECOND_US),
              until == null ? Long.MAX_VALUE : Math.round(until * TraceOutput.SECOND_US));
    }
    rows = warp == null ? rows : Shapes.warp(rows, warp);
    rows = thin == null ? rows : Shapes.thin(rows, thin, by, seed);
    rows = copies == null ? rows : Shapes.superpose(rows, copies, seed);
    rows = rate == null ? rows : Shapes.scale(rows, rate, how, seed);
    rows = loop == null ? rows : Shapes.loop(rows, Math.round(loop * TraceOutput.SECOND_US));
    if (!merge.isEmpty()) {
      List<RowSource> all = new ArrayList<>(List.of(rows));
      for (Path other : merge) {
        all.add(RowSource.file(other));
        depots = Math.max(depots, TraceFile.meta(other).depots());
      }
      rows = Shapes.merge(all);
    }
    TraceMeta meta =
        new TraceMeta(
                source.schema(),
                source.source(),
                source.sourceDigest(),
                source.mappingDigest(),
                0,
                0,
                0,
                "",
                depots,
                source.notes())
            .note("shaped", String.join(" ", spec.commandLine().getParseResult().originalArgs()))
            .note("seed", seed);
    TraceStats after = TraceOutput.write(rows.open(), meta, output, (long) rows.count());
    TraceStats.Summary old = TraceOutput.stats(before.open(), "reading", source.rows()).summary();
    if (json) {
      ObjectNode told = ResultCommand.JSON.createObjectNode();
      told.set("before", ResultCommand.JSON.valueToTree(old));
      told.set("after", ResultCommand.JSON.valueToTree(after.summary()));
      print(told);
    } else {
      TraceOutput.printStats(out(), "before", old);
      TraceOutput.printStats(out(), "after", after.summary());
    }
    return Tidebank.DONE;
  }
}
