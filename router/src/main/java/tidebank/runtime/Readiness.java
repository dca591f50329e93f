package tidebank.runtime;

/**
 * Decides whether a router reports that it can serve. It can once it knows shard servers. Where no
 * endpoint list comes, as discovery is down or overloaded and none was configured, it is ready all
 * the same after half of the time in which restarted routers have to be (the operators': 10 s). It
 * then responds to each query at once with 503, which makes clients try elsewhere, where a start
 * that never ends tells them nothing. An empty list is no such case.
 */
final class Readiness {
  private static final long REQUIRED_WITHIN_US = 10_000_000;

  private final long readyWithoutListAt;

  Readiness(long startedAt) {
    readyWithoutListAt = startedAt + REQUIRED_WITHIN_US / 2;
  }

  /** {@code listReceived}: whether discovery has sent any list, also an empty one. */
  boolean ready(long now, boolean knowsServers, boolean listReceived) {
    return knowsServers || (!listReceived && now >= readyWithoutListAt);
  }
}
