package tidebank.testbed.trace.order;

import java.util.HashSet;
import java.util.Set;

/**
 * Tells an event that is told twice: same time, same identity. Holds the identities of one instant
 * only. Pure.
 */
public final class DuplicateFilter {
  private long now = Long.MIN_VALUE;
  private final Set<Long> seen = new HashSet<>();

  /** Whether this is the first time in a stream that is in order of time. */
  public boolean first(Item item) {
    if (item.row().timeUs() != now) {
      now = item.row().timeUs();
      seen.clear();
    }
    return item.event() == 0 || seen.add(item.event());
  }
}
