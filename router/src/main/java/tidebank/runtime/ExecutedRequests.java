package tidebank.runtime;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The ids of the latest shard requests that may have been executed and must not be executed again.
 * Clients use a new id for each query, but one that has disconnected may send the same query again.
 */
final class ExecutedRequests {
  /** At 100 characters for each id, 4 MB at most. */
  static final int MAX_IDS = 16_384;

  private final Set<String> ids = new LinkedHashSet<>();

  /** Adds an id. The oldest one is dropped if there are too many. */
  void add(String id) {
    ids.add(id);
    if (ids.size() > MAX_IDS) {
      ids.remove(ids.iterator().next());
    }
  }

  boolean contains(String id) {
    return ids.contains(id);
  }
}
