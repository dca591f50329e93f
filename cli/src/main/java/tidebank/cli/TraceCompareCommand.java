package tidebank.cli;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import tidebank.testbed.report.Comparison;

/** Compares reports of service. */
@Command(
    name = "compare",
    description = "Puts two replays side by side, with how much of their difference may be noise.",
    mixinStandardHelpOptions = true)
final class TraceCompareCommand extends ResultCommand {
  @Parameters(index = "0", paramLabel = "RUN", description = "a folder below runs/")
  Path first;

  @Parameters(index = "1", paramLabel = "RUN")
  Path second;

  @Override
  public Integer call() throws IOException {
    Comparison comparison = Comparison.of(first, second);
    if (json) {
      print(ResultCommand.JSON.valueToTree(comparison));
    } else {
      out().printf("%-34s %10s %10s %10s%n", "", "first", "second", "difference");
      comparison
          .rows()
          .forEach(
              row ->
                  out()
                      .printf(
                          Locale.ROOT,
                          "%-34s %10.3f %10.3f %+10.3f%n",
                          row.name(),
                          row.first(),
                          row.second(),
                          row.second() - row.first()));
      out()
          .printf(
              Locale.ROOT,
              "service differs by %+.3f, 95%% of resampled stretches of 10 s within %+.3f to"
                  + " %+.3f: %s%n",
              comparison.difference(),
              comparison.low(),
              comparison.high(),
              comparison.verdict());
      out().flush();
    }
    return Tidebank.DONE;
  }
}
