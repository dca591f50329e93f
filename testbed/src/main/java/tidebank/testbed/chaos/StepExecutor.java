package tidebank.testbed.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.stream.Stream;
import tidebank.coordinator.CoordinatorClient;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand.Kind;
import tidebank.testbed.chaos.Script.Step;

/** Carries out the operations of a script's steps. Belongs to the script's thread. */
final class StepExecutor {
  private final Script script;
  private final Path folder;
  private final TestCluster cluster;
  private final SharedFolderCheck sharedFolder;
  private final ProcessSelector processes;
  private final CoordinatorClient operator;
  private final BiConsumer<String, String> events;

  /**
   * @param folder of the run
   * @param events called with the process and the description of each operation
   */
  StepExecutor(
      Script script,
      Path folder,
      TestCluster cluster,
      SharedFolderCheck sharedFolder,
      ProcessSelector processes,
      CoordinatorClient operator,
      BiConsumer<String, String> events) {
    this.script = script;
    this.folder = folder;
    this.cluster = cluster;
    this.sharedFolder = sharedFolder;
    this.processes = processes;
    this.operator = operator;
    this.events = events;
  }

  void execute(Step step) throws IOException {
    List<String> targets = step.target().isEmpty() ? List.of() : processes.resolve(step.target());
    if (!step.alias().isEmpty()) {
      processes.addAlias(step.alias(), targets);
    }
    for (String target : targets) {
      if (!processes.exists(target)) {
        throw new IOException("the script names '" + target + "', and there is no such process");
      }
    }
    if (step.operation() != Script.Operation.NOTHING) {
      events.accept(targets.size() == 1 ? targets.get(0) : step.target(), step.describe());
    }
    switch (step.operation()) {
      case SCANS -> cluster.sendQueries(step.queries());
      case LITTER -> sharedFolder.createFiles(step.queries());
      case MOVE_ANYWHERE -> operate(Kind.MOVE, "");
      default -> {
        for (String target : targets) {
          execute(step, target);
        }
      }
    }
  }

  private void execute(Step step, String target) throws IOException {
    switch (step.operation()) {
      case STOP -> cluster.stop(target);
      case WAKE -> cluster.resume(target);
      case KILL -> cluster.end(target, true);
      case TERM -> cluster.end(target, false);
      case START -> cluster.start(target, clockRate(step, target));
      case LINK -> link(step, target);
      case COPY_DISK -> TestCluster.copy(cluster.disk(target), diskCopy(target));
      case OLDER_DISK -> TestCluster.copy(diskCopy(target), cluster.disk(target));
      case EMPTY_DISK -> TestCluster.clear(cluster.disk(target));
      case DAMAGED_DISK -> truncateSnapshots(cluster.disk(target));
      case DRAIN -> operate(Kind.DRAIN, target);
      case ADMIT -> operate(Kind.ADMIT, target);
      case MOVE -> operate(Kind.MOVE, target);
      default -> {}
    }
  }

  private double clockRate(Step step, String target) {
    return step.clockRate() == 1 ? script.clockRates().getOrDefault(target, 1.0) : step.clockRate();
  }

  private void link(Step step, String from) {
    for (String to : processes.resolve(step.linkTarget())) {
      if (!to.equals(from)) {
        cluster.link(from, to, step.fault(), step.ms(), step.jitterMs(), step.bytesPerS());
      }
    }
  }

  private Path diskCopy(String target) {
    return folder.resolve("kept-" + target);
  }

  private void operate(Kind kind, String member) throws IOException {
    CommandResult result =
        operator.sendOperatorCommand(kind, member, kind == Kind.MOVE ? "report" : "");
    if (result.error() != null) {
      throw new TidebankException.RequestRejected(result.error());
    }
  }

  private static void truncateSnapshots(Path disk) throws IOException {
    try (Stream<Path> files = Files.walk(disk)) {
      List<Path> snapshots =
          files
              .filter(file -> file.getFileName().toString().matches("snapshot\\.\\d+_\\d+"))
              .sorted()
              .toList();
      if (snapshots.isEmpty()) {
        throw new IOException("there is no snapshot to damage in " + disk);
      }
      for (Path snapshot : snapshots) {
        byte[] content = Files.readAllBytes(snapshot);
        Files.write(snapshot, Arrays.copyOf(content, content.length / 2));
      }
    }
  }
}
