package tidebank.runtime;

/**
 * One attempt at a shard request, as the decisions want it sent. The backend sends it and reports
 * its outcome once, through {@link PolicyExecutor#attemptCompleted}.
 */
public final class AttemptRequest {
  private final PendingShardRequest shardRequest;
  private final int number;
  private final String server;
  private final long deadline;
  private final long createdAt;
  private Handle handle;
  private boolean completed;

  AttemptRequest(
      PendingShardRequest shardRequest, int number, String server, long deadline, long createdAt) {
    this.shardRequest = shardRequest;
    this.number = number;
    this.server = server;
    this.deadline = deadline;
    this.createdAt = createdAt;
  }

  /** Returns the id of the shard request on the wire. */
  public String requestId() {
    return shardRequest.id();
  }

  /** Returns the shard that is asked. */
  public int shard() {
    return shardRequest.range().shard();
  }

  /** Returns the id of the shard server that the attempt goes to. */
  public String server() {
    return server;
  }

  /** Returns the body; it is the same for all shard requests of a query. Not to be modified. */
  public byte[] body() {
    return shardRequest.query().request().body();
  }

  /** Returns when the attempt is given up, in microseconds. */
  public long deadline() {
    return deadline;
  }

  PendingShardRequest shardRequest() {
    return shardRequest;
  }

  /** Returns how many attempts at the same shard request were created before. */
  int number() {
    return number;
  }

  long createdAt() {
    return createdAt;
  }

  boolean isCompleted() {
    return completed;
  }

  void complete() {
    completed = true;
  }

  void accepted(Handle sent) {
    handle = sent;
  }

  /** Cancels the attempt unless it has completed. */
  void cancel() {
    if (!completed) {
      handle.cancel();
    }
  }

  /** Drops the attempt if nothing of it has been written. */
  void dropUnsent() {
    if (!completed) {
      handle.dropUnsent();
    }
  }

  /** What the backend returns for an attempt that it accepted. */
  public interface Handle {
    /** Stops waiting for the response; a shard server that has the request is told to stop. */
    void cancel();

    /** Drops the attempt if nothing of it has been written; otherwise does nothing. */
    void dropUnsent();
  }
}
