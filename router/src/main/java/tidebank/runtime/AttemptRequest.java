package tidebank.runtime;

/**
 * One attempt at a shard request, as the decisions want it sent. The backend sends it and reports
 * its outcome once, through {@link PolicyExecutor#attemptCompleted}.
 */
public final class AttemptRequest {
  public final String requestId;
  public final int shard;
  public final String server;
  public final byte[] body;

  /** When the attempt is given up, in microseconds. */
  public final long deadline;

  private final PendingShardRequest shardRequest;
  private final int number;
  private final long createdAt;
  private Handle handle;
  private boolean completed;

  AttemptRequest(
      PendingShardRequest shardRequest, int number, String server, long deadline, long createdAt) {
    this.shardRequest = shardRequest;
    this.requestId = shardRequest.id();
    this.shard = shardRequest.range().shard();
    this.number = number;
    this.server = server;
    this.body = shardRequest.query().request().body();
    this.deadline = deadline;
    this.createdAt = createdAt;
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
