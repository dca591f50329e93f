package tidebank.coordinator;

import java.io.IOException;
import java.nio.file.Path;
import tidebank.config.MalformedInputException;
import tidebank.errors.TidebankException;
import tidebank.logging.Log;

/**
 * The main class of a coordinator process, called with {@code --config FILE}. Exits with 0 on
 * SIGTERM, 1 if the coordinator cannot start or can no longer serve, and 2 for wrong arguments or a
 * malformed configuration file.
 */
public final class CoordinatorMain {
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;

  private CoordinatorMain() {}

  /** Runs a coordinator until the process is terminated. */
  public static void main(String[] args) {
    if (args.length != 2 || !args[0].equals("--config")) {
      System.err.println("usage: tidebank steward --config FILE");
      System.exit(EXIT_USAGE);
    }
    try {
      serve(Path.of(args[1]));
    } catch (MalformedInputException exception) {
      System.err.println("tidebank: " + exception.getMessage().replace("\n", "\ntidebank: "));
      System.exit(EXIT_USAGE);
    } catch (IOException exception) {
      System.err.println(
          exception instanceof TidebankException known
              ? known.details().toText()
              : "tidebank: " + exception);
      System.exit(EXIT_FAILED);
    }
  }

  /**
   * Runs a coordinator until SIGTERM, which ends the process with 0, or until the coordinator can
   * no longer serve, which ends it with 1.
   *
   * @throws IOException if the coordinator cannot start
   */
  public static int serve(Path file) throws IOException {
    CoordinatorConfig config = CoordinatorConfig.read(file);
    Log.useForProcess();
    Log.configure(config.logging());
    CoordinatorServer coordinator = CoordinatorServer.start(config);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  coordinator.close();
                  Runtime.getRuntime().halt(0);
                }));
    // On SIGTERM the hook ends the process; this completes only if the coordinator has failed.
    TidebankException failure = coordinator.failure().join();
    System.err.println(failure.details().toText());
    Runtime.getRuntime().halt(EXIT_FAILED);
    return EXIT_FAILED;
  }
}
