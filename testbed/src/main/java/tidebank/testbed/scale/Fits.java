package tidebank.testbed.scale;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Least-squares linear fits over the points of a run. A fit over shard servers or routers uses only
 * the points at which the other count has its fixed value; a fit over list entries uses all points.
 * The confidence interval of the slope comes from bootstrap resampling of the points, seeded with
 * the run's seed.
 */
public final class Fits {
  private static final int RESAMPLES = 1000;

  /** Share of the resampled slopes on each side of the 95% confidence interval. */
  private static final double TAIL_SHARE = 0.025;

  /** With fewer distinct counts, the residual of a linear fit means little. */
  private static final int MIN_DISTINCT_COUNTS = 3;

  private Fits() {}

  /** Returns the fits of each quantity over every driver with enough distinct counts. */
  public static List<Fit> of(RunFacts run, List<Point> points) {
    List<Fit> fits = new ArrayList<>();
    for (Quantity quantity : Quantity.values()) {
      for (Driver driver : Driver.values()) {
        List<Point> selected =
            points.stream()
                .filter(point -> point.quantity() == quantity)
                .filter(point -> isPointOfFit(driver, point.size(), run.fixed()))
                .toList();
        if (isFitted(quantity, driver) && countDistinct(driver, selected) >= MIN_DISTINCT_COUNTS) {
          fits.add(computeFit(quantity, driver, selected, run.seed()));
        }
      }
    }
    return fits;
  }

  /** Returns false for list entries unless the quantity is assumed to grow with them. */
  private static boolean isFitted(Quantity quantity, Driver driver) {
    return driver != Driver.LIST_ENTRIES || quantity.driver() == driver;
  }

  /** Returns whether a point of this size belongs to the fit over this driver. */
  private static boolean isPointOfFit(Driver driver, Size size, Size fixed) {
    return switch (driver) {
      case SERVERS -> size.gatherers() == fixed.gatherers();
      case GATHERERS -> size.servers() == fixed.servers();
      case LIST_ENTRIES -> true;
    };
  }

  private static int countDistinct(Driver driver, List<Point> points) {
    return (int)
        points.stream().mapToDouble(point -> driver.count(point.size())).distinct().count();
  }

  private static Fit computeFit(Quantity quantity, Driver driver, List<Point> points, long seed) {
    double[][] values = new double[points.size()][];
    for (int i = 0; i < values.length; i++) {
      Point point = points.get(i);
      values[i] = new double[] {driver.count(point.size()), point.value()};
    }
    SimpleRegression regression = new SimpleRegression();
    regression.addData(values);
    double[] sortedSlopes = resampleSlopes(values, seed ^ quantity.name().hashCode());
    DoubleSummaryStatistics countRange =
        Arrays.stream(values).mapToDouble(v -> v[0]).summaryStatistics();
    DoubleSummaryStatistics valueRange =
        Arrays.stream(values).mapToDouble(v -> v[1]).summaryStatistics();
    return new Fit(
        quantity,
        driver,
        values.length,
        countDistinct(driver, points),
        regression.getSlope(),
        sortedSlopes[(int) (TAIL_SHARE * RESAMPLES)],
        sortedSlopes[(int) ((1 - TAIL_SHARE) * RESAMPLES)],
        regression.getIntercept(),
        Math.sqrt(regression.getMeanSquareError()),
        maxRelativeSpread(points),
        valueRange.getAverage(),
        countRange.getMin(),
        countRange.getMax(),
        valueRange.getMin(),
        valueRange.getMax());
  }

  /** Returns the slopes of fits through points drawn with replacement, in ascending order. */
  private static double[] resampleSlopes(double[][] values, long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    double[] slopes = new double[RESAMPLES];
    for (int i = 0; i < RESAMPLES; i++) {
      slopes[i] = resampleSlope(values, random);
    }
    Arrays.sort(slopes);
    return slopes;
  }

  /** Draws until the sample has two distinct counts; a sample with one has no slope. */
  private static double resampleSlope(double[][] values, SplittableRandom random) {
    while (true) {
      SimpleRegression regression = new SimpleRegression();
      for (int i = 0; i < values.length; i++) {
        double[] drawn = values[random.nextInt(values.length)];
        regression.addData(drawn[0], drawn[1]);
      }
      double slope = regression.getSlope();
      if (!Double.isNaN(slope)) {
        return slope;
      }
    }
  }

  /**
   * Returns the range of the repeats of one size, divided by their mean, for the size at which it
   * is widest.
   */
  private static double maxRelativeSpread(List<Point> points) {
    Map<String, DoubleSummaryStatistics> bySize =
        points.stream()
            .collect(
                Collectors.groupingBy(
                    point -> point.size().toString(),
                    TreeMap::new,
                    Collectors.summarizingDouble(Point::value)));
    return bySize.values().stream()
        .mapToDouble(
            repeats ->
                repeats.getMax() == 0
                    ? 0
                    : (repeats.getMax() - repeats.getMin()) / repeats.getAverage())
        .max()
        .orElse(0);
  }
}
