package tidebank.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The commands that read captures of routing decisions. */
@Command(
    name = "capture",
    description =
        "Reads and replays the decision rounds that a query router recorded, as configured under"
            + " [capture] in its operator configuration file.",
    mixinStandardHelpOptions = true,
    synopsisSubcommandLabel = "COMMAND",
    subcommands = {CaptureInfoCommand.class, CaptureShowCommand.class, CaptureReplayCommand.class})
final class CaptureCommands implements Callable<Integer> {
  @Spec private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }
}
