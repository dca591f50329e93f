package tidebank.testbed.scale;

/**
 * The size of a fleet.
 *
 * @param gatherers number of routers
 * @param servers number of shard servers
 */
public record Size(int gatherers, int servers) {
  @Override
  public String toString() {
    return gatherers + " x " + servers;
  }
}
