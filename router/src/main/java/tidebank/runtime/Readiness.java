package tidebank.runtime;

/**
 * When a gatherer tells its front that it can serve. It can once it knows of shard servers. Where
 * no list comes, as discovery is down or crowded and none was handed on, it is ready all the same
 * after half of the time in which restarted gatherers have to be (the operators': 10 s): ready then
 * means that it takes scans and answers each at once, throttled, which tells clients to try
 * elsewhere, where a start that never ends tells them nothing. An empty list is no such case.
 */
final class Readiness {
  private static final long BOUND_US = 10_000_000;

  private final long withoutListAt;

  Readiness(long startedAt) {
    withoutListAt = startedAt + BOUND_US / 2;
  }

  /** {@code listed}: whether any list has come, also an empty one. */
  boolean ready(long now, boolean knowsServers, boolean listed) {
    return knowsServers || !listed && now >= withoutListAt;
  }
}
