package tidebank.metrics;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Named counters of one router. Confined to its event loop; not thread-safe. */
public final class Counters {
  private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
  private final Map<String, long[]> counts = new TreeMap<>();

  /** Increments a counter and returns its new value. */
  public long increment(String name) {
    return ++counts.computeIfAbsent(name, absent -> new long[1])[0];
  }

  /** Raises a counter to a value that it has not reached yet. */
  public void raiseTo(String name, long value) {
    long[] count = counts.computeIfAbsent(name, absent -> new long[1]);
    count[0] = Math.max(count[0], value);
  }

  /** Returns the value of a counter; 0 if it was never incremented. */
  public long get(String name) {
    long[] count = counts.get(name);
    return count == null ? 0 : count[0];
  }

  /** Returns a copy of all counters, sorted by name. */
  public SortedMap<String, Long> toMap() {
    SortedMap<String, Long> all = new TreeMap<>();
    counts.forEach((name, count) -> all.put(name, count[0]));
    return all;
  }

  /** Increments the counter of a fault. Only its first occurrence is logged, with the details. */
  public void recordFault(String name, String details) {
    if (increment(name) == 1) {
      LOG.warn(name + ": " + details + " (further occurrences are only counted)");
    }
  }

  /**
   * Checks an invariant. A violation fails an assertion if assertions are enabled, and is recorded
   * as a fault otherwise.
   *
   * @param holds whether the invariant holds
   * @param invariant the invariant in words; with hyphens for spaces, it ends the counter's name
   * @return {@code holds}
   */
  public boolean checkInvariant(boolean holds, String invariant) {
    assert holds : invariant;
    if (!holds) {
      recordFault("invariant." + invariant.replace(' ', '-'), invariant);
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
