package tidebank.runtime;

/** What the turn asks of the side that speaks to discovery. */
public interface DiscoveryPort {
  /**
   * Begins a watch anew, or ends it. Exactly one list event answers a beginning; changes follow
   * until it is lost.
   */
  void watch(boolean on);
}
