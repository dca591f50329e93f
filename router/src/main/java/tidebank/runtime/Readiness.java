package tidebank.runtime;

/**
 * Decides whether a router reports ready. It is ready once it knows shard servers.
 *
 * <p>If no list was configured and none arrives, as discovery is down or overloaded, it is ready
 * after half of the time within which a restarted router must be ready. It then responds to each
 * query with 503 at once, so that clients try another router; a router that never becomes ready
 * would tell them nothing. This does not apply if discovery has sent an empty list.
 */
final class Readiness {
  /** The operators require a restarted router to be ready within this time. */
  private static final long REQUIRED_WITHIN_US = 10_000_000;

  private final long readyWithoutListAt;

  Readiness(long startedAt) {
    readyWithoutListAt = startedAt + REQUIRED_WITHIN_US / 2;
  }

  /** Returns whether to report ready; {@code listReceived} is also true for an empty list. */
  boolean isReady(long now, boolean knowsServers, boolean listReceived) {
    return knowsServers || (!listReceived && now >= readyWithoutListAt);
  }
}
