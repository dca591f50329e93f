package tidebank.policy;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * The queue of queries to review: those that changed in the current decision round, and those with
 * a scheduled review that is due.
 */
final class QueryWorkQueue {
  private record ScheduledReview(long time, Query query) {}

  private final PriorityQueue<ScheduledReview> byTime =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledReview::time)
              .thenComparingLong(review -> review.query().number()));
  private SortedMap<Long, Query> changed = new TreeMap<>();

  /** Adds the query to those that are reviewed in the current round. */
  void markChanged(Query query) {
    changed.put(query.number(), query);
  }

  /** Schedules a review at the given time, unless an earlier one is scheduled. */
  void scheduleReview(long time, Query query) {
    if (time < query.nextReviewAt()) {
      query.setNextReviewAt(time);
      byTime.add(new ScheduledReview(time, query));
    }
  }

  /** Removes and returns the queries to review now, in the order in which they were received. */
  Iterable<Query> takeDue(long now) {
    while (!byTime.isEmpty() && byTime.peek().time() <= now) {
      ScheduledReview review = byTime.poll();
      if (isCurrent(review)) {
        markChanged(review.query());
      }
    }
    Iterable<Query> due = changed.values();
    changed = new TreeMap<>();
    due.forEach(query -> query.setNextReviewAt(Long.MAX_VALUE));
    return due;
  }

  /** Returns the time of the next scheduled review, or {@link Long#MAX_VALUE} if there is none. */
  long nextReviewAt() {
    while (!byTime.isEmpty() && !isCurrent(byTime.peek())) {
      byTime.poll();
    }
    return byTime.isEmpty() ? Long.MAX_VALUE : byTime.peek().time();
  }

  /** Returns whether the review of this query has not been rescheduled since. */
  private static boolean isCurrent(ScheduledReview review) {
    return review.time() == review.query().nextReviewAt();
  }
}
