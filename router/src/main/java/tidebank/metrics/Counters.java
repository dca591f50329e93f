package tidebank.metrics;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Named counts of one gatherer, of what is odd as well as of what is usual. They belong to its
 * event loop.
 */
public final class Counters {
  private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
  private final Map<String, long[]> counts = new TreeMap<>();

  /** Counts one; returns how many there are now. */
  public long add(String name) {
    return ++counts.computeIfAbsent(name, absent -> new long[1])[0];
  }

  public long get(String name) {
    long[] count = counts.get(name);
    return count == null ? 0 : count[0];
  }

  /** All counts as they are now. */
  public SortedMap<String, Long> all() {
    SortedMap<String, Long> all = new TreeMap<>();
    counts.forEach((name, count) -> all.put(name, count[0]));
    return all;
  }

  /** Counts a fault of a kind; only the first of its kind is worth a line. */
  public void recordFault(String kind, String text) {
    if (add(kind) == 1) {
      LOG.warn(kind + ": " + text + " (later ones are only counted)");
    }
  }

  /**
   * What must hold: asserted where assertions are on, counted elsewhere. Returns whether it does.
   */
  public boolean checkInvariant(boolean holds, String what) {
    assert holds : what;
    if (!holds) {
      recordFault("invariant." + what.replace(' ', '-'), what);
    }
    return holds;
  }

  @Override
  public String toString() {
    return counts.entrySet().stream()
        .map(entry -> entry.getKey() + "=" + entry.getValue()[0])
        .collect(Collectors.joining(" "));
  }
}
