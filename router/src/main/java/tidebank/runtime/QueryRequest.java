package tidebank.runtime;

import java.util.List;

/**
 * A checked query of a client.
 *
 * @param id the client's id of it
 * @param queryClass the name of its query class
 * @param tenant whose quota it counts against, or ""
 * @param receivedAt when its last byte was read, in microseconds
 * @param deadline when its client stops waiting, in microseconds
 * @param clientRetry whether the client has sent it before
 * @param key the idempotency key, or ""
 * @param body what each shard request carries; not to be modified
 * @param ranges the shards it goes to
 */
public record QueryRequest(
    String id,
    String queryClass,
    String tenant,
    long receivedAt,
    long deadline,
    boolean clientRetry,
    String key,
    byte[] body,
    List<ShardRange> ranges) {
  /** A shard, its share of the complete response, and the key for choosing a replica, or "". */
  public record ShardRange(int shard, double weight, String key) {}
}
