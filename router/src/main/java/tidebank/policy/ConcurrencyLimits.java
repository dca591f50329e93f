package tidebank.policy;

import java.util.HashMap;
import java.util.Map;

/** The concurrency limits of the shards, each created on first use. */
final class ConcurrencyLimits {
  private final Map<Integer, ConcurrencyLimit> byShard = new HashMap<>();

  ConcurrencyLimit forShard(int shard) {
    return byShard.computeIfAbsent(shard, absent -> new ConcurrencyLimit());
  }
}
