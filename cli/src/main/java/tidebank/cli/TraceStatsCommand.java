package tidebank.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tidebank.testbed.report.StatsPage;
import tidebank.testbed.trace.shape.RowSource;
import tidebank.testbed.trace.stats.TraceStats;

/** Prints the statistics of a trace. */
@Command(
    name = "stats",
    description = "Tells what a trace is like: rate, burstiness, skew, sizes.",
    mixinStandardHelpOptions = true)
final class TraceStatsCommand extends ResultCommand {
  @Parameters(
      paramLabel = "FILE",
      arity = "1..*",
      description = "normal forms; several are told side by side")
  List<Path> files;

  @Option(names = "--html", paramLabel = "FILE", description = "a page with charts")
  Path html;

  @Override
  public Integer call() throws IOException {
    ObjectNode told = ResultCommand.JSON.createObjectNode();
    List<StatsPage.NamedTrace> all = new ArrayList<>();
    for (Path file : files) {
      RowSource rows = RowSource.file(file);
      TraceStats stats =
          TraceOutput.stats(rows.open(), file.getFileName().toString(), (long) rows.count());
      all.add(new StatsPage.NamedTrace(file.getFileName().toString(), stats));
      told.set(file.toString(), ResultCommand.JSON.valueToTree(stats.summary()));
      if (!json) {
        TraceOutput.printStats(out(), file.toString(), stats.summary());
      }
    }
    if (json) {
      print(told);
    }
    if (html != null) {
      Files.writeString(html, StatsPage.renderHtml(all));
    }
    return Tidebank.DONE;
  }
}
