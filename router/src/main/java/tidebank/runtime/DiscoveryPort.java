package tidebank.runtime;

/** What the decisions want of the side that talks to discovery. */
public interface DiscoveryPort {
  /**
   * Begins a new watch of the endpoint list, or ends it. A watch begun reports exactly one list;
   * changes follow until the watch is lost.
   */
  void watch(boolean enabled);
}
