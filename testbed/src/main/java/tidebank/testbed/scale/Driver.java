package tidebank.testbed.scale;

/** What a cost is taken to grow with. */
public enum Driver {
  SERVERS("shard server", "shard servers"),
  GATHERERS("gatherer", "gatherers"),
  /** Each shard server in the list of each gatherer. */
  LIST_ENTRIES("list entry", "list entries");

  private final String label;
  private final String plural;

  Driver(String label, String plural) {
    this.label = label;
    this.plural = plural;
  }

  /** Its name in tables, in the singular. */
  public String label() {
    return label;
  }

  /** Its name in tables, in the plural. */
  String plural() {
    return plural;
  }

  /** How many there are in a fleet of this size. */
  public double count(Size size) {
    return switch (this) {
      case SERVERS -> size.servers();
      case GATHERERS -> size.gatherers();
      case LIST_ENTRIES -> (double) size.gatherers() * size.servers();
    };
  }

  /** The multiple of a fleet, both its counts grown alike, at which there are so many. */
  double multiple(double count, Size of) {
    double ratio = count / count(of);
    return this == LIST_ENTRIES ? Math.sqrt(ratio) : ratio;
  }
}
