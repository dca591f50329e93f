package tidebank.testbed.account;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import tidebank.model.Idempotency;

/**
 * A checker of the six rules that routers have to keep, as seen from outside of them: by what
 * clients sent and received, what shard servers received, and what discovery announced to routers.
 * Each client attempt counts as a query of its own.
 *
 * <ol>
 *   <li>Each query gets one final response, in time, and no attempt reaches a server after it.
 *   <li>A non-idempotent shard request is not sent again once it may have been executed, and its
 *       query is not throttled then.
 *   <li>A server that drains or is gone gets no attempts after the drain grace period.
 *   <li>A server in slow start is not overloaded.
 *   <li>A response holds only values that servers returned, reaches the query's minimum weight, and
 *       is marked complete only if it covers all shards.
 *   <li>Retries and hedged attempts stay within the retry budget.
 * </ol>
 *
 * <p>It has no clock: callers pass all times, in microseconds of one clock. Events come from
 * several threads and may be slightly out of order, so a query is checked and removed only one
 * second after the latest time for its response.
 */
public final class RuleAudit {
  /** How long after the latest time for a query's response its last events may still arrive. */
  private static final long LATE_EVENT_GRACE_US = 1_000_000;

  private static final int MAX_KEPT_VIOLATIONS = 50;

  /**
   * The limits that the rules set.
   *
   * @param answerSlackUs how long after its deadline a query may get its response
   * @param deliverySlackUs how long after it was written a message may be received
   * @param drainGraceUs how long a router may still send to a server after discovery announced that
   *     it drains or is gone
   * @param overloadMultiple multiple of a server's current capacity that it may be sent
   * @param overloadWindowUs window over which the work sent to a server is summed
   * @param retryBudgetFloor further attempts allowed in each window at any number of requests
   * @param retryBudgetRatio further attempts allowed per query and shard request in the window
   * @param retryBudgetWindowUs window of the retry budget; 0 disables the check
   */
  public record Settings(
      long answerSlackUs,
      long deliverySlackUs,
      long drainGraceUs,
      double overloadMultiple,
      long overloadWindowUs,
      double retryBudgetFloor,
      double retryBudgetRatio,
      long retryBudgetWindowUs) {}

  /** The response to a client attempt, or the reason why there is none. */
  public enum Response {
    ANSWERED,
    THROTTLED,
    FAILED,
    /** The request could not be written completely. */
    REQUEST_NOT_SENT,
    /**
     * The router closed the connection. The query counts as lost only if the router had sent shard
     * requests for it; otherwise the close may have crossed the request.
     */
    CONNECTION_CLOSED,
    /** The client stopped waiting, or still waits. */
    NO_RESPONSE
  }

  /** Whether a shard server accepted an attempt for execution. */
  public enum Execution {
    EXECUTED,
    NOT_EXECUTED
  }

  /**
   * A violation of a rule.
   *
   * @param rule the rule's number, 1 to 6
   * @param atUs when it was violated
   * @param description what was observed, for people to read
   */
  public record Violation(int rule, long atUs, String description) {}

  /** A query that has not been checked yet, with the events recorded for it. */
  private static final class TrackedQuery {
    final int router;
    final Idempotency idempotency;
    final double minimumWeight;
    final long deadlineUs;
    final Map<Integer, Double> weightByShard;
    final Map<Integer, List<Attempt>> attemptsByShard = new HashMap<>();
    long respondedUs = -1;
    Response response = Response.NO_RESPONSE;
    int responses;
    boolean routerKilled;

    TrackedQuery(
        int router,
        Idempotency idempotency,
        double minimumWeight,
        long deadlineUs,
        Map<Integer, Double> weightByShard) {
      this.router = router;
      this.idempotency = idempotency;
      this.minimumWeight = minimumWeight;
      this.deadlineUs = deadlineUs;
      this.weightByShard = weightByShard;
    }
  }

  /** An attempt of a shard request, as received by a shard server. */
  private record Attempt(long atUs, int server, Execution execution) {}

  /** Discovery's announcement to a router whether a server accepts new requests. */
  private record Announcement(long atUs, boolean acceptsRequests) {}

