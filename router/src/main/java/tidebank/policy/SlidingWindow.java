package tidebank.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/** A counter of events within a sliding time window that ends now. */
final class SlidingWindow {
  private final Deque<Long> times = new ArrayDeque<>();

  /** Returns the number of events within the window; older ones are removed. */
  int count(long now, long windowUs) {
    while (!times.isEmpty() && times.peekFirst() <= now - windowUs) {
      times.removeFirst();
    }
    return times.size();
  }

  /** Adds an event at the current time, and removes those outside the window. */
  void add(long now, long windowUs) {
    count(now, windowUs);
    times.addLast(now);
  }
}
