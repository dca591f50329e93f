package tidebank.testbed.trace.synth;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.NoSuchElementException;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.stats.TraceStats;

/**
 * Fits arrivals, popularity, table types and sizes to a trace, and makes rows of any length that
 * are like it.
 */
public final class Synthesis {
  private static final long SECOND_US = 1_000_000;
  private static final int SAMPLE = 4096;

  /**
   * What rows of a table type are like: sizes are drawn together, from a sample of what was seen.
   */
  private static final class Like {
    final Histogram work = new Histogram(3_600_000_000L, 3);
    final List<int[]> parts = new ArrayList<>();
    final List<Double> weights = new ArrayList<>();
    long seen;
  }

  private final TraceStats stats = new TraceStats();
  private final Map<String, Like> likes = new TreeMap<>();
  private final Map<String, Integer> depotOfKey = new HashMap<>();
  private final SplittableRandom sampling = new SplittableRandom(17);
  private Arrivals arrivals;
  private double zipf;

  /** A row of the trace to be like. */
  public void learn(TraceRow row) {
    stats.add(row);
    Like like = likes.computeIfAbsent(row.tableType(), type -> new Like());
    like.work.recordValue(Math.min(3_600_000_000L, row.workUs()));
    like.seen++;
    if (!row.key().isEmpty()) {
      depotOfKey.putIfAbsent(row.key(), row.depot());
    }
    if (like.parts.size() < SAMPLE) {
      like.parts.add(new int[] {row.parts()});
      like.weights.add(row.weight());
    } else {
      long at = sampling.nextLong(like.seen);
      if (at < SAMPLE) {
        like.parts.set((int) at, new int[] {row.parts()});
        like.weights.set((int) at, row.weight());
      }
    }
  }

  public void learned() {
    arrivals = Arrivals.fit(stats.counts());
    zipf = stats.keyCounts().length < 2 ? 1 : TraceStats.zipf(stats.keyCounts());
  }

  public Arrivals arrivals() {
    return arrivals;
  }

  public TraceStats.Summary original() {
    return stats.summary();
  }

  /** So many seconds of rows, by this seed. */
  public Iterator<TraceRow> rows(int seconds, long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    int[] counts = arrivals.draw(seconds, chance.split());
    long[] keyCounts = stats.keyCounts();
    double[] keys = new double[Math.max(1, keyCounts.length)];
    double sum = 0;
    for (int rank = 0; rank < keys.length; rank++) {
      sum += Math.pow(rank + 1, -zipf);
      keys[rank] = sum;
    }
    double all = sum;
    Choice<Integer> depots = new Choice<>(stats.depotCounts());
    Choice<String> types = new Choice<>(stats.typeCounts());
    Choice<String> accounts = new Choice<>(stats.accountCounts());
    // What a key is about does not change from row to row, and the hottest keys make the hottest
    // depots.
    Map<Integer, Integer> depotOf = new HashMap<>();
    List<String> byRank = stats.keysByRank();
    for (int rank = 0; rank < byRank.size(); rank++) {
      depotOf.put(rank, depotOfKey.get(byRank.get(rank)));
    }
    return new Iterator<>() {
      private int second;
      private long[] times = {};
      private int at;

      @Override
      public boolean hasNext() {
        while (at == times.length && second < seconds) {
          long[] offsets = new long[counts[second]];
          for (int i = 0; i < offsets.length; i++) {
            offsets[i] = second * SECOND_US + chance.nextLong(SECOND_US);
          }
          Arrays.sort(offsets);
          times = offsets;
          at = 0;
          second++;
        }
        return at < times.length;
      }

      @Override
      public TraceRow next() {
        if (!hasNext()) {
          throw new NoSuchElementException();
        }
        int found = Arrays.binarySearch(keys, chance.nextDouble() * all);
        int rank = Math.min(keys.length - 1, found < 0 ? -found - 1 : found);
        String type = types.draw(chance);
        Like like = likes.get(type);
        int sample = chance.nextInt(like.parts.size());
        long work = like.work.getValueAtPercentile(chance.nextDouble() * 100);
        int depot =
            depotOf.computeIfAbsent(
                rank, r -> depots.draw(new SplittableRandom(seed ^ (r * 0x9e3779b97f4a7c15L))));
        return new TraceRow(
            times[at++],
            type,
            depot,
            like.parts.get(sample)[0],
            keyCounts.length == 0 ? "" : "k" + rank,
            like.weights.get(sample),
            work,
            accounts.draw(chance));
      }
    };
  }

  private static final class Choice<T> {
    private final List<T> values = new ArrayList<>();
    private final double[] upTo;

    Choice(Map<T, Long> counts) {
      upTo = new double[counts.size()];
      double sum = 0;
      int i = 0;
      for (Map.Entry<T, Long> entry : counts.entrySet()) {
        values.add(entry.getKey());
        sum += entry.getValue();
        upTo[i++] = sum;
      }
    }

    T draw(SplittableRandom chance) {
      int found = Arrays.binarySearch(upTo, chance.nextDouble() * upTo[upTo.length - 1]);
      return values.get(Math.min(upTo.length - 1, found < 0 ? -found - 1 : found));
    }
  }

  /**
   * How far off a made trace is: each statistic of the original, of the made one, and their
   * relative difference.
   */
  public static Map<String, double[]> off(TraceStats.Summary original, TraceStats.Summary made) {
    Map<String, double[]> off = new LinkedHashMap<>();
    put(off, "rate a second", original.ratePerS(), made.ratePerS());
    put(off, "peak second", original.peakPerS(), made.peakPerS());
    original
        .dispersion()
        .forEach(
            (scale, value) ->
                put(
                    off,
                    "dispersion at " + scale + " s",
                    value,
                    made.dispersion().getOrDefault(scale, Double.NaN)));
    if (!original.autocorrelation().isEmpty() && !made.autocorrelation().isEmpty()) {
      put(
          off,
          "autocorrelation at 1 s",
          original.autocorrelation().get(0),
          made.autocorrelation().get(0));
    }
    put(off, "Zipf exponent of keys", original.zipf(), made.zipf());
    put(off, "share of the hottest key", original.hottestKey(), made.hottestKey());
    put(off, "share of the hottest depot", original.hottestDepot(), made.hottestDepot());
    for (double quantile : new double[] {50.0, 99.0}) {
      put(
          off,
          "work p" + (int) quantile + ", ms",
          original.workMs().get(quantile),
          made.workMs().get(quantile));
      put(
          off,
          "between arrivals p" + (int) quantile + ", ms",
          original.betweenMs().get(quantile),
          made.betweenMs().get(quantile));
    }
    return off;
  }

  private static void put(Map<String, double[]> off, String name, double original, double made) {
    off.put(
        name,
        new double[] {original, made, original == 0 ? Double.NaN : (made - original) / original});
  }
}