  /** The work that a server in slow start received within the overload window. */
  private static final class SlowStartLoad {
    /** Pairs of arrival time and work, both in microseconds. */
    final Deque<double[]> arrivals = new ArrayDeque<>();

    double workUs;
    boolean violated;
  }

  private final Settings settings;
  private final Map<String, TrackedQuery> queries = new LinkedHashMap<>();

  /** By router and server. */
  private final Map<Integer, Map<Integer, Deque<Announcement>>> announcements = new HashMap<>();

  private final Map<Integer, SlowStartLoad> slowStartLoads = new HashMap<>();
  private final Map<Integer, Deque<Long>> requestTimes = new HashMap<>();
  private final Map<Integer, Deque<Long>> furtherAttemptTimes = new HashMap<>();
  private final Map<Integer, Long> countsByRule = new TreeMap<>();
  private final List<Violation> violations = new ArrayList<>();
  private long checkedQueries;
  private long attempts;

  public RuleAudit(Settings settings) {
    this.settings = settings;
  }

  /**
   * Records that a client is about to send a query to a router.
   *
   * @param id the correlation ID, which differs between the attempts of a client
   * @param idempotency whether its shard requests may be executed again
   * @param minimumWeight least share of the weight that a response has to cover
   * @param weightByShard the requested shards and their shares of the weight
   */
  public void recordQuery(
      String id,
      int router,
      Idempotency idempotency,
      double minimumWeight,
      long atUs,
      long deadlineUs,
      Map<Integer, Double> weightByShard) {
    queries.put(
        id,
        new TrackedQuery(
            router, idempotency, minimumWeight, deadlineUs, Map.copyOf(weightByShard)));
    if (settings.retryBudgetWindowUs() > 0) {
      Deque<Long> times = requestTimes.computeIfAbsent(router, r -> new ArrayDeque<>());
      // The query itself and each of its shard requests count toward the budget.
      for (int i = 0; i <= weightByShard.size(); i++) {
        times.add(atUs);
      }
      countWithinBudgetWindow(times, atUs);
    }
  }

  /**
   * Records that an attempt of a shard request arrived at a shard server.
   *
   * @param id the correlation ID of the query that it belongs to
   */
  public void recordAttempt(
      String id, int shard, int router, int server, long atUs, Execution execution) {
    attempts++;
    TrackedQuery query = queries.get(id);
    if (query == null) {
      // The query was checked and removed before, or was never sent.
      addViolation(
          1, atUs, "attempt for unknown or finished query " + id + " arrived at server " + server);
      return;
    }
    List<Attempt> received = query.attemptsByShard.computeIfAbsent(shard, s -> new ArrayList<>());
    if (!query.weightByShard.containsKey(shard)) {
      addViolation(5, atUs, "query " + id + " did not request shard " + shard);
    }
    received.add(new Attempt(atUs, server, execution));
    Deque<Announcement> history = announcements.getOrDefault(router, Map.of()).get(server);
    Announcement last = null;
    for (Announcement announcement : history == null ? new ArrayDeque<Announcement>() : history) {
      last = announcement.atUs <= atUs ? announcement : last;
    }
    if (last != null
        && !last.acceptsRequests
        && atUs > last.atUs + settings.drainGraceUs() + settings.deliverySlackUs()) {
      addViolation(
          3,
          atUs,
          "router "
              + router
              + " sent an attempt to server "
              + server
              + " "
              + (atUs - last.atUs) / 1000
              + " ms after discovery announced it as draining or gone");
    }
    if (received.size() > 1 && settings.retryBudgetWindowUs() > 0) {
      Deque<Long> times = furtherAttemptTimes.computeIfAbsent(router, r -> new ArrayDeque<>());
      times.add(atUs);
      double allowed =
          settings.retryBudgetFloor()
              + settings.retryBudgetRatio()
                  * countWithinBudgetWindow(requestTimes.get(router), atUs);
      long furtherAttempts = countWithinBudgetWindow(times, atUs);
      if (furtherAttempts > allowed) {
        addViolation(
            6,
            atUs,
            "router "
                + router
                + " made "
                + furtherAttempts
                + " further attempts in the window, retry budget is "
                + allowed);
      }
    }
  }

