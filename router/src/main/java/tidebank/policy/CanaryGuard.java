package tidebank.policy;

import java.util.List;

/**
 * Protects shard servers from queries that crash them. While servers crashed of late with requests
 * in flight, a query's heaviest request goes first and alone, the others once it is answered or
 * late: a query that crashes its servers then reaches one of them. Sound queries pay the canary's
 * time, so nothing is held back under overload.
 */
final class CanaryGuard {
  private static final int MIN_CRASHES = 2;
  private static final int WINDOW_OBJECTIVES = 16;

  private final long windowUs;
  private final CongestionDetector congestion;
  private final LatencyTracker latency;
  private final DeadlineBudget deadlines;
  private final QueryWorkQueue workQueue;
  private final SlidingWindow crashes = new SlidingWindow();

  CanaryGuard(
      long shortestObjectiveUs,
      CongestionDetector congestion,
      LatencyTracker latency,
      DeadlineBudget deadlines,
      QueryWorkQueue workQueue) {
    this.windowUs = WINDOW_OBJECTIVES * shortestObjectiveUs;
    this.congestion = congestion;
    this.latency = latency;
    this.deadlines = deadlines;
    this.workQueue = workQueue;
  }

  /** Records a server that went down with requests in flight. */
  void recordCrash(long now) {
    crashes.add(now, windowUs);
  }

  /** Returns whether a ranked query still waits for its canary, the first of its requests. */
  boolean holdsBack(Query query, long now) {
    List<ShardRequest> requests = query.requests();
    if (crashes.count(now, windowUs) < MIN_CRASHES
        || congestion.isOverloaded()
        || requests.size() < 2
        || !query.isFirstStage()
        || deadlines.isExhausted(query, now)
        || requests.get(0).isAnswered()) {
      return false;
    }
    List<Attempt> attempts = requests.get(0).attempts();
    long sentAt = attempts.isEmpty() ? now : attempts.get(0).sentAt();
    long until = sentAt + latency.canaryWaitUs(query.queryClass());
    workQueue.reviewAt(until, query);
    return query.connectionLosses() > 0 || now < until;
  }
}
