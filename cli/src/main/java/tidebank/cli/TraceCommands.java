package tidebank.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Everything about traces: from public CSV to a report of service. */
@Command(
    name = "trace",
    description = "Reads public cluster traces in CSV, maps, shapes, makes and replays them.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {
      TraceLayoutsCommand.class,
      TraceMappingCommand.class,
      TraceSniffCommand.class,
      TraceImportCommand.class,
      TraceShowCommand.class,
      TraceStatsCommand.class,
      TraceShapeCommand.class,
      TraceSynthCommand.class,
      TraceReplayCommand.class,
      TraceCompareCommand.class
    })
final class TraceCommands implements Callable<Integer> {
  @Spec CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }
}
