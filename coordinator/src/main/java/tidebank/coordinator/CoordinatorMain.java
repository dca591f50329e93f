package tidebank.coordinator;

import java.io.IOException;
import java.nio.file.Path;
import tidebank.config.MalformedInputException;
import tidebank.errors.TidebankException;
import tidebank.logging.Log;

/**
 * The process of one steward: {@code --config FILE}. Ends with 0 on SIGTERM, 1 if it can't start, 2
 * for a wrong file.
 */
public final class CoordinatorMain {
  private CoordinatorMain() {}

  public static void main(String[] args) {
    if (args.length != 2 || !args[0].equals("--config")) {
      System.err.println("usage: tidebank steward --config FILE");
      System.exit(2);
    }
    try {
      serve(Path.of(args[1]));
    } catch (MalformedInputException fault) {
      System.err.println("tidebank: " + fault.getMessage().replace("\n", "\ntidebank: "));
      System.exit(2);
    } catch (IOException fault) {
      System.err.println(
          fault instanceof TidebankException known
              ? known.details().lines()
              : "tidebank: " + fault);
      System.exit(1);
    }
  }

  /** Runs one until SIGTERM, which ends the process with 0. */
  public static int serve(Path config) throws IOException {
    CoordinatorConfig file = CoordinatorConfig.read(config);
    Log.own();
    Log.style(file.log());
    CoordinatorServer steward = CoordinatorServer.start(file);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  steward.close();
                  Runtime.getRuntime().halt(0);
                }));
    // SIGTERM ends the process from the hook; this comes back only where the steward can't go on.
    TidebankException fault = steward.ended().join();
    System.err.println(fault.details().lines());
    Runtime.getRuntime().halt(1);
    return 1;
  }
}
