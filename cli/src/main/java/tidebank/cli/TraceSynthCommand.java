package tidebank.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.Locale;
import java.util.Map;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.shape.RowSource;
import tidebank.testbed.trace.stats.TraceStats;
import tidebank.testbed.trace.store.TraceFile;
import tidebank.testbed.trace.store.TraceMeta;
import tidebank.testbed.trace.synth.Synthesis;

/** Makes a trace after the statistics of another. */
@Command(
    name = "synth",
    description =
        "Fits arrivals, popularity and sizes to a trace, makes one of any length, and says how"
            + " far off it is.",
    mixinStandardHelpOptions = true)
final class TraceSynthCommand extends ResultCommand {
  @Parameters(paramLabel = "FILE")
  Path file;

  @Option(
      names = {"-o", "--output"},
      required = true,
      paramLabel = "FILE")
  Path output;

  @Option(
      names = "--seconds",
      required = true,
      paramLabel = "S",
      description = "how long it is to be")
  int seconds;

  @Option(
      names = "--seed",
      defaultValue = "1",
      description = "of all chance (default: ${DEFAULT-VALUE})")
  long seed;

  @Override
  public Integer call() throws IOException {
    if (seconds < 1) {
      throw wrong("--seconds wants a number from 1");
    }
    TraceMeta source = TraceFile.meta(file);
    Synthesis synthesis = new Synthesis();
    try (Progress progress = new Progress("learning", source.rows())) {
      long count = 0;
      for (Iterator<TraceRow> rows = RowSource.file(file).open(); rows.hasNext(); ) {
        synthesis.learn(rows.next());
        if ((count++ & 8191) == 0) {
          progress.accept(count);
        }
      }
    }
    synthesis.learned();
    TraceMeta meta =
        TraceMeta.fresh("made after " + file.getFileName(), "", "", source.depots())
            .note("seed", seed);
    TraceStats made = TraceOutput.write(synthesis.rows(seconds, seed), meta, output, 0);
    Map<String, double[]> off = Synthesis.off(synthesis.original(), made.summary());
    ObjectNode told = ResultCommand.JSON.createObjectNode().put("output", output.toString());
    told.set("arrivals", ResultCommand.JSON.valueToTree(synthesis.arrivals()));
    ObjectNode table = told.putObject("off");
    if (!json) {
      out()
          .printf(
              Locale.ROOT,
              "arrivals: %d hidden states, rates %s a second%n",
              synthesis.arrivals().rates().length,
              String.join(
                  ", ",
                  java.util.Arrays.stream(synthesis.arrivals().rates())
                      .mapToObj(r -> String.format(Locale.ROOT, "%.2f", r))
                      .toList()));
      out().printf("%-28s %12s %12s %8s%n", "", "original", "made", "off by");
    }
    off.forEach(
        (name, values) -> {
          table
              .putObject(name)
              .put("original", values[0])
              .put("made", values[1])
              .put("off", values[2]);
          if (!json) {
            out()
                .printf(
                    Locale.ROOT,
                    "%-28s %12.3f %12.3f %+7.1f%%%n",
                    name,
                    values[0],
                    values[1],
                    100 * values[2]);
          }
        });
    if (json) {
      print(told);
    }
    out().flush();
    return Tidebank.DONE;
  }
}
