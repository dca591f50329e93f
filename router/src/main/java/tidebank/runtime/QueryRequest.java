package tidebank.runtime;

import java.util.List;

/**
 * A validated query from a client. Times are microseconds of the {@link Clock}.
 *
 * @param id the id that the client gave it
 * @param queryClass the name of its query class
 * @param tenant the tenant for quota accounting, or an empty string
 * @param receivedAt the earliest time at which its last byte may have arrived
 * @param deadline when its client stops waiting
 * @param clientRetry whether the client marked it as a retry
 * @param key the key that all tries of the same query share, or an empty string
 * @param body the body of each shard request; must not be modified
 * @param targets the shards that it goes to
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
    List<ShardTarget> targets) {
  /**
   * A shard that a query goes to.
   *
   * @param shard its number, from 0
   * @param weight its share of the complete response, from 0 to 1
   * @param routingKey the key for choosing a replica, or an empty string
   */
  public record ShardTarget(int shard, double weight, String routingKey) {}
}
