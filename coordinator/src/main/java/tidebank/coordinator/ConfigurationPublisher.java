package tidebank.coordinator;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.CoordinatorException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseTableState;
import tidebank.lease.TaskLease;

/**
 * Puts the lease configuration and the tasks of this coordinator's file into force when it becomes
 * the leader, through the log.
 */
final class ConfigurationPublisher {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationPublisher.class);

  private final CoordinatorConfig config;
  private final RaftReplica replica;

  ConfigurationPublisher(CoordinatorConfig config, RaftReplica replica) {
    this.config = config;
    this.replica = replica;
  }

  /** Publishes the file's configuration where it differs from the one in force. */
  void publishIfChanged(LeaseTableState inForce) {
    LeaseCommand.Plan wanted =
        new LeaseCommand.Plan(config.leaseConfig(), config.tasks().stream().sorted().toList());
    LeaseCommand.Plan current =
        new LeaseCommand.Plan(
            inForce.config(), inForce.tasks().stream().map(TaskLease::task).toList());
    if (!wanted.equals(current)) {
      String session = "plan of " + config.name() + " " + UUID.randomUUID();
      publish(new LeaseCommand(LeaseCommand.Kind.PLAN, session, 1, "", "", 0, 0, "", wanted));
    }
  }

  /** Retries until it is in force, or another coordinator leads, whose file counts then. */
  private void publish(LeaseCommand command) {
    replica
        .write(LeaseCodec.write(command))
        .whenComplete(
            (result, failed) -> {
              if (failed == null
                  || HttpErrors.toTidebankException(failed)
                      instanceof CoordinatorException.NotLeading) {
                return;
              }
              LOG.warn(
                  "configuration is not in force yet: coordinator={}, error={}",
                  config.name(),
                  failed.getMessage());
              CompletableFuture.delayedExecutor(config.electionTimeoutUs(), TimeUnit.MICROSECONDS)
                  .execute(() -> publish(command));
            });
  }
}
