package tidebank.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import tidebank.testbed.trace.read.Sniffer;
import tidebank.testbed.trace.read.Source;

/** Names the likeliest layout of a file. */
@Command(
    name = "sniff",
    description = "Names the likeliest layout of a file, with its evidence.",
    mixinStandardHelpOptions = true)
final class TraceSniffCommand extends ResultCommand {
  @Parameters(paramLabel = "FILE", arity = "1", description = "CSV, plain, gzip or zstd")
  Path file;

  @Override
  public Integer call() throws IOException {
    Sniffer.Finding finding = Sniffer.sniff(new Source(List.of(file)));
    ObjectNode result =
        ResultCommand.JSON
            .createObjectNode()
            .put("verdict", finding.verdict())
            .put("layout", finding.best() == null ? null : finding.best().name());
    ArrayNode all = result.putArray("layouts");
    for (Sniffer.Guess guess : finding.all()) {
      ObjectNode one =
          all.addObject().put("name", guess.layout().name()).put("score", guess.score());
      guess.evidence().forEach(one.withArray("evidence")::add);
    }
    if (json) {
      print(result);
    } else {
      out().println(finding.verdict());
      for (Sniffer.Guess guess : finding.all()) {
        if (guess.score() > 0.05) {
          out()
              .printf(
                  Locale.ROOT,
                  "  %.2f %-34s %s%n",
                  guess.score(),
                  guess.layout().name(),
                  String.join("; ", guess.evidence()));
        }
      }
      out().flush();
    }
    return finding.best() == null ? Tidebank.FAILED : Tidebank.DONE;
  }
}
