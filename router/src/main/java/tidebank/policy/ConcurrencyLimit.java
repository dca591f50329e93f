package tidebank.policy;

import tidebank.model.Settings;

/**
 * The concurrency limit of one shard, in requests per replica. It is increased additively by
 * responses, and decreased multiplicatively by rejections and timeouts.
 */
final class ConcurrencyLimit {
  private static final double INITIAL_PER_REPLICA = 8;

  private static final double DECREASE_FACTOR = 0.5;
  private static final long RECENT_DECREASE_US = 1_000_000;

  private double perReplica = INITIAL_PER_REPLICA;
  private long decreasedAt = Long.MIN_VALUE / 2;

  /**
   * Returns whether there are so many routers that each one's share of a replica's concurrency is
   * below one request, taking twice the initial limit as that concurrency. The requests that a
   * router has in flight then say nothing about the load of the replica.
   */
  static boolean isTrafficSparse(Settings settings) {
    return settings.routers() > 2 * INITIAL_PER_REPLICA;
  }

  double perReplica() {
    return perReplica;
  }

  void increase(int replicas) {
    perReplica += 1.0 / Math.max(1, replicas);
  }

  void decrease(long now) {
    perReplica *= DECREASE_FACTOR;
    decreasedAt = now;
  }

  /** Returns whether the limit is below its initial value or was decreased in the last second. */
  boolean isReduced(long now) {
    return perReplica < INITIAL_PER_REPLICA || now - decreasedAt < RECENT_DECREASE_US;
  }
}
