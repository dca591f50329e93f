package tidebank.runtime;

import tidebank.model.Outcome;

/**
 * An attempt at a shard request that the routing policy has decided to send. The backend sends it
 * and reports its outcome exactly once, through {@link PolicyExecutor#attemptCompleted}.
 */
public final class AttemptRequest {
  private final PendingShardRequest shardRequest;
  private final int index;
  private final String server;
  private final long deadline;
  private final long createdAt;
  private Handle handle;
  private boolean completed;
  private boolean mayHaveExecuted;

  AttemptRequest(
      PendingShardRequest shardRequest, int index, String server, long deadline, long createdAt) {
    this.shardRequest = shardRequest;
    this.index = index;
    this.server = server;
    this.deadline = deadline;
    this.createdAt = createdAt;
  }

  /** Returns the id of the shard request on the wire. */
  public String requestId() {
    return shardRequest.id();
  }

  /** Returns the number of the shard that the request goes to. */
  public int shard() {
    return shardRequest.target().shard();
  }

  /** Returns the name of the query's class. */
  public String queryClass() {
    return shardRequest.query().request().queryClass();
  }

  /** Returns when the first attempt of the shard request was decided, in microseconds. */
  public long firstAttemptAt() {
    return shardRequest.attempts().get(0).createdAt;
  }

  /** Returns the id of the shard server that the attempt goes to. */
  public String server() {
    return server;
  }

  /** Returns the body, which all shard requests of a query share. Must not be modified. */
  public byte[] body() {
    return shardRequest.query().request().body();
  }

  /** Returns when the attempt times out, in microseconds of the {@link Clock}. */
  public long deadline() {
    return deadline;
  }

  PendingShardRequest shardRequest() {
    return shardRequest;
  }

  /** Returns the index of this attempt among those of its shard request, from 0. */
  int index() {
    return index;
  }

  long createdAt() {
    return createdAt;
  }

  boolean isCompleted() {
    return completed;
  }

  void markCompleted(Outcome outcome) {
    completed = true;
    mayHaveExecuted = !outcome.provesNotExecuted();
  }

  /** Returns whether the attempt has completed and its server may have executed it. */
  boolean mayHaveExecuted() {
    return mayHaveExecuted;
  }

  void setHandle(Handle newHandle) {
    handle = newHandle;
  }

  /** Cancels the attempt unless it has completed. */
  void cancel() {
    if (!completed) {
      handle.cancel();
    }
  }

  /** Drops the attempt unless it has reached the shard server. */
  void dropUndelivered() {
    if (!completed) {
      handle.dropUndelivered();
    }
  }

  /** Controls an attempt that the backend has accepted. */
  public interface Handle {
    /**
     * Stops waiting for the response. Notifies the shard server if the attempt has reached it and
     * the deployment permits cancellation; closes the connection if it may not have arrived.
     */
    void cancel();

    /**
     * Drops the attempt unless it has reached the shard server. One that is written but may not
     * have arrived closes its connection, now or once it must not arrive any more.
     */
    void dropUndelivered();
  }
}