  private long countWithinBudgetWindow(Deque<Long> times, long now) {
    while (times != null
        && !times.isEmpty()
        && times.peekFirst() < now - settings.retryBudgetWindowUs()) {
      times.pollFirst();
    }
    return times == null ? 0 : times.size();
  }

  /**
   * Records that work arrived at a server.
   *
   * @param workUs the work, in microseconds of execution time
   * @param capacityUsPerS the work that the warm server executes per second
   * @param warmth share of this capacity that the server has now; 1 after slow start
   */
  public void recordWork(
      int server, long atUs, double workUs, double capacityUsPerS, double warmth) {
    if (warmth >= 1) {
      slowStartLoads.remove(server);
      return;
    }
    SlowStartLoad load = slowStartLoads.computeIfAbsent(server, s -> new SlowStartLoad());
    load.arrivals.add(new double[] {atUs, workUs});
    load.workUs += workUs;
    while (load.arrivals.peekFirst()[0] < atUs - settings.overloadWindowUs()) {
      load.workUs -= load.arrivals.pollFirst()[1];
    }
    double allowed =
        settings.overloadMultiple() * warmth * capacityUsPerS * settings.overloadWindowUs() / 1e6;
    if (load.workUs > allowed * 1.1 && !load.violated) {
      load.violated = true;
      addViolation(
          4,
          atUs,
          "server "
              + server
              + ", at "
              + Math.round(100 * warmth)
              + "% of its capacity, was sent "
              + Math.round(load.workUs / 1000)
              + " ms of work in "
              + settings.overloadWindowUs() / 1000
              + " ms");
    }
  }

  /**
   * Records that discovery announced to a router whether a server accepts new requests. Only
   * changes are kept.
   */
  public void recordAnnouncement(int router, int server, boolean acceptsRequests, long atUs) {
    Deque<Announcement> history =
        announcements
            .computeIfAbsent(router, r -> new HashMap<>())
            .computeIfAbsent(server, s -> new ArrayDeque<>());
    if (history.isEmpty() || history.peekLast().acceptsRequests != acceptsRequests) {
      history.add(new Announcement(atUs, acceptsRequests));
      if (history.size() > 64) {
        history.pollFirst();
      }
    }
  }

  /** Records that a router was killed; it no longer owes responses to its open queries. */
  public void recordRouterExit(int router) {
    queries.values().stream()
        .filter(query -> query.router == router && query.responses == 0)
        .forEach(query -> query.routerKilled = true);
  }

  /**
   * Records that a client received the complete response to a query, or stopped waiting for it.
   *
   * @param correctShards the shards with a correct value in the response
   * @param wrongValues number of values in the response that no server returned for this query
   * @param complete whether the response is marked complete
   */
  public void recordResponse(
      String id,
      long atUs,
      Response response,
      Set<Integer> correctShards,
      int wrongValues,
      boolean complete) {
    TrackedQuery query = queries.get(id);
    if (query == null) {
      return;
    }
    if (response == Response.REQUEST_NOT_SENT || response == Response.CONNECTION_CLOSED) {
      query.response = response;
      query.respondedUs = atUs;
      return;
    }
    if (response == Response.NO_RESPONSE) {
      query.respondedUs = atUs;
      return;
    }
    query.responses++;
    query.respondedUs = atUs;
    query.response = response;
    if (query.responses > 1) {
      addViolation(1, atUs, "query " + id + " got " + query.responses + " final responses");
    }
    if (atUs > query.deadlineUs + settings.answerSlackUs() + settings.deliverySlackUs()) {
      addViolation(
          1,
          atUs,
          "query "
              + id
              + " got its response "
              + (atUs - query.deadlineUs) / 1000
              + " ms after its deadline");
    }
    if (response == Response.ANSWERED) {
      double weight = 0;
      for (int shard : new HashSet<>(correctShards)) {
        weight += query.weightByShard.getOrDefault(shard, 0.0);
      }
      if (wrongValues > 0) {
        addViolation(
            5,
            atUs,
            "response to query "
                + id
                + " holds "
                + wrongValues
                + " values that no server returned for it");
      }
      if (weight < query.minimumWeight - 1e-4) {
        addViolation(
            5,
            atUs,
            "response to query "
                + id
                + " covers a weight of "
                + weight
                + ", minimum is "
                + query.minimumWeight);
      }
      if (complete && correctShards.size() < query.weightByShard.size()) {
        addViolation(
            5,
            atUs,
            "response to query "
                + id
                + " is marked complete with "
                + correctShards.size()
                + " of "
                + query.weightByShard.size()
                + " shards");
      }
    }
  }

