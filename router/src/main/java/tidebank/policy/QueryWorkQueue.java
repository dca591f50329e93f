package tidebank.policy;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The queries that a decision round has to review: those that something happened to, and those
 * whose time has come.
 */
final class QueryWorkQueue {
  private record Entry(long at, Query query) {}

  private final PriorityQueue<Entry> byTime =
      new PriorityQueue<>(
          Comparator.comparingLong(Entry::at).thenComparingLong(entry -> entry.query().number()));
  private SortedMap<Long, Query> changed = new TreeMap<>();

  /** Has the query reviewed in this round. */
  void markChanged(Query query) {
    changed.put(query.number(), query);
  }

  /** Has the query reviewed no later than at the given time. */
  void reviewAt(long time, Query query) {
    if (time < query.reviewAt()) {
      query.setReviewAt(time);
      byTime.add(new Entry(time, query));
    }
  }

  /** Takes the queries to review now, in the order in which they were received. */
  Iterable<Query> takeDue(long now) {
    while (!byTime.isEmpty() && byTime.peek().at() <= now) {
      Entry entry = byTime.poll();
      if (isCurrent(entry)) {
        markChanged(entry.query());
      }
    }
    Iterable<Query> due = changed.values();
    changed = new TreeMap<>();
    due.forEach(query -> query.setReviewAt(Long.MAX_VALUE));
    return due;
  }

  /** Returns when the next query is due, or {@link Long#MAX_VALUE}. */
  long nextReviewAt() {
    while (!byTime.isEmpty() && !isCurrent(byTime.peek())) {
      byTime.poll();
    }
    return byTime.isEmpty() ? Long.MAX_VALUE : byTime.peek().at();
  }

  /** Returns whether the query was not given another time since. */
  private static boolean isCurrent(Entry entry) {
    return entry.at() == entry.query().reviewAt();
  }
}
