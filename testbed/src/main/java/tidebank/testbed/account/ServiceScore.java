package tidebank.testbed.account;

import java.util.Map;
import java.util.TreeMap;

/**
 * The score of a replay, computed from the service that clients got. Service is the benefit earned
 * by responses divided by the benefit of all queries; a query counts once, with all its retries.
 * The score weights four values: service over the whole run by 40%, in the worst ten seconds by
 * 30%, of the worst query class by 20% and of the worst tenant by 10%.
 *
 * <p>Memory grows with the duration of the run in seconds and with the numbers of classes and
 * tenants, not with the number of queries.
 */
public final class ServiceScore {
  /** Weights in tenths: integers, so that a run without loss scores exactly 1. */
  private static final int WHOLE_RUN_WEIGHT = 4;

  private static final int WORST_WINDOW_WEIGHT = 3;
  private static final int WORST_CLASS_WEIGHT = 2;
  private static final int WORST_TENANT_WEIGHT = 1;
  static final int WINDOW_S = 10;
  private static final long SECOND_US = 1_000_000;

  /**
   * A window, query class or tenant can be the worst only if its queries' benefit is at least this
   * share of the average over all windows, classes or tenants.
   */
  private static final double MIN_SHARE_OF_AVERAGE = 0.2;

  /** The benefit of a group of queries, possible and earned. */
  private static final class BenefitSum {
    double possible;
    double earned;

    void add(QueryRecord query) {
      possible += query.benefit();
      earned += query.earnedBenefit();
    }

    double service() {
      return possible == 0 ? Double.NaN : earned / possible;
    }
  }

  /**
   * The score and the values it is computed from. A worst value is that of the whole run, and its
   * name empty, if no group is worse.
   *
   * @param worstWindowFromS the start of the worst window, in seconds from the start of the replay
   */
  public record Summary(
      double score,
      double wholeRun,
      double worstWindow,
      long worstWindowFromS,
      double worstClass,
      String worstClassName,
      double worstTenant,
      String worstTenantName,
      long queries,
      Map<QueryRecord.Outcome, Long> countByOutcome) {}

  private final BenefitSum total = new BenefitSum();
  private final Map<Long, BenefitSum> bySecond = new TreeMap<>();
  private final Map<String, BenefitSum> byClass = new TreeMap<>();
  private final Map<String, BenefitSum> byTenant = new TreeMap<>();
  private final Map<QueryRecord.Outcome, Long> countByOutcome = new TreeMap<>();
  private long queries;

  /**
   * Returns the benefit that a response earns.
   *
   * @param benefit the benefit of a complete response within the latency objective
   * @param latencyUs time from the intended time to the response
   * @param latencyObjectiveUs latency up to which the benefit is earned in full
   * @param timeoutUs latency up to which {@code lateShare} of the benefit is earned
   * @param complete whether the response is complete
   * @param answeredWeight share of the weight that a partial response covers
   * @param partialShare share of the benefit that a partial response earns, times its weight
   */
  public static double computeEarnedBenefit(
      double benefit,
      long latencyUs,
      long latencyObjectiveUs,
      long timeoutUs,
      double lateShare,
      boolean complete,
      double answeredWeight,
      double partialShare) {
    double timeFactor =
        latencyUs <= latencyObjectiveUs ? 1 : latencyUs <= timeoutUs ? lateShare : 0;
    return benefit * timeFactor * (complete ? 1 : partialShare * answeredWeight);
  }

  /** Adds the result of a query. */
  public void add(QueryRecord query) {
    queries++;
    total.add(query);
    bySecond
        .computeIfAbsent(Math.floorDiv(query.intendedUs(), SECOND_US), second -> new BenefitSum())
        .add(query);
    byClass.computeIfAbsent(query.queryClass(), queryClass -> new BenefitSum()).add(query);
    byTenant.computeIfAbsent(query.tenant(), tenant -> new BenefitSum()).add(query);
    countByOutcome.merge(query.outcome(), 1L, Long::sum);
  }

  /** Returns the service by second of the run; NaN if the queries of a second have no benefit. */
  public Map<Long, Double> serviceBySecond() {
    Map<Long, Double> services = new TreeMap<>();
    bySecond.forEach((second, sum) -> services.put(second, sum.service()));
    return services;
  }

  /** Returns the service by query class; NaN if the queries of a class have no benefit. */
  public Map<String, Double> serviceByClass() {
    Map<String, Double> services = new TreeMap<>();
    byClass.forEach((queryClass, sum) -> services.put(queryClass, sum.service()));
    return services;
  }

  /** Returns the service by tenant; NaN if the queries of a tenant have no benefit. */
  public Map<String, Double> serviceByTenant() {
    Map<String, Double> services = new TreeMap<>();
    byTenant.forEach((tenant, sum) -> services.put(tenant, sum.service()));
    return services;
  }

  /** Computes the score of the queries added so far; without any it is 1. */
  public Summary summarize() {
    double wholeRun = queries == 0 ? 1 : total.service();
    double worstWindow = wholeRun;
    long worstFrom = bySecond.isEmpty() ? 0 : ((TreeMap<Long, BenefitSum>) bySecond).firstKey();
    if (!bySecond.isEmpty()) {
      long first = ((TreeMap<Long, BenefitSum>) bySecond).firstKey();
      long last = ((TreeMap<Long, BenefitSum>) bySecond).lastKey();
      double average = total.possible / (last - first + 1) * Math.min(WINDOW_S, last - first + 1);
      for (long start = first; start <= Math.max(first, last - WINDOW_S + 1); start++) {
        BenefitSum window = new BenefitSum();
        for (BenefitSum second :
            ((TreeMap<Long, BenefitSum>) bySecond).subMap(start, start + WINDOW_S).values()) {
          window.possible += second.possible;
          window.earned += second.earned;
        }
        if (window.possible >= MIN_SHARE_OF_AVERAGE * average && window.service() < worstWindow) {
          worstWindow = window.service();
          worstFrom = start;
        }
      }
    }
    Map.Entry<String, Double> worstClass = findWorst(byClass, wholeRun);
    Map.Entry<String, Double> worstTenant = findWorst(byTenant, wholeRun);
    double score =
        (WHOLE_RUN_WEIGHT * wholeRun
                + WORST_WINDOW_WEIGHT * worstWindow
                + WORST_CLASS_WEIGHT * worstClass.getValue()
                + WORST_TENANT_WEIGHT * worstTenant.getValue())
            / 10;
    return new Summary(
        score,
        wholeRun,
        worstWindow,
        worstFrom,
        worstClass.getValue(),
        worstClass.getKey(),
        worstTenant.getValue(),
        worstTenant.getKey(),
        queries,
        new TreeMap<>(countByOutcome));
  }

  private Map.Entry<String, Double> findWorst(Map<String, BenefitSum> sumByName, double wholeRun) {
    Map.Entry<String, Double> worst = Map.entry("", wholeRun);
    double average = total.possible / Math.max(1, sumByName.size());
    for (Map.Entry<String, BenefitSum> entry : sumByName.entrySet()) {
      double groupService = entry.getValue().service();
      if (entry.getValue().possible >= MIN_SHARE_OF_AVERAGE * average
          && groupService < worst.getValue()) {
        worst = Map.entry(entry.getKey(), groupService);
      }
    }
    return worst;
  }
}
