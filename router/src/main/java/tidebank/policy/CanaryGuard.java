package tidebank.policy;

import java.util.List;

/**
 * Protects shard servers from queries that crash them. After recent crashes of servers with
 * requests in flight, the request with the highest weight of each query is sent first, as a canary;
 * the others follow once it is answered or late. A query that crashes its servers then reaches only
 * one of them. The canary delays all other queries too, so it is not used under overload.
 */
final class CanaryGuard {
  /** Number of crashes within the window from which on canaries are used. */
  private static final int MIN_CRASHES = 2;

  /** Length of the window as a multiple of the shortest latency objective. */
  private static final int WINDOW_OBJECTIVE_MULTIPLE = 16;

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
    this.windowUs = WINDOW_OBJECTIVE_MULTIPLE * shortestObjectiveUs;
    this.congestion = congestion;
    this.latency = latency;
    this.deadlines = deadlines;
    this.workQueue = workQueue;
  }

  /** Records the crash of a server with requests in flight. */
  void recordCrash(long now) {
    crashes.add(now, windowUs);
  }

  /** Returns whether a query with ranked requests has to wait for its first one, the canary. */
  boolean isAwaitingCanary(Query query, long now) {
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
    workQueue.scheduleReview(until, query);
    return query.connectionLosses() > 0 || now < until;
  }
}
