package tidebank.policy;

import tidebank.model.Event;
import tidebank.model.Idempotency;
import tidebank.model.QueryClass;
import tidebank.model.Settings;

/**
 * Adds received queries and shard requests to the {@link QueryTable}, and sets the deadline and the
 * latency objective of each query.
 */
final class QueryIntake {
  private final Settings settings;
  private final QueryTable queries;
  private final QueryWorkQueue workQueue;
  private final DeadlineBudget deadlines;
  private final RetryBudget retryBudget;
  private final ClientRetryTracker clientRetries = new ClientRetryTracker();

  /** The time by which all queries need their final answer, once the router shuts down. */
  private long shutdownAt = Long.MAX_VALUE;

  QueryIntake(
      Settings settings,
      QueryTable queries,
      QueryWorkQueue workQueue,
      DeadlineBudget deadlines,
      RetryBudget retryBudget) {
    this.settings = settings;
    this.queries = queries;
    this.workQueue = workQueue;
    this.deadlines = deadlines;
    this.retryBudget = retryBudget;
  }

  /** Adds a query, and records how long it waited for the event loop. */
  void addQuery(Event.QueryReceived event, long now) {
    deadlines.recordEventLoopDelay(now - event.receivedAt(), now);
    QueryClass queryClass = settings.queryClasses().get(event.queryClass());
    if (queryClass == null) {
      queryClass = unknownClass(event.queryClass(), event.deadline() - now);
    }
    long firstReceivedAt = clientRetries.firstReceivedAt(event, queryClass, now);
    long objectiveAt = firstReceivedAt + queryClass.latencyObjectiveUs();
    Query query = new Query(event.id(), event.number(), queryClass, event.deadline(), objectiveAt);
    query.limitDeadline(shutdownAt);
    queries.add(query);
    workQueue.markChanged(query);
    retryBudget.recordReceived(now);
  }

  /**
   * Returns the strictest requirements for a query of an unknown class: only a complete answer
   * counts, and no request may be executed twice.
   */
  private static QueryClass unknownClass(String name, long remainingUs) {
    return new QueryClass(
        name, Idempotency.NON_IDEMPOTENT, 0, remainingUs, remainingUs, 0, 1, 1, 0);
  }

  /** Adds a shard request to its query if the query is still open. */
  void addRequest(Event.ShardRequestReceived event, long now) {
    retryBudget.recordReceived(now);
    Query query = queries.openQuery(event.queryNumber());
    if (query != null) {
      queries.add(new ShardRequest(event.id(), query, event.shard(), event.weight(), event.key()));
      workQueue.markChanged(query);
    }
  }

  /** Limits the deadlines of all present and future queries to the router's shutdown deadline. */
  void shutDownBy(long deadline) {
    shutdownAt = deadline;
    for (Query query : queries.queries()) {
      query.limitDeadline(shutdownAt);
      workQueue.markChanged(query);
    }
  }
}
