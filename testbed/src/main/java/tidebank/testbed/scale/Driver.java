package tidebank.testbed.scale;

/** A count of the fleet that a quantity is assumed to grow with. */
public enum Driver {
  SERVERS("shard server", "shard servers"),
  GATHERERS("gatherer", "gatherers"),
  /** The entries of the endpoint lists of all routers: routers times shard servers. */
  LIST_ENTRIES("list entry", "list entries");

  private final String label;
  private final String plural;

  Driver(String label, String plural) {
    this.label = label;
    this.plural = plural;
  }

  /** Returns the singular name that tables show. */
  public String label() {
    return label;
  }

  /** Returns the plural name that tables show. */
  String plural() {
    return plural;
  }

  /** Returns the count in a fleet of this size. */
  public double count(Size size) {
    return switch (this) {
      case SERVERS -> size.servers();
      case GATHERERS -> size.gatherers();
      case LIST_ENTRIES -> (double) size.gatherers() * size.servers();
    };
  }

  /**
   * Returns the factor by which a fleet has to grow to reach a count, if its routers and shard
   * servers grow by the same factor.
   */
  double growthFactor(double count, Size fleet) {
    double ratio = count / count(fleet);
    return this == LIST_ENTRIES ? Math.sqrt(ratio) : ratio;
  }
}
