package tidebank.coordinator;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.ratis.protocol.ClientId;
import org.apache.ratis.protocol.Message;
import org.apache.ratis.protocol.RaftClientReply;
import org.apache.ratis.protocol.RaftClientRequest;
import org.apache.ratis.protocol.RaftGroup;
import org.apache.ratis.protocol.RaftGroupId;
import org.apache.ratis.protocol.RaftPeer;
import org.apache.ratis.protocol.RaftPeerId;
import org.apache.ratis.server.RaftServer;
import org.apache.ratis.server.storage.RaftStorage;
import org.apache.ratis.statemachine.StateMachine;
import org.apache.ratis.thirdparty.com.google.protobuf.ByteString;
import org.apache.ratis.util.LifeCycle;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.CoordinatorException;
import tidebank.errors.StorageException;
import tidebank.errors.TidebankException;

/**
 * A replica of the coordinators' Raft group. Submits commands and reads while it is the leader, and
 * knows the current leader. Thread-safe.
 */
final class RaftReplica implements AutoCloseable {
  private static final Logger LOG = LoggerFactory.getLogger(RaftReplica.class);
  private static final RaftGroupId GROUP =
      RaftGroupId.valueOf(UUID.nameUUIDFromBytes("tidebank".getBytes(StandardCharsets.UTF_8)));

  /** Timeout of a request that waits for a majority, in election timeouts. */
  private static final int REQUEST_TIMEOUT_ELECTIONS = 8;

  private final CoordinatorConfig config;
  private final RaftServer server;
  private final ClientId clientId = ClientId.randomId();
  private final AtomicLong lastCallId = new AtomicLong();
  private final CompletableFuture<TidebankException> failure = new CompletableFuture<>();
  private final ScheduledExecutorService watchdog = newWatchdog();
  private volatile boolean closing;

  RaftReplica(CoordinatorConfig config, StateMachine stateMachine) throws IOException {
    this.config = config;
    List<RaftPeer> peers =
        config.peers().stream()
            .map(peer -> RaftPeer.newBuilder().setId(peer.name()).setAddress(peer.raft()).build())
            .toList();
    server =
        RaftServer.newBuilder()
            .setServerId(RaftPeerId.valueOf(config.name()))
            .setStateMachine(stateMachine)
            .setGroup(RaftGroup.valueOf(GROUP, peers))
            .setOption(RaftStorage.StartupOption.RECOVER)
            .setProperties(RaftSettings.of(config))
            .build();
  }

  void start() throws IOException {
    server.start();
    watchdog.scheduleWithFixedDelay(
        this::checkAlive,
        config.electionTimeoutUs(),
        config.electionTimeoutUs(),
        TimeUnit.MICROSECONDS);
  }

  private static ScheduledExecutorService newWatchdog() {
    return Executors.newSingleThreadScheduledExecutor(
        task -> {
          Thread thread = new Thread(task, "replica-watchdog");
          thread.setDaemon(true);
          return thread;
        });
  }

  // ---- requests

  /** Commits a command to the replicated log; completes with the state machine's response. */
  CompletableFuture<byte[]> write(byte[] request) {
    return submit(RaftClientRequest.writeRequestType(), request);
  }

  /** Sends a linearizable read; completes with the state machine's response. */
  CompletableFuture<byte[]> read(byte[] request) {
    return submit(RaftClientRequest.readRequestType(), request);
  }

  private CompletableFuture<byte[]> submit(RaftClientRequest.Type type, byte[] body) {
    if (failure.isDone()) {
      return CompletableFuture.failedFuture(failure.join());
    }
    try {
      requireLeader();
      return server
          .submitClientRequestAsync(newRequest(type, body))
          .orTimeout(REQUEST_TIMEOUT_ELECTIONS * config.electionTimeoutUs(), TimeUnit.MICROSECONDS)
          .handle(this::toResult)
          .thenCompose(result -> result);
    } catch (TidebankException exception) {
      return CompletableFuture.failedFuture(exception);
    } catch (IOException exception) {
      return CompletableFuture.failedFuture(
          new CoordinatorException.NoMajority(exception.toString()));
    }
  }

