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

/** Carries out the operations of a script's steps. Confined to the script's thread. */
final class StepExecutor {
  private final Script script;
  private final Path runFolder;
  private final TestCluster cluster;
  private final SharedFolderCheck sharedFolder;
  private final ProcessSelector processes;
  private final CoordinatorClient operatorClient;
  private final BiConsumer<String, String> onOperation;

  /**
   * @param runFolder folder of the run's files
   * @param operatorClient client that sends operator commands to the coordinators
   * @param onOperation called with the process and the description of each operation
   */
  StepExecutor(
      Script script,
      Path runFolder,
      TestCluster cluster,
      SharedFolderCheck sharedFolder,
      ProcessSelector processes,
      CoordinatorClient operatorClient,
      BiConsumer<String, String> onOperation) {
    this.script = script;
    this.runFolder = runFolder;
    this.cluster = cluster;
    this.sharedFolder = sharedFolder;
    this.processes = processes;
    this.operatorClient = operatorClient;
    this.onOperation = onOperation;
  }

  /** Carries out the operation of a step, after its condition was met. */
  void execute(Step step) throws IOException {
    List<String> targets = step.target().isEmpty() ? List.of() : processes.resolve(step.target());
    if (!step.alias().isEmpty()) {
      processes.addAlias(step.alias(), targets);
    }
    for (String target : targets) {
      if (!processes.exists(target)) {
        throw new IOException(
            "process '" + target + "' in the script does not exist in the cluster");
      }
    }
    if (step.operation() != Script.Operation.NOTHING) {
      onOperation.accept(targets.size() == 1 ? targets.get(0) : step.target(), step.describe());
    }
    switch (step.operation()) {
      case SCANS -> cluster.sendQueries(step.queries());
      case LITTER -> sharedFolder.createFiles(step.queries());
      case MOVE_ANYWHERE -> sendOperatorCommand(Kind.MOVE, "");
      default -> {
        for (String target : targets) {
          execute(step, target);
        }
      }
    }
  }

  private void execute(Step step, String target) throws IOException {
    switch (step.operation()) {
      case STOP -> cluster.suspend(target);
      case WAKE -> cluster.resume(target);
      case KILL -> cluster.endProcess(target, true);
      case TERM -> cluster.endProcess(target, false);
      case START -> cluster.startProcess(target, clockRate(step, target));
      case LINK -> injectFault(step, target);
      case COPY_DISK ->
          TestCluster.replaceDirectory(cluster.dataDirectory(target), diskCopyDirectory(target));
      case OLDER_DISK ->
          TestCluster.replaceDirectory(diskCopyDirectory(target), cluster.dataDirectory(target));
      case EMPTY_DISK -> TestCluster.deleteDirectory(cluster.dataDirectory(target));
      case DAMAGED_DISK -> truncateSnapshots(cluster.dataDirectory(target));
      case DRAIN -> sendOperatorCommand(Kind.DRAIN, target);
      case ADMIT -> sendOperatorCommand(Kind.ADMIT, target);
      case MOVE -> sendOperatorCommand(Kind.MOVE, target);
      default -> {}
    }
  }

  private double clockRate(Step step, String target) {
    return step.clockRate() == 1 ? script.clockRates().getOrDefault(target, 1.0) : step.clockRate();
  }

  private void injectFault(Step step, String from) {
    for (String to : processes.resolve(step.linkTarget())) {
      if (!to.equals(from)) {
        cluster.injectFault(from, to, step.fault(), step.ms(), step.jitterMs(), step.bytesPerS());
      }
    }
  }

  private Path diskCopyDirectory(String target) {
    return runFolder.resolve("kept-" + target);
  }

  private void sendOperatorCommand(Kind kind, String member) throws IOException {
    CommandResult result =
        operatorClient.sendOperatorCommand(kind, member, kind == Kind.MOVE ? "report" : "");
    if (result.error() != null) {
      throw new TidebankException.RequestRejected(result.error());
    }
  }

  private static void truncateSnapshots(Path dataDirectory) throws IOException {
    try (Stream<Path> files = Files.walk(dataDirectory)) {
      List<Path> snapshots =
          files
              .filter(file -> file.getFileName().toString().matches("snapshot\\.\\d+_\\d+"))
              .sorted()
              .toList();
      if (snapshots.isEmpty()) {
        throw new IOException("no snapshot to truncate in " + dataDirectory);
      }
      for (Path snapshot : snapshots) {
        byte[] content = Files.readAllBytes(snapshot);
        Files.write(snapshot, Arrays.copyOf(content, content.length / 2));
      }
    }
  }
}
