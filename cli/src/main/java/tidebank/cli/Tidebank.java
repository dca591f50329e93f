package tidebank.cli;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Callable;
import picocli.AutoComplete.GenerateCompletion;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;
import tidebank.config.MalformedInputException;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseJson;

/** The command line {@code tidebank}. */
@Command(
    name = "tidebank",
    description =
        "A gateway in front of a sharded, replicated store, and the tools to rehearse it.",
    mixinStandardHelpOptions = true,
    version = "tidebank 0.2.0",
    synopsisSubcommandLabel = "COMMAND",
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {"0:done", "1:failed", "2:wrong arguments or configuration"},
    subcommands = {
      Serve.class,
      Serve.Simulate.class,
      Demo.class,
      Archive.class,
      TraceCommands.class,
      CaptureCommands.class,
      FleetCommands.CoordinatorCommand.class,
      FleetCommands.class,
      ChaosCommands.class,
      ScaleCommands.class,
      GenerateCompletion.class
    })
public final class Tidebank implements Callable<Integer> {
  static final int DONE = 0;
  static final int FAILED = 1;
  static final int WRONG = 2;

  @Spec CommandSpec spec;

  @Option(
      names = "--log-form",
      scope = ScopeType.INHERIT,
      description = "how the log on standard error looks: text, json",
      paramLabel = "FORM")
  void logForm(String form) {
    if (!form.equals("text") && !form.equals("json")) {
      throw new ParameterException(
          spec.commandLine(), "--log-form: found " + form + ", wanted text or json");
    }
    System.setProperty("tidebank.log.form", form);
  }

  @Option(
      names = "--log-level",
      scope = ScopeType.INHERIT,
      description = "error, warn, info or debug",
      paramLabel = "LEVEL")
  void logLevel(String level) {
    System.setProperty("tidebank.log.level", level);
  }

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "a command is missing");
  }

  /** The command line with its exit codes; standard output and error are the process's. */
  static CommandLine commandLine() {
    CommandLine line = new CommandLine(new Tidebank());
    addFormerName(line, "wirehost", new Serve.Simulate());
    addFormerName(line, "steward", new FleetCommands.CoordinatorCommand());
    addFormerName(line.getSubcommands().get("fleet"), "duties", new FleetCommands.Tasks());
    line.setExecutionExceptionHandler(
        (fault, command, parsed) -> {
          Throwable cause =
              fault instanceof UncheckedIOException unchecked ? unchecked.getCause() : fault;
          if (cause instanceof TidebankException known) {
            boolean json = parsed.expandedArgs().contains("--json");
            command
                .getErr()
                .println(
                    json
                        ? LeaseJson.configure(new ObjectMapper())
                            .writeValueAsString(known.details())
                        : known.details().toText());
            return FAILED;
          }
          String text =
              cause instanceof IOException || cause instanceof IllegalArgumentException
                  ? cause.getMessage()
                  : String.valueOf(cause);
          command
              .getErr()
              .println("tidebank: " + String.valueOf(text).replace("\n", "\ntidebank: "));
          if (!(cause instanceof IOException) && !(cause instanceof IllegalArgumentException)) {
            cause.printStackTrace(command.getErr());
          }
          return cause instanceof MalformedInputException
                  || cause instanceof IllegalArgumentException
              ? WRONG
              : FAILED;
        });
    return line;
  }

  /** Lets a command answer to the name it had before, which help does not list. */
  private static void addFormerName(CommandLine parent, String name, Object command) {
    CommandLine former = new CommandLine(command);
    former.getCommandSpec().usageMessage().hidden(true);
    parent.addSubcommand(name, former);
  }

  public static void main(String[] args) {
    System.exit(commandLine().execute(args));
  }
}
