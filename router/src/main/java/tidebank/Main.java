package tidebank;

import java.io.IOException;
import java.nio.file.Path;
import tidebank.config.MalformedInputException;
import tidebank.config.OperatorConfig;
import tidebank.logging.Log;
import tidebank.runtime.ServeCommand;
import tidebank.simulation.SimulatorHost;

/** The command line, which serves queries or runs the routing policy under a simulator. */
public final class Main {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_MISUSED = 2;

  private Main() {}

  /** Runs the command. Exits with 1 if it fails and with 2 for invalid arguments or settings. */
  public static void main(String[] args) {
    Log.useForProcess();
    boolean hasConfig = args.length == 3 && args[0].equals("serve") && args[1].equals("--config");
    String command = args.length == 1 || hasConfig ? args[0] : "";
    try {
      switch (command) {
        case "serve" ->
            ServeCommand.run(
                hasConfig ? OperatorConfig.read(Path.of(args[2])) : OperatorConfig.DEFAULT);
        case "simulate", "wirehost" -> new SimulatorHost().run(System.in, System.out);
        default -> {
          System.err.println("usage: java -jar tidebank.jar serve [--config FILE] | wirehost");
          System.exit(EXIT_MISUSED);
        }
      }
    } catch (IOException fault) {
      System.err.println("tidebank: " + fault.getMessage().replace("\n", "\ntidebank: "));
      boolean isMisuse = fault instanceof MalformedInputException && command.equals("serve");
      System.exit(isMisuse ? EXIT_MISUSED : EXIT_FAILED);
    }
  }
}
