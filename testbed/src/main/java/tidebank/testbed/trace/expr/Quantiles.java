package tidebank.testbed.trace.expr;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.Arrays;
import java.util.Comparator;
import java.util.PriorityQueue;
import tidebank.testbed.trace.layout.RawRow;

/**
 * Buckets of equal share, learned in a pass of their own before the rows are mapped. Of any number
 * of rows it keeps a sample of a fixed size: those of the smallest hashes, so that neither chance
 * nor the order of rows matters.
 */
public final class Quantiles {
  /** The error of a bucket's share is about a half over the root of this. */
  static final int SAMPLE = 8192;

  private static final Hasher64 HASHER = Hashing.xxh3_64();

  private record Kept(long hash, double value) {}

  private final Value.Num of;
  private final int buckets;
  private final PriorityQueue<Kept> sample =
      new PriorityQueue<>(
          Comparator.comparingLong(Kept::hash).thenComparingDouble(Kept::value).reversed());
  private double[] bounds;

  Quantiles(Value.Num of, int buckets) {
    this.of = of;
    this.buckets = buckets;
  }

  /** A row of the first pass. */
  public void learn(RawRow row) {
    double value = of.of(row);
    if (Double.isNaN(value)) {
      return;
    }
    long hash =
        HASHER
            .hashStream()
            .putLong(row.timeUs())
            .putString(row.identity())
            .putDouble(value)
            .getAsLong();
    if (sample.size() < SAMPLE) {
      sample.add(new Kept(hash, value));
    } else if (hash < sample.peek().hash) {
      sample.poll();
      sample.add(new Kept(hash, value));
    }
  }

  /** Ends the first pass. */
  public void learned() {
    double[] values = sample.stream().mapToDouble(Kept::value).sorted().toArray();
    bounds = new double[buckets - 1];
    for (int i = 0; i < bounds.length; i++) {
      bounds[i] =
          values.length == 0
              ? Double.NaN
              : values[(int) ((long) (i + 1) * values.length / buckets)];
    }
    sample.clear();
  }

  double bucket(RawRow row) {
    double value = of.of(row);
    if (Double.isNaN(value)) {
      return Double.NaN;
    }
    if (bounds == null) {
      throw new IllegalStateException("quantile buckets are asked for before they were learned");
    }
    int bucket = 0;
    while (bucket < bounds.length && value >= bounds[bucket]) {
      bucket++;
    }
    return bucket;
  }

  @Override
  public String toString() {
    return Arrays.toString(bounds);
  }
}
