package tidebank.cli;

import java.io.IOException;
import java.util.List;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;
import tidebank.testbed.trace.layout.Layout;
import tidebank.testbed.trace.layout.Layouts;

/** Prints the default mapping of a layout. */
@Command(
    name = "mapping",
    description = "Prints a layout's default mapping, to start one of your own from.",
    mixinStandardHelpOptions = true)
final class TraceMappingCommand extends ResultCommand {
  @Parameters(paramLabel = "LAYOUT", description = "see: trace layouts")
  String layout;

  @Override
  public Integer call() throws IOException {
    Layout found = layout(layout);
    if (json) {
      print(
          ResultCommand.JSON
              .createObjectNode()
              .put("layout", found.name())
              .put("mapping", found.defaultMapping()));
    } else {
      out().print(found.defaultMapping());
      out().flush();
    }
    return Tidebank.DONE;
  }

  static Layout layout(String name) throws MalformedInputException {
    Layout found = Layouts.named(name);
    if (found == null) {
      List<String> known = Layouts.all().stream().map(Layout::name).toList();
      String near = Toml.findNearest(name, known);
      throw new MalformedInputException(
          "unknown layout \""
              + name
              + "\""
              + (near == null
                  ? "; known are " + String.join(", ", known)
                  : "; did you mean \"" + near + "\"?"));
    }
    return found;
  }
}
