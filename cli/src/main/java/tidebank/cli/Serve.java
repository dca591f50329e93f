package tidebank.cli;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import tidebank.config.OperatorConfig;

/**
 * Runs a gatherer in the lean process that it has in service; this one only passes on signals and
 * the exit code.
 */
@Command(
    name = "serve",
    description = "Serves as a gatherer, configured by NODE_CONFIG and the operator's own file.",
    mixinStandardHelpOptions = true,
    exitCodeListHeading = "%nExit codes:%n",
    exitCodeList = {
      "0:ended by SIGTERM",
      "1:the address is taken",
      "2:wrong arguments or configuration"
    },
    footer = {
      "",
      "Environment: NODE_CONFIG (a JSON file, needed), NODE_NAME, NODE_LISTEN, NODE_DISCOVERY.",
      "SIGTERM ends it once all it holds is answered; SIGHUP has the configuration read again."
    })
final class Serve implements Callable<Integer> {
  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "the operator's own file, such as deploy/gatherer.toml")
  Path config;

  @Override
  public Integer call() throws IOException {
    List<String> more = new ArrayList<>(List.of("serve"));
    if (config != null) {
      OperatorConfig.read(config);
      more.addAll(List.of("--config", config.toString()));
    }
    return run(more);
  }

  static int run(List<String> more) throws IOException {
    File jar = new File(System.getProperty("tidebank.home", "."), "router/target/tidebank.jar");
    List<String> command =
        new ArrayList<>(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-jar",
                jar.getPath()));
    command.addAll(more);
    Process process = new ProcessBuilder(command).inheritIO().start();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  process.destroy();
                  process.onExit().join();
                }));
    try {
      return process.waitFor();
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      return Tidebank.FAILED;
    }
  }

  /** The decisions on the simulator's wire. */
  @Command(
      name = "simulate",
      description =
          "Drives the decisions over the simulator's wire: standard input to standard output, until"
              + " input ends.",
      mixinStandardHelpOptions = true)
  static final class Simulate implements Callable<Integer> {
    @Override
    public Integer call() throws IOException {
      return run(List.of("simulate"));
    }
  }
}
