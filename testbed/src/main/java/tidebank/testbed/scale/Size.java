package tidebank.testbed.scale;

/** A fleet's size. */
public record Size(int gatherers, int servers) {
  @Override
  public String toString() {
    return gatherers + " x " + servers;
  }
}