  /**
   * Checks and removes the queries with no further events to come. To be called regularly, and at
   * the end with a time past all deadlines.
   */
  public void checkDueQueries(long nowUs) {
    Iterator<Map.Entry<String, TrackedQuery>> entries = queries.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, TrackedQuery> entry = entries.next();
      TrackedQuery query = entry.getValue();
      if (query.deadlineUs + settings.answerSlackUs() + LATE_EVENT_GRACE_US > nowUs) {
        // Deadlines are in order only within a query class, so later entries may be due already.
        continue;
      }
      checkQuery(entry.getKey(), query);
      checkedQueries++;
      entries.remove();
    }
  }

  private void checkQuery(String id, TrackedQuery query) {
    boolean responded =
        query.response == Response.ANSWERED
            || query.response == Response.THROTTLED
            || query.response == Response.FAILED;
    boolean accepted =
        query.response == Response.NO_RESPONSE
            || query.response == Response.CONNECTION_CLOSED && !query.attemptsByShard.isEmpty();
    if (!responded && !query.routerKilled && accepted) {
      addViolation(
          1,
          query.deadlineUs,
          "query "
              + id
              + (query.response == Response.NO_RESPONSE
                  ? " got no final response"
                  : " lost its connection after shard requests had been sent"));
    }
    for (Map.Entry<Integer, List<Attempt>> entry : query.attemptsByShard.entrySet()) {
      List<Attempt> shardAttempts = entry.getValue();
      shardAttempts.sort((a, b) -> Long.compare(a.atUs, b.atUs));
      if (responded) {
        for (Attempt attempt : shardAttempts) {
          if (attempt.atUs > query.respondedUs + settings.deliverySlackUs()) {
            addViolation(
                1,
                attempt.atUs,
                "shard "
                    + entry.getKey()
                    + " of query "
                    + id
                    + " was sent "
                    + (attempt.atUs - query.respondedUs) / 1000
                    + " ms after the final response");
          }
        }
      }
      if (query.idempotency == Idempotency.NON_IDEMPOTENT) {
        boolean executed = false;
        for (Attempt attempt : shardAttempts) {
          if (executed) {
            addViolation(
                2,
                attempt.atUs,
                "shard "
                    + entry.getKey()
                    + " of non-idempotent query "
                    + id
                    + " was sent again after it may have been executed");
          }
          executed |= attempt.execution == Execution.EXECUTED;
        }
        if (executed && query.response == Response.THROTTLED) {
          addViolation(
              2,
              query.respondedUs,
              "non-idempotent query " + id + " was throttled after a shard request was executed");
        }
      }
    }
  }

  private void addViolation(int rule, long atUs, String description) {
    countsByRule.merge(rule, 1L, Long::sum);
    if (violations.size() < MAX_KEPT_VIOLATIONS) {
      violations.add(new Violation(rule, atUs, description));
    }
  }

  /** Returns the number of violations by the rule's number, without rules that were kept. */
  public Map<Integer, Long> countsByRule() {
    return countsByRule;
  }

  /** Returns the first violations, at most {@value #MAX_KEPT_VIOLATIONS}. */
  public List<Violation> violations() {
    return violations;
  }

  /** Returns the number of queries checked and removed so far. */
  public long checkedQueries() {
    return checkedQueries;
  }

  /** Returns the number of attempts of shard requests that arrived at shard servers. */
  public long attempts() {
    return attempts;
  }
}
