package tidebank.testbed.account;

import java.util.Map;
import java.util.TreeMap;

/**
 * Service as it is accounted for: the benefit answered within the target time over the benefit
 * asked, a client's retries counted with its first try. Four figures of it are weighted: the whole
 * run 40, the worst ten seconds 30, the worst table type 20, the worst account 10. Pure; grows with
 * the length of the run in seconds, not with its scans.
 */
public final class ServiceScore {
  /** Weights in tenths, so that a run without loss scores 1 and not a little less. */
  private static final int WHOLE = 4;

  private static final int WORST_WINDOW = 3;
  private static final int WORST_TYPE = 2;
  private static final int WORST_ACCOUNT = 1;
  static final int WINDOW_S = 10;
  private static final long SECOND_US = 1_000_000;

  /**
   * A window, table type or account counts only with this share of what one of its kind has on
   * average.
   */
  private static final double LEAST_SHARE = 0.2;

  private static final class Sum {
    double asked;
    double earned;

    void add(QueryRecord scan) {
      asked += scan.benefit();
      earned += scan.earnedBenefit();
    }

    double service() {
      return asked == 0 ? Double.NaN : earned / asked;
    }
  }

  /** The figures. Where there is nothing to count, a figure is that of the whole run. */
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

  private final Sum all = new Sum();
  private final Map<Long, Sum> seconds = new TreeMap<>();
  private final Map<String, Sum> types = new TreeMap<>();
  private final Map<String, Sum> accounts = new TreeMap<>();
  private final Map<QueryRecord.Outcome, Long> ends = new TreeMap<>();
  private long scans;

  /** What an end earns of a benefit. */
  public static double computeEarnedBenefit(
      double benefit,
      long tookUs,
      long targetUs,
      long timeoutUs,
      double lateShare,
      boolean whole,
      double share,
      double partialShare) {
    double inTime = tookUs <= targetUs ? 1 : tookUs <= timeoutUs ? lateShare : 0;
    return benefit * inTime * (whole ? 1 : partialShare * share);
  }

  public void add(QueryRecord scan) {
    scans++;
    all.add(scan);
    seconds
        .computeIfAbsent(Math.floorDiv(scan.intendedUs(), SECOND_US), second -> new Sum())
        .add(scan);
    types.computeIfAbsent(scan.queryClass(), type -> new Sum()).add(scan);
    accounts.computeIfAbsent(scan.tenant(), account -> new Sum()).add(scan);
    ends.merge(scan.outcome(), 1L, Long::sum);
  }

  /** Service by second of the run, NaN where nothing was asked. */
  public Map<Long, Double> serviceBySecond() {
    Map<Long, Double> by = new TreeMap<>();
    seconds.forEach((second, sum) -> by.put(second, sum.service()));
    return by;
  }

  public Map<String, Double> serviceByClass() {
    Map<String, Double> by = new TreeMap<>();
    types.forEach((type, sum) -> by.put(type, sum.service()));
    return by;
  }

  public Map<String, Double> serviceByTenant() {
    Map<String, Double> by = new TreeMap<>();
    accounts.forEach((account, sum) -> by.put(account, sum.service()));
    return by;
  }

  public Summary summarize() {
    double whole = scans == 0 ? 1 : all.service();
    double worst = whole;
    long from = seconds.isEmpty() ? 0 : ((TreeMap<Long, Sum>) seconds).firstKey();
    if (!seconds.isEmpty()) {
      long first = ((TreeMap<Long, Sum>) seconds).firstKey();
      long last = ((TreeMap<Long, Sum>) seconds).lastKey();
      double average = all.asked / (last - first + 1) * Math.min(WINDOW_S, last - first + 1);
      for (long start = first; start <= Math.max(first, last - WINDOW_S + 1); start++) {
        Sum window = new Sum();
        for (Sum second : ((TreeMap<Long, Sum>) seconds).subMap(start, start + WINDOW_S).values()) {
          window.asked += second.asked;
          window.earned += second.earned;
        }
        if (window.asked >= LEAST_SHARE * average && window.service() < worst) {
          worst = window.service();
          from = start;
        }
      }
    }
    Map.Entry<String, Double> type = worst(types, whole);
    Map.Entry<String, Double> account = worst(accounts, whole);
    double score =
        (WHOLE * whole
                + WORST_WINDOW * worst
                + WORST_TYPE * type.getValue()
                + WORST_ACCOUNT * account.getValue())
            / 10;
    return new Summary(
        score,
        whole,
        worst,
        from,
        type.getValue(),
        type.getKey(),
        account.getValue(),
        account.getKey(),
        scans,
        new TreeMap<>(ends));
  }

  private Map.Entry<String, Double> worst(Map<String, Sum> sums, double whole) {
    Map.Entry<String, Double> worst = Map.entry("", whole);
    double average = all.asked / Math.max(1, sums.size());
    for (Map.Entry<String, Sum> entry : sums.entrySet()) {
      double service = entry.getValue().service();
      if (entry.getValue().asked >= LEAST_SHARE * average && service < worst.getValue()) {
        worst = Map.entry(entry.getKey(), service);
      }
    }
    return worst;
  }
}
