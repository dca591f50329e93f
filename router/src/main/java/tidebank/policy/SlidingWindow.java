package tidebank.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/** Counts how often something happened within a time span up to now. */
final class SlidingWindow {
  private final Deque<Long> times = new ArrayDeque<>();

  /** Returns how many events lie within the span up to now; older ones are forgotten. */
  int count(long now, long span) {
    while (!times.isEmpty() && times.peekFirst() <= now - span) {
      times.removeFirst();
    }
    return times.size();
  }

  /** Adds an event that happens now. */
  void add(long now, long span) {
    count(now, span);
    times.addLast(now);
  }
}
