package tidebank.runtime;

/** The client of discovery, as far as the policy's actions need it. */
public interface DiscoveryPort {
  /**
   * Starts a new watch of the endpoint list, or stops watching. A new watch reports exactly one
   * list, followed by changes until the watch is lost.
   */
  void watch(boolean enabled);
}
