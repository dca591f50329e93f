package tidebank.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Locale;
import picocli.CommandLine.Command;
import tidebank.testbed.trace.layout.Column;
import tidebank.testbed.trace.layout.Layout;
import tidebank.testbed.trace.layout.Layouts;

/** Lists the known layouts. */
@Command(
    name = "layouts",
    description = "Lists the known layouts with their columns and units.",
    mixinStandardHelpOptions = true)
final class TraceLayoutsCommand extends ResultCommand {
  @Override
  public Integer call() throws IOException {
    ObjectNode result = ResultCommand.JSON.createObjectNode();
    for (Layout layout : Layouts.all()) {
      ArrayNode columns =
          result
              .putObject(layout.name())
              .put("title", layout.title())
              .put("header", layout.header())
              .putArray("columns");
      if (!json) {
        out()
            .println(
                layout.name()
                    + "\n  "
                    + layout.title()
                    + (layout.header() ? "; with a header" : "; no header"));
      }
      for (Column column : layout.columns()) {
        columns
            .addObject()
            .put("name", column.name())
            .put("kind", column.kind().name().toLowerCase(Locale.ROOT))
            .put("unit", column.unit())
            .put("needed", column.needed())
            .put("meaning", column.meaning());
        if (!json) {
          out()
              .printf(
                  "    %-24s %-6s %-24s %s%n",
                  column.name() + (column.needed() ? " *" : ""),
                  column.kind().name().toLowerCase(Locale.ROOT),
                  column.unit(),
                  column.meaning());
        }
      }
    }
    if (json) {
      print(result);
    } else {
      out().println("* a row without it is rejected");
      out().flush();
    }
    return Tidebank.DONE;
  }
}
