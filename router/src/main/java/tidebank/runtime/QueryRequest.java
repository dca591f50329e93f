package tidebank.runtime;

import java.util.List;

/**
 * A scan as a front took it, whose last byte came at {@code receivedAt}: checked, with its key or
 * "" and the text that every part carries.
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
  /** One part: its shard, its share of the whole answer and its key, or "". */
  public record ShardRange(int shard, double weight, String key) {}
}
