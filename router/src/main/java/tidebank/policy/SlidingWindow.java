package tidebank.policy;

import java.util.ArrayDeque;
import java.util.Deque;

/** Times at which something happened, kept for as long as a span looks back. */
public final class SlidingWindow {
  private final Deque<Long> times = new ArrayDeque<>();

  /** How many lie within the span up to now; older ones are forgotten. */
  public int count(long now, long span) {
    while (!times.isEmpty() && times.peekFirst() <= now - span) {
      times.removeFirst();
    }
    return times.size();
  }

  public void add(long now, long span) {
    count(now, span);
    times.addLast(now);
  }
}
