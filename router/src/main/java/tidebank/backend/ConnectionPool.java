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
 * The connections to one shard server, the batch that collects the attempts of the current decision
 * round, and whether the server is draining.
 */
final class ConnectionPool {
  private static final long NEVER = Long.MAX_VALUE;

  private final String server;
  private final ShardClient client;
  private final BackendContext context;
  private final List<ShardConnection> connections = new ArrayList<>();
  private final TimerQueue.Timer drainTimer = TimerQueue.timer(this::drainGraceEnded);

  /** Null until the endpoint list names the server. */
  private InetSocketAddress address;

  /** From when on nothing may begin to be sent, in microseconds. */
  private long refusesNewFrom = NEVER;

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

  long refusesNewFrom() {
    return refusesNewFrom;
  }

  /**
   * Handles that the server is in service at this address. Connections to another address are
   * retired.
   */
  void inService(InetSocketAddress current) {
    refusesNewFrom = NEVER;
    context.timers().cancel(drainTimer);
    gone = false;
    if (!current.equals(address)) {
      address = current;
      retireConnections();
    }
  }

  /**
   * Handles that the server is draining or gone. It gets nothing new after the grace.
   *
   * @param graceEndsAt when the grace of this notification ends, in microseconds; an earlier end
   *     stands
   */
  void draining(long graceEndsAt, boolean isGone) {
    refusesNewFrom = Math.min(refusesNewFrom, graceEndsAt);
    context.timers().schedule(drainTimer, refusesNewFrom);
    // The grace counts from when discovery wrote this, and this process may have stood still since:
    // what is waiting must not wait for the end of the grace.
    List.copyOf(connections).forEach(ShardConnection::dropWaiting);
    gone = isGone;
    client.removeIfUnused(this);
  }

  private void drainGraceEnded() {
    for (ShardConnection connection : List.copyOf(connections)) {
      connection.closeIfWriting();
      connection.dropWaiting();
    }
  }

  /** Returns whether the server has left, or was never listed, and no connection is left. */
  boolean isUnused() {
    return (gone || address == null) && connections.isEmpty();
  }

  int connectionCount() {
    return connections.size();
  }

  /** Adds an attempt to the batch of this decision round. */
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

  /** Assigns a batch to a connection with capacity, or to a new one. */
  void dispatch(RequestBatch batch) {
    if (batch.isEmpty()) {
      return;
    }
    ShardConnection connection = connectionWithCapacity();
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
    ShardConnection connection = connectionWithCapacity();
    if (connection == null) {
      context.policy().healthCheckCompleted(server, Outcome.UNREACHABLE, 0, Map.of());
      return;
    }
    connection.checkHealth(type);
    connection.connect();
  }

  /** Returns a connection with capacity, or a new one; null where none may be opened. */
  private ShardConnection connectionWithCapacity() {
    for (ShardConnection connection : connections) {
      if (connection.hasCapacity()) {
        return connection;
      }
    }
    if (address == null || !client.mayOpenConnection(this)) {
      return null;
    }
    ShardConnection connection = new ShardConnection(this, context);
    connections.add(connection);
    client.connectionAdded();
    return connection;
  }

  ChannelFuture connect(ShardConnection connection) {
    return client.bootstrap(connection).connect(address);
  }

  void completeAll(RequestBatch batch, Outcome outcome) {
    for (InFlightAttempt attempt : batch.copyOfAttempts()) {
      complete(attempt, outcome, null);
    }
  }

  void complete(InFlightAttempt attempt, Outcome outcome, byte[] value) {
    complete(attempt, outcome, value, Map.of());
  }

  /** Removes an attempt and reports its outcome to the policy, once. */
  void complete(
      InFlightAttempt attempt, Outcome outcome, byte[] value, Map<String, Double> loadReport) {
    // A write that fails at once may close its connection, and so complete all attempts on it,
    // before it returns.
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
