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
 * Least squares through the points of a run. A count's line takes only points at which the other
 * count stood still; that of list entries takes all. The slope's interval is that of a bootstrap
 * over the points, from the run's seed.
 */
public final class Fits {
  private static final int RESAMPLES = 1000;
  private static final double OUTSIDE = 0.025;

  /** A line through fewer counts has no residual to speak of. */
  private static final int SIZES_LEAST = 3;

  private Fits() {}

  /** The lines of all quantities, each over each driver that its points allow. */
  public static List<Fit> of(RunFacts run, List<Point> points) {
    List<Fit> fits = new ArrayList<>();
    for (Quantity quantity : Quantity.values()) {
      for (Driver driver : Driver.values()) {
        List<Point> some =
            points.stream()
                .filter(point -> point.quantity() == quantity)
                .filter(point -> separates(driver, point.size(), run.fixed()))
                .toList();
        if (wanted(quantity, driver) && sizes(driver, some) >= SIZES_LEAST) {
          fits.add(fit(quantity, driver, some, run.seed()));
        }
      }
    }
    return fits;
  }

  /** List entries are a driver only of what is taken to grow with them. */
  private static boolean wanted(Quantity quantity, Driver driver) {
    return driver != Driver.LIST_ENTRIES || quantity.driver() == driver;
  }

  private static boolean separates(Driver driver, Size size, Size fixed) {
    return switch (driver) {
      case SERVERS -> size.gatherers() == fixed.gatherers();
      case GATHERERS -> size.servers() == fixed.servers();
      case LIST_ENTRIES -> true;
    };
  }

  private static int sizes(Driver driver, List<Point> points) {
    return (int)
        points.stream().mapToDouble(point -> driver.count(point.size())).distinct().count();
  }

  private static Fit fit(Quantity quantity, Driver driver, List<Point> points, long seed) {
    double[][] values = new double[points.size()][];
    for (int i = 0; i < values.length; i++) {
      Point point = points.get(i);
      values[i] = new double[] {driver.count(point.size()), point.value()};
    }
    SimpleRegression line = new SimpleRegression();
    line.addData(values);
    double[] slopes = resampledSlopes(values, seed ^ quantity.name().hashCode());
    DoubleSummaryStatistics counts =
        Arrays.stream(values).mapToDouble(v -> v[0]).summaryStatistics();
    DoubleSummaryStatistics range =
        Arrays.stream(values).mapToDouble(v -> v[1]).summaryStatistics();
    return new Fit(
        quantity,
        driver,
        values.length,
        sizes(driver, points),
        line.getSlope(),
        slopes[(int) (OUTSIDE * RESAMPLES)],
        slopes[(int) ((1 - OUTSIDE) * RESAMPLES)],
        line.getIntercept(),
        Math.sqrt(line.getMeanSquareError()),
        spread(points),
        range.getAverage(),
        counts.getMin(),
        counts.getMax(),
        range.getMin(),
        range.getMax());
  }

  /** The slopes of lines through points drawn with replacement, ascending. */
  private static double[] resampledSlopes(double[][] values, long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    double[] slopes = new double[RESAMPLES];
    for (int i = 0; i < RESAMPLES; i++) {
      slopes[i] = resampledSlope(values, chance);
    }
    Arrays.sort(slopes);
    return slopes;
  }

  /** A draw of one count alone has no slope and is made again. */
  private static double resampledSlope(double[][] values, SplittableRandom chance) {
    while (true) {
      SimpleRegression line = new SimpleRegression();
      for (int i = 0; i < values.length; i++) {
        double[] drawn = values[chance.nextInt(values.length)];
        line.addData(drawn[0], drawn[1]);
      }
      double slope = line.getSlope();
      if (!Double.isNaN(slope)) {
        return slope;
      }
    }
  }

  private static double spread(List<Point> points) {
    Map<String, DoubleSummaryStatistics> bySize =
        points.stream()
            .collect(
                Collectors.groupingBy(
                    point -> point.size().toString(),
                    TreeMap::new,
                    Collectors.summarizingDouble(Point::value)));
    return bySize.values().stream()
        .mapToDouble(
            one -> one.getMax() == 0 ? 0 : (one.getMax() - one.getMin()) / one.getAverage())
        .max()
        .orElse(0);
  }
}
