package tidebank.coordinator;

import java.io.IOException;
import java.net.BindException;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.CoordinatorException;
import tidebank.errors.StorageException;
import tidebank.errors.TidebankException;
import tidebank.fleet.LeaseCodec;
import tidebank.lease.LeaseCommand;

/**
 * A coordinator: a replica of the lease table and its HTTP server. Thread-safe; the returned
 * futures fail with a {@link TidebankException}.
 */
public final class CoordinatorServer implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(CoordinatorServer.class);
  private static final byte[] READ_STATE = new byte[0];

  private final CoordinatorConfig config;
  private final LeaseStateMachine stateMachine;
  private final RaftReplica replica;
  private final AssignmentWaiters waiters;
  private final ConfigurationPublisher configurationPublisher;
  private final HttpServer http;

  private CoordinatorServer(CoordinatorConfig config) throws IOException {
    this.config = config;
    stateMachine = new LeaseStateMachine(config.leaseConfig(), new StateMachineListener());
    waiters = new AssignmentWaiters(stateMachine::lastAppliedState);
    replica = new RaftReplica(config, stateMachine);
    configurationPublisher = new ConfigurationPublisher(config, replica);
    http = new HttpServer(config.listen().http(), new HttpRequestHandler(this), replica::leader);
  }

  private final class StateMachineListener implements LeaseStateMachine.Listener {
    @Override
    public void leadershipAcquired() {
      LOG.info("became leader: coordinator={}", config.name());
      configurationPublisher.publishIfChanged(stateMachine.lastAppliedState());
    }

    @Override
    public void commandApplied() {
      waiters.notifyWaiters();
    }

    @Override
    public void logFailed(Throwable cause) {
      replica.logFailed(cause);
    }
  }

  /**
   * Starts a coordinator and returns once it listens. Requests succeed only while a majority of the
   * coordinators is running.
   *
   * @throws IOException if the coordinator cannot start; a {@link TidebankException} if the cause
   *     is a documented error condition
   */
  public static CoordinatorServer start(CoordinatorConfig config) throws IOException {
    checkDataDirectory(config);
    CoordinatorServer coordinator = new CoordinatorServer(config);
    try {
      coordinator.http.listen();
      coordinator.replica.start();
    } catch (IOException | RuntimeException exception) {
      coordinator.close();
      throw toStartException(config, exception);
    }
    LOG.info(
        "coordinator listening: coordinator={}, address={}, coordinators={}",
        config.name(),
        config.listen().http(),
        config.peers().size());
    return coordinator;
  }

  private static void checkDataDirectory(CoordinatorConfig config) throws TidebankException {
    try {
      Files.createDirectories(config.dataDirectory());
      Files.delete(Files.createTempFile(config.dataDirectory(), "write", ".try"));
    } catch (IOException exception) {
      throw new StorageException.DataDirectoryUnusable(
          config.dataDirectory().toString(), exception.toString());
    }
  }

  /** Maps a failed start to a documented error condition if one of its causes is known. */
  private static IOException toStartException(CoordinatorConfig config, Exception exception) {
    for (Throwable cause = exception; cause != null; cause = cause.getCause()) {
      if (cause instanceof TidebankException known) {
        return known;
      }
      if (cause instanceof BindException) {
        return new CoordinatorException.AddressTaken(
            config.listen().raft().toString(), cause.getMessage());
      }
      if (cause instanceof OverlappingFileLockException
          || String.valueOf(cause.getMessage()).contains("lock")) {
        return new StorageException.DataDirectoryUnusable(
            config.dataDirectory().toString(), String.valueOf(cause.getMessage()));
      }
    }
    return exception instanceof IOException io ? io : new IOException(exception);
  }

  // ---- requests

  /** Commits a command to the replicated log; completes with its result as JSON. */
  CompletableFuture<byte[]> execute(LeaseCommand command) {
    return replica.write(LeaseCodec.write(command));
  }

  /** Reads the lease table with a linearizable read; completes with its state as JSON. */
  CompletableFuture<byte[]> readState() {
    return replica.read(READ_STATE);
  }

  /** Reads the audit log of all tasks with a linearizable read; completes with it as JSON. */
  CompletableFuture<byte[]> readAuditLog() {
    return replica.read(LeaseStateMachine.READ_AUDIT_LOG.toByteArray());
  }

  /**
   * Long-polls for tasks that are assigned to a member and have no current lease holder. Completes
   * with their names as a JSON list as soon as there is one, or with an empty list after {@code
   * waitMs}; fails if this coordinator is not the leader.
   */
  CompletableFuture<byte[]> awaitUnclaimedTasks(String member, long waitMs) {
    try {
      replica.requireLeader();
    } catch (TidebankException exception) {
      return CompletableFuture.failedFuture(exception);
    }
    return waiters.await(member, waitMs);
  }

  /** Returns the leader, if this replica knows of one. */
  Optional<CoordinatorConfig.Peer> leader() {
    return replica.leader();
  }

  // ---- shutdown

  /**
   * Returns a future that completes with the cause once this coordinator can no longer serve. The
   * caller then has to end the process.
   */
  public CompletableFuture<TidebankException> failure() {
    return replica.failure();
  }

  @Override
  public void close() {
    http.close();
    replica.close();
  }
}
