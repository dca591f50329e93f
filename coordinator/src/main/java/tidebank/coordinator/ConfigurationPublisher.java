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
 * Publishes the lease configuration and the task names of this coordinator's file through the
 * replicated log when it becomes the leader.
 */
final class ConfigurationPublisher {
  private static final Logger LOG = LoggerFactory.getLogger(ConfigurationPublisher.class);

  private final CoordinatorConfig config;
  private final RaftReplica replica;

  ConfigurationPublisher(CoordinatorConfig config, RaftReplica replica) {
    this.config = config;
    this.replica = replica;
  }

  /** Publishes the file's configuration if it differs from the one in the lease table. */
  void publishIfChanged(LeaseTableState state) {
    LeaseCommand.Plan configured =
        new LeaseCommand.Plan(config.leaseConfig(), config.tasks().stream().sorted().toList());
    LeaseCommand.Plan current =
        new LeaseCommand.Plan(state.config(), state.tasks().stream().map(TaskLease::task).toList());
    if (!configured.equals(current)) {
      String session = "plan of " + config.name() + " " + UUID.randomUUID();
      publish(new LeaseCommand(LeaseCommand.Kind.PLAN, session, 1, "", "", 0, 0, "", configured));
    }
  }

  /**
   * Submits the command until it is committed, or until another coordinator leads and publishes its
   * own configuration.
   */
  private void publish(LeaseCommand command) {
    replica
        .write(LeaseCodec.write(command))
        .whenComplete(
            (result, failure) -> {
              if (failure == null
                  || HttpErrors.toTidebankException(failure)
                      instanceof CoordinatorException.NotLeading) {
                return;
              }
              LOG.warn(
                  "could not publish configuration, retrying: coordinator={}, error={}",
                  config.name(),
                  failure.getMessage());
              CompletableFuture.delayedExecutor(config.electionTimeoutUs(), TimeUnit.MICROSECONDS)
                  .execute(() -> publish(command));
            });
  }
}
