package tidebank.policy;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The scans that a turn has to look at: those that something happened to, and those whose time has
 * come.
 */
public final class QueryWorkQueue {
  private record Entry(long at, Query scan) {}

  private final PriorityQueue<Entry> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Entry::at).thenComparingLong(entry -> entry.scan().number));
  private SortedMap<Long, Query> changed = new TreeMap<>();

  public void changed(Query scan) {
    changed.put(scan.number, scan);
  }

  /** The scan is looked at no later than this. */
  public void at(long time, Query scan) {
    if (time < scan.wakeAt) {
      scan.wakeAt = time;
      queue.add(new Entry(time, scan));
    }
  }

  /** Takes the scans to look at now, in the order in which they came. */
  public Iterable<Query> take(long now) {
    while (!queue.isEmpty() && queue.peek().at() <= now) {
      Entry entry = queue.poll();
      if (entry.at() == entry.scan().wakeAt) {
        changed(entry.scan());
      }
    }
    Iterable<Query> taken = changed.values();
    changed = new TreeMap<>();
    taken.forEach(scan -> scan.wakeAt = Long.MAX_VALUE);
    return taken;
  }

  /** When the next scan's time comes. */
  public long next() {
    while (!queue.isEmpty() && queue.peek().at() != queue.peek().scan().wakeAt) {
      queue.poll();
    }
    return queue.isEmpty() ? Long.MAX_VALUE : queue.peek().at();
  }
}
