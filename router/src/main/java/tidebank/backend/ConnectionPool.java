package tidebank.backend;

import io.netty.channel.ChannelFuture;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import tidebank.model.Outcome;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.TimerQueue;

/**
 * The connections to one shard server, with the open batch of the current decision round and the
 * server's drain state.
 */
final class ConnectionPool {
  private static final long NEVER = Long.MAX_VALUE;

  private final String server;
  private final ShardClient client;
  private final BackendContext context;
  private final List<ShardConnection> connections = new ArrayList<>();
  private final TimerQueue.Timer drainTimer = TimerQueue.timer(this::drainGraceEnded);

  /** The server's address; null until the endpoint list contains the server. */
  private InetSocketAddress address;

  /** When the drain grace ends, in microseconds. No write starts after it. */
  private long drainGraceEndsAt = NEVER;

  private boolean gone;
  private RequestBatch openBatch;

  ConnectionPool(String server, ShardClient client, BackendContext context) {
    this.server = server;
    this.client = client;
    this.context = context;
  }

  String server() {
    return server;
  }

  long drainGraceEndsAt() {
    return drainGraceEndsAt;
  }

  /** Marks the server as in service at this address. Connections to another address are retired. */
  void markInService(InetSocketAddress newAddress) {
    drainGraceEndsAt = NEVER;
    context.timers().cancel(drainTimer);
    gone = false;
    if (!newAddress.equals(address)) {
      address = newAddress;
      retireConnections();
    }
  }

  /**
   * Marks the server as draining or gone. No write to it starts after the drain grace.
   *
   * @param graceEndsAt when the drain grace ends according to this notification, in microseconds;
   *     ignored if an earlier end is already set
   * @param isGone whether discovery lists the server as gone or no longer lists it
   */
  void markDraining(long graceEndsAt, boolean isGone) {
    drainGraceEndsAt = Math.min(drainGraceEndsAt, graceEndsAt);
    context.timers().schedule(drainTimer, drainGraceEndsAt);
    // The grace counts from when discovery recorded the change, and this process may have stalled
    // since then. Queued batches are therefore dropped at once, not at the end of the grace.
    List.copyOf(connections).forEach(ShardConnection::dropUnwritten);
    gone = isGone;
    client.removeIfUnused(this);
  }

  private void drainGraceEnded() {
    for (ShardConnection connection : List.copyOf(connections)) {
      connection.closeIfWriting();
      connection.dropUnwritten();
    }
  }

  /** Returns whether no connection is left and the server is gone or was never listed. */
  boolean isUnused() {
    return (gone || address == null) && connections.isEmpty();
  }

  int connectionCount() {
    return connections.size();
  }

  /** Adds an attempt to the open batch, or to a new one if there is none or it is full. */
  InFlightAttempt add(AttemptRequest request) {
    if (openBatch == null || openBatch.attempts().size() >= client.maxBatchSize()) {
      openBatch = new RequestBatch(this);
      client.enqueue(openBatch);
    }
    InFlightAttempt attempt = new InFlightAttempt(request, openBatch);
    openBatch.add(attempt);
    context.timers().schedule(attempt, attempt.deadline());
    return attempt;
  }

  /** Ends the decision round: the next attempt starts a new batch. */
  void closeBatch() {
    openBatch = null;
  }

  /** Assigns a batch to a connection with capacity; fails its attempts if there is none. */
  void dispatch(RequestBatch batch) {
    if (batch.isEmpty()) {
      return;
    }
    ShardConnection connection = findOrAddConnection();
    if (connection == null) {
      context.counters().recordFault("shard.no-connection-to-spare", "server=" + server);
      completeAll(batch, Outcome.UNREACHABLE);
      client.removeIfUnused(this);
      return;
    }
    connection.assign(batch);
    connection.connect();
  }

  /** Sends a health check of this frame type. */
  void checkHealth(byte type) {
    ShardConnection connection = findOrAddConnection();
    if (connection == null) {
      context.policy().healthCheckCompleted(server, Outcome.UNREACHABLE, 0, Map.of());
      return;
    }
    connection.checkHealth(type);
    connection.connect();
  }

  /** Returns a connection with capacity, or a new one; null if none may be opened. */
  private ShardConnection findOrAddConnection() {
    for (ShardConnection connection : connections) {
      if (connection.hasCapacity()) {
        return connection;
      }
    }
    if (address == null || !client.allowsNewConnection(this)) {
      return null;
    }
    ShardConnection connection = new ShardConnection(this, context);
    connections.add(connection);
    client.connectionAdded();
    return connection;
  }

  ChannelFuture connect(ShardConnection connection) {
    return client.createBootstrap(connection).connect(address);
  }

  void completeAll(RequestBatch batch, Outcome outcome) {
    for (InFlightAttempt attempt : batch.copyOfAttempts()) {
      complete(attempt, outcome, null);
    }
  }

  void complete(InFlightAttempt attempt, Outcome outcome, byte[] value) {
    complete(attempt, outcome, value, Map.of());
  }

  /** Removes an attempt and reports its outcome to the policy; does nothing on repeated calls. */
  void complete(
      InFlightAttempt attempt, Outcome outcome, byte[] value, Map<String, Double> loadReport) {
    // A write that fails immediately may close its connection before the call returns, which
    // completes all attempts on that connection.
    if (!attempt.markCompleted()) {
      return;
    }
    context.timers().cancel(attempt);
    RequestBatch batch = attempt.batch();
    batch.remove(attempt);
    if (batch.connection() != null) {
      batch.connection().remove(attempt);
    }
    context.policy().attemptCompleted(attempt.request(), outcome, value, loadReport);
  }

  /** Removes a connection that has closed. */
  void remove(ShardConnection connection) {
    if (connections.remove(connection)) {
      client.connectionRemoved();
    }
    client.removeIfUnused(this);
  }

  /** Lets all established connections finish their work and close. */
  void retireConnections() {
    List.copyOf(connections).forEach(ShardConnection::retire);
  }

  void close() {
    List.copyOf(connections).forEach(ShardConnection::close);
  }
}