  private RaftClientRequest newRequest(RaftClientRequest.Type type, byte[] body) {
    return RaftClientRequest.newBuilder()
        .setClientId(clientId)
        .setServerId(server.getId())
        .setGroupId(GROUP)
        .setCallId(lastCallId.incrementAndGet())
        .setType(type)
        .setMessage(Message.valueOf(ByteString.copyFrom(body)))
        .build();
  }

  private CompletableFuture<byte[]> toResult(RaftClientReply reply, Throwable failure) {
    if (failure != null) {
      return CompletableFuture.failedFuture(
          new CoordinatorException.NoMajority(String.valueOf(failure)));
    }
    if (reply.getNotLeaderException() != null) {
      return CompletableFuture.failedFuture(notLeadingException());
    }
    if (!reply.isSuccess()) {
      return CompletableFuture.failedFuture(
          new CoordinatorException.NoMajority(String.valueOf(reply.getException())));
    }
    return CompletableFuture.completedFuture(reply.getMessage().getContent().toByteArray());
  }

  // ---- leadership

  /**
   * Checks that this replica believes itself to be the leader.
   *
   * @throws CoordinatorException.NotLeading if it does not
   */
  void requireLeader() throws TidebankException {
    try {
      if (!server.getDivision(GROUP).getInfo().isLeader()) {
        throw notLeadingException();
      }
    } catch (TidebankException exception) {
      throw exception;
    } catch (IOException exception) {
      throw new CoordinatorException.NoMajority(exception.toString());
    }
  }

  private TidebankException notLeadingException() {
    return new CoordinatorException.NotLeading(
        config.name(), leader().map(CoordinatorConfig.Peer::describe).orElse(""));
  }

  /** Returns the leader, if this replica knows of one. */
  Optional<CoordinatorConfig.Peer> leader() {
    try {
      RaftPeerId leader = server.getDivision(GROUP).getInfo().getLeaderId();
      return config.peers().stream()
          .filter(peer -> leader != null && peer.name().equals(leader.toString()))
          .findFirst();
    } catch (IOException exception) {
      return Optional.empty();
    }
  }

  // ---- failure

  /**
   * Checks whether the Raft library has closed this replica by itself, as it does after an error in
   * the state machine. The process would run on without taking part in anything.
   */
  private void checkAlive() {
    try {
      LifeCycle.State state = server.getDivision(GROUP).getInfo().getLifeCycleState();
      if (state.isClosingOrClosed() || state == LifeCycle.State.EXCEPTION) {
        replicaClosed("its state is " + state);
      }
    } catch (IOException exception) {
      replicaClosed(exception.toString());
    }
  }

  private void replicaClosed(String reason) {
    if (!closing) {
      fail(new CoordinatorException.ReplicaClosed(config.name(), reason));
    }
  }

  /** Rejects all further requests, since the log can no longer be written. */
  void logFailed(Throwable cause) {
    Throwable root = cause;
    while (root.getCause() != null) {
      root = root.getCause();
    }
    fail(
        new StorageException.DataDirectoryUnusable(
            config.dataDirectory().toString(), "cannot write the replicated log: " + root));
  }

  private void fail(TidebankException exception) {
    if (failure.complete(exception)) {
      LOG.error(exception.details().toText().replace('\n', ' '));
    }
  }

  /** Returns a future that completes with the cause once this replica can no longer serve. */
  CompletableFuture<TidebankException> failure() {
    return failure;
  }

  @Override
  public void close() {
    closing = true;
    watchdog.shutdownNow();
    try {
      server.close();
    } catch (IOException exception) {
      LOG.warn("could not close Raft server: error={}", exception.getMessage());
    }
  }
}
