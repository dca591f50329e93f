package tidebank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import tidebank.testbed.deployment.Deployment;
import tidebank.testbed.replay.Replay;

/**
 * Part of the build: an archive of the classes that serving loads, as the JVM leaves it behind. A
 * gatherer started with it maps them instead of reading and checking each, which is half of what a
 * start costs.
 */
@Command(
    name = "archive",
    description =
        "Serves a second of scans on loopback and keeps an archive of the classes that this loaded,"
            + " for -XX:SharedArchiveFile.",
    mixinStandardHelpOptions = true)
final class Archive implements Callable<Integer> {
  private static final int SECONDS = 1;

  @Option(
      names = {"-o", "--out"},
      description = "the archive (default: ${DEFAULT-VALUE})",
      paramLabel = "FILE",
      defaultValue = "router/target/tidebank.jsa")
  Path out;

  @Override
  public Integer call() throws IOException {
    Path target = out.toAbsolutePath();
    Path fresh = target.resolveSibling(target.getFileName() + ".new");
    Files.createDirectories(target.getParent());
    Files.deleteIfExists(fresh);
    Replay.Plan plan =
        new Replay.Plan(Deployment.standard(), 1, 8, 1, List.of())
            .withJvmFlags("-Djava.net.preferIPv4Stack=true", "-XX:ArchiveClassesAtExit=" + fresh);
    new Replay(plan, record -> {}, sent -> {}).run(Demo.rows(1, SECONDS).iterator());
    if (!Files.exists(fresh)) {
      throw new IOException("no archive came of it: " + fresh);
    }
    // Nobody ever meets half an archive.
    Files.move(fresh, target, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
    return Tidebank.DONE;
  }
}
