package tidebank.runtime;

/**
 * One dispatch, from the module's word to its one end. The shard side carries it out, the turn
 * keeps the books.
 */
public final class AttemptRequest {
  public final String requestId;
  public final int shard;
  public final String server;
  public final byte[] body;
  public final long deadline;
  final PendingQuery.PendingShardRequest shardRequest;
  final int number;
  final long createdAt;
  Handle handle;
  boolean completed;

  AttemptRequest(
      PendingQuery.PendingShardRequest held,
      int number,
      String server,
      byte[] text,
      long stopAt,
      long askedAt) {
    this.shardRequest = held;
    this.requestId = held.id;
    this.shard = held.range.shard();
    this.number = number;
    this.server = server;
    this.body = text;
    this.deadline = stopAt;
    this.createdAt = askedAt;
  }

  /** What the shard side gives back for a request. */
  public interface Handle {
    /** Stop waiting for it; its shard server is told so if it got it. */
    void cancel();

    /** Drop it if nothing of it was written yet. */
    void dropUnsent();
  }
}
