package tidebank.metrics;

import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Named counters of one router. They belong to its event loop and are not thread-safe. */
public final class Counters {
  private static final Logger LOG = LoggerFactory.getLogger(Counters.class);
  private final Map<String, long[]> counts = new TreeMap<>();

  /** Adds one to a counter and returns its new value. */
  public long increment(String name) {
    return ++counts.computeIfAbsent(name, absent -> new long[1])[0];
  }

  /** Returns the value of a counter; 0 if it was never added to. */
  public long get(String name) {
    long[] count = counts.get(name);
    return count == null ? 0 : count[0];
  }

  /** Returns a copy of all counters. */
  public SortedMap<String, Long> toMap() {
    SortedMap<String, Long> all = new TreeMap<>();
    counts.forEach((name, count) -> all.put(name, count[0]));
    return all;
  }

  /** Counts a fault. Only the first one of a counter is logged, with its details. */
  public void recordFault(String name, String details) {
    if (increment(name) == 1) {
      LOG.warn(name + ": " + details + " (further ones are only counted)");
    }
  }

  /**
   * Checks an invariant. A violation fails an assertion where assertions are enabled, and is
   * counted as a fault where they are not.
   *
   * @param invariant what must hold; also the end of the counter's name
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
