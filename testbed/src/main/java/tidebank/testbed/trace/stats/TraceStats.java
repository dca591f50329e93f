package tidebank.testbed.trace.stats;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import tidebank.testbed.trace.TraceRow;

/**
 * What a trace is like: how fast, how bursty, how skewed, how large. Pure; rows come in order.
 * Times between arrivals and sizes are kept as histograms of three digits; keys are counted one by
 * one, as their skew is in the tail too.
 */
public final class TraceStats {
  static final double[] QUANTILES = {1, 10, 25, 50, 75, 90, 99, 99.9};
  private static final int LAGS = 30;
  private static final int[] SCALES_S = {1, 10, 100};
  private static final long SECOND_US = 1_000_000;
  private static final long MOST_US = 3_600_000_000L;

  private final Map<Integer, Integer> bySecond = new TreeMap<>();
  private final Map<String, Long> keys = new HashMap<>();
  private final Map<String, Long> types = new TreeMap<>();
  private final Map<String, Long> accounts = new TreeMap<>();
  private final Map<Integer, Long> depots = new TreeMap<>();
  private final Histogram between = new Histogram(MOST_US, 3);
  private final Histogram work = new Histogram(MOST_US, 3);
  private final Histogram parts = new Histogram(1_000_000, 3);
  private long rows;
  private long last;

  public void add(TraceRow row) {
    if (rows++ > 0) {
      between.recordValue(Math.min(MOST_US, row.timeUs() - last));
    }
    last = row.timeUs();
    bySecond.merge((int) (row.timeUs() / SECOND_US), 1, Integer::sum);
    if (!row.key().isEmpty()) {
      keys.merge(row.key(), 1L, Long::sum);
    }
    types.merge(row.tableType(), 1L, Long::sum);
    accounts.merge(row.account(), 1L, Long::sum);
    depots.merge(row.depot(), 1L, Long::sum);
    work.recordValue(Math.min(MOST_US, row.workUs()));
    parts.recordValue(row.parts());
  }

  /** A trace's figures. */
  public record Summary(
      long rows,
      double seconds,
      double ratePerS,
      double peakPerS,
      Map<Integer, Double> dispersion,
      List<Double> autocorrelation,
      long keys,
      double zipf,
      double hottestKey,
      double hottestDepot,
      Map<String, Double> types,
      long accounts,
      Map<Double, Double> betweenMs,
      Map<Double, Double> workMs,
      Map<Double, Double> parts,
      double workPerS) {}

  /** Arrivals by second, with the empty seconds. */
  public int[] counts() {
    int[] counts = new int[(int) (last / SECOND_US) + (rows > 0 ? 1 : 0)];
    bySecond.forEach((second, count) -> counts[second] = count);
    return counts;
  }

  /** Keys by how often they come, the most frequent first. */
  public long[] keyCounts() {
    long[] sorted = keys.values().stream().mapToLong(Long::longValue).sorted().toArray();
    for (int i = 0, j = sorted.length - 1; i < j; i++, j--) {
      long swap = sorted[i];
      sorted[i] = sorted[j];
      sorted[j] = swap;
    }
    return sorted;
  }

  /** The keys themselves in that order. */
  public List<String> keysByRank() {
    List<String> ranked = new ArrayList<>(keys.keySet());
    ranked.sort(Comparator.<String>comparingLong(key -> -keys.get(key)).thenComparing(key -> key));
    return ranked;
  }

  public Map<Integer, Long> depotCounts() {
    return depots;
  }

  public Map<String, Long> accountCounts() {
    return accounts;
  }

  public Map<String, Long> typeCounts() {
    return types;
  }

  public Histogram work() {
    return work;
  }

  public Summary summary() {
    int[] counts = counts();
    Map<Integer, Double> dispersion = new LinkedHashMap<>();
    for (int scale : SCALES_S) {
      if (counts.length >= 5 * scale) {
        dispersion.put(scale, dispersion(counts, scale));
      }
    }
    List<Double> autocorrelation = new ArrayList<>();
    for (int lag = 1; lag <= LAGS && lag < counts.length / 2; lag++) {
      autocorrelation.add(autocorrelation(counts, lag));
    }
    double seconds = Math.max(1e-6, last / 1e6);
    Map<String, Double> shares = new TreeMap<>();
    types.forEach((type, count) -> shares.put(type, (double) count / rows));
    long[] byKey = keyCounts();
    long hottest = depots.values().stream().mapToLong(Long::longValue).max().orElse(0);
    double workSum = work.getMean() / 1e6 * parts.getMean() * rows;
    return new Summary(
        rows,
        seconds,
        rows / seconds,
        Arrays.stream(counts).max().orElse(0),
        dispersion,
        autocorrelation,
        byKey.length,
        zipf(byKey),
        byKey.length == 0 ? 0 : (double) byKey[0] / rows,
        (double) hottest / Math.max(1, rows),
        shares,
        accounts.size(),
        quantiles(between, 1000),
        quantiles(work, 1000),
        quantiles(parts, 1),
        workSum / seconds);
  }

  private static Map<Double, Double> quantiles(Histogram histogram, double unit) {
    Map<Double, Double> values = new TreeMap<>();
    for (double quantile : QUANTILES) {
      values.put(quantile, histogram.getValueAtPercentile(quantile) / unit);
    }
    return values;
  }

  /**
   * Index of dispersion of counts: their variance over their mean; 1 for a Poisson process at any
   * scale.
   */
  static double dispersion(int[] counts, int scale) {
    int slots = counts.length / scale;
    double[] sums = new double[slots];
    for (int i = 0; i < slots * scale; i++) {
      sums[i / scale] += counts[i];
    }
    double mean = Arrays.stream(sums).average().orElse(0);
    double variance =
        Arrays.stream(sums).map(sum -> (sum - mean) * (sum - mean)).sum() / Math.max(1, slots - 1);
    return mean == 0 ? Double.NaN : variance / mean;
  }

  static double autocorrelation(int[] counts, int lag) {
    double mean = Arrays.stream(counts).average().orElse(0);
    double all = 0;
    double lagged = 0;
    for (int i = 0; i < counts.length; i++) {
      all += (counts[i] - mean) * (counts[i] - mean);
      if (i >= lag) {
        lagged += (counts[i] - mean) * (counts[i - lag] - mean);
      }
    }
    return all == 0 ? 0 : lagged / all;
  }

  /**
   * Zipf's exponent by maximum likelihood over the ranks, on a finite number of keys; found by
   * halving an interval, as the likelihood's slope falls with the exponent. Ranks are taken from
   * the counts, so with few rows a key it leans to the high side.
   */
  public static double zipf(long[] counts) {
    if (counts.length < 2) {
      return Double.NaN;
    }
    double logs = 0;
    double total = 0;
    for (int rank = 1; rank <= counts.length; rank++) {
      logs += counts[rank - 1] * Math.log(rank);
      total += counts[rank - 1];
    }
    double wanted = logs / total;
    double low = 0;
    double high = 8;
    for (int step = 0; step < 60; step++) {
      double middle = (low + high) / 2;
      double sum = 0;
      double weighted = 0;
      for (int rank = 1; rank <= counts.length; rank++) {
        double weight = Math.pow(rank, -middle);
        sum += weight;
        weighted += weight * Math.log(rank);
      }
      if (weighted / sum > wanted) {
        low = middle;
      } else {
        high = middle;
      }
    }
    return (low + high) / 2;
  }
}
