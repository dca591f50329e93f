package tidebank.model;

/** State that lives as long as the instance, for one shard. */
public final class Shard {
  /** Cap in parts for each replica. */
  public double capPerReplica;

  public long troubledAt = Long.MIN_VALUE / 2;

  public Shard(double capPerReplica) {
    this.capPerReplica = capPerReplica;
  }
}
