package tidebank.policy;

/** State that lives as long as the instance, for one shard. */
public final class ConcurrencyLimit {
  /** Cap in parts for each replica. */
  public double limitPerReplica;

  public long decreasedAt = Long.MIN_VALUE / 2;

  public ConcurrencyLimit(double capPerReplica) {
    this.limitPerReplica = capPerReplica;
  }
}
