package tidebank.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Locale;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.store.TraceFile;
import tidebank.testbed.trace.store.TraceMeta;

/** Prints rows of a trace. */
@Command(
    name = "show",
    description = "Shows what a normal form says of itself, and rows of a window.",
    mixinStandardHelpOptions = true)
final class TraceShowCommand extends ResultCommand {
  @Parameters(paramLabel = "FILE")
  Path file;

  @Option(
      names = "--from-s",
      paramLabel = "S",
      defaultValue = "0",
      description = "rows from here (default: ${DEFAULT-VALUE})")
  double from;

  @Option(
      names = "--rows",
      paramLabel = "N",
      defaultValue = "10",
      description = "so many (default: ${DEFAULT-VALUE})")
  long rows;

  @Override
  public Integer call() throws IOException {
    TraceMeta meta = TraceFile.meta(file);
    ObjectNode told = ResultCommand.JSON.valueToTree(meta);
    ArrayNode list = told.putArray("shown");
    if (!json) {
      out()
          .printf(
              Locale.ROOT,
              "%s: %,d rows over %.1f s, %d depots; from %s%n",
              file,
              meta.rows(),
              meta.seconds(),
              meta.depots(),
              meta.source());
      meta.notes().forEach((name, value) -> out().println("  " + name + ": " + value));
    }
    try (TraceFile.Reader reader =
        new TraceFile.Reader(file, Math.round(from * TraceOutput.SECOND_US), Long.MAX_VALUE)) {
      for (long i = 0; i < rows && reader.hasNext(); i++) {
        TraceRow row = reader.next().row();
        list.addPOJO(row);
        if (!json) {
          out()
              .printf(
                  Locale.ROOT,
                  "%14.6f s  %-18s depot %3d, %2d parts, weight %.3f, %8.1f ms a part, key %s,"
                      + " account %s%n",
                  row.timeUs() / 1e6,
                  row.tableType(),
                  row.depot(),
                  row.parts(),
                  row.weight(),
                  row.workUs() / 1000.0,
                  row.key(),
                  row.account());
        }
      }
    }
    if (json) {
      print(told);
    }
    out().flush();
    return Tidebank.DONE;
  }
}
