package tidebank.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** The group of commands on captures of routing decisions. */
@Command(
    name = "capture",
    description =
        "Reads and replays the events and decisions that a query router recorded, as [capture] in"
            + " its operator's file configures it.",
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
