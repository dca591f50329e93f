package tidebank.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Fits through points computed from a known model, and the files of points and fits. */
class FitsTest {
  private static final long SEED = 7;
  private static final Size FIXED = new Size(8, 200);
  private static final RunFacts RUN =
      new RunFacts("made", SEED, 3, 2, FIXED, new Machine(1, 1, 1, "none", "none", "none"));

  private static List<Point> points(Quantity quantity, ToDoubleFunction<Size> model, double noise) {
    SplittableRandom random = new SplittableRandom(SEED);
    List<Point> points = new ArrayList<>();
    for (int repeat = 1; repeat <= 3; repeat++) {
      for (Size size : measuredSizes()) {
        double deviation = noise * (2 * random.nextDouble() - 1);
        points.add(new Point(size, quantity, model.applyAsDouble(size) + deviation, repeat, SEED));
      }
    }
    return points;
  }

  private static List<Size> measuredSizes() {
    List<Size> sizes = new ArrayList<>(List.of(FIXED));
    for (int routers : new int[] {2, 4, 12, 20}) {
      sizes.add(new Size(routers, FIXED.servers()));
    }
    for (int servers : new int[] {100, 400, 800, 1600}) {
      sizes.add(new Size(FIXED.gatherers(), servers));
    }
    return sizes;
  }

  private static Fit fit(List<Point> points, Driver driver) {
    return Fits.of(RUN, points).stream()
        .filter(fit -> fit.driver() == driver)
        .findFirst()
        .orElseThrow();
  }

  /** Guards against wrong slopes, intercepts or point selections, on points without noise. */
  @Test
  void modelWithoutNoiseIsRecoveredExactly() {
    List<Point> points =
        points(Quantity.GATHERER_FIRST_LIST_BYTES, size -> 125.0 * size.servers() + 300, 0);
    Fit overServers = fit(points, Driver.SERVERS);
    Fit overRouters = fit(points, Driver.GATHERERS);

    assertThat(overServers.slope()).isCloseTo(125, within(1e-9));
    assertThat(overServers.constant()).isCloseTo(300, within(1e-6));
    assertThat(overServers.residual()).isCloseTo(0, within(1e-6));
    assertThat(overServers.points()).isEqualTo(15);
    assertThat(overServers.sizes()).isEqualTo(5);
    assertThat(overServers.countHigh()).isEqualTo(1600);
    assertThat(overServers.predict(new Size(890, 4900))).isCloseTo(612_800, within(1e-3));
    assertThat(overRouters.slope()).isCloseTo(0, within(1e-9));
    assertThat(overRouters.hasGrowth()).isFalse();
  }

  /** Guards against a confidence interval that misses the true slope of noisy points. */
  @Test
  void intervalContainsTrueSlopeOfNoisyPoints() {
    Fit fit =
        fit(
            points(Quantity.GATHERER_RETAINED_HEAP, size -> 700.0 * size.servers() + 9000, 20_000),
            Driver.SERVERS);

    assertThat(fit.slope()).isCloseTo(700, within(35.0));
    assertThat(fit.slopeLow()).isLessThan(700);
    assertThat(fit.slopeHigh()).isGreaterThan(700);
    assertThat(fit.residual()).isBetween(5_000.0, 20_000.0);
    assertThat(fit.spread()).isPositive();
  }

  /** Guards against a fit over list entries that uses only the points of one varied count. */
  @Test
  void fitOverListEntriesUsesAllPoints() {
    Fit fit =
        fit(
            points(
                Quantity.DISCOVERY_FIRST_LIST_BYTES,
                size -> 125.0 * size.servers() * size.gatherers(),
                0),
            Driver.LIST_ENTRIES);

    assertThat(fit.points()).isEqualTo(27);
    assertThat(fit.slope()).isCloseTo(125, within(1e-9));
  }

  /** Guards against fits that differ between calls because resampling does not use the seed. */
  @Test
  void sameSeedGivesSameInterval() {
    List<Point> points = points(Quantity.GATHERER_CHANGE_CPU, size -> 50, 30);

    assertThat(Fits.of(RUN, points)).isEqualTo(Fits.of(RUN, points));
  }

  /** Guards against noise being extrapolated as growth, with a slope that may be zero. */
  @Test
  void predictionIsMeanWithoutGrowth() {
    Fit fit = fit(points(Quantity.GATHERER_CHANGE_CPU, size -> 50, 30), Driver.SERVERS);

    assertThat(fit.hasGrowth()).isFalse();
    assertThat(fit.predict(new Size(890, 4900))).isEqualTo(fit.mean());
  }

  /** Guards against points lost in a buffer when a run is interrupted. */
  @Test
  void pointsAreOnDiskWhenAddReturns(@TempDir Path folder) throws IOException {
    List<Point> points = points(Quantity.GATHERER_CHANGE_BYTES, size -> 280, 1).subList(0, 9);
    ScaleResults results = new ScaleResults(folder);
    try (PointsFile file = results.create(RUN)) {
      file.add(points);

      assertThat(results.points()).hasSize(9);
    }
    assertThat(results.run()).isEqualTo(RUN);
    assertThat(results.points().get(3).size()).isEqualTo(points.get(3).size());
    assertThat(results.points().get(3).value()).isCloseTo(points.get(3).value(), within(1e-4));
  }

  /** Guards against components of a fit that are lost or changed in its file. */
  @Test
  void fitsAreReadBackUnchanged(@TempDir Path folder) throws IOException {
    ScaleResults results = new ScaleResults(folder);
    try (PointsFile file = results.create(RUN)) {
      file.add(points(Quantity.GATHERER_CHANGE_BYTES, size -> 280, 1));
    }

    assertThat(results.fit()).isNotEmpty().isEqualTo(results.fits());
  }

  /** Guards against an error that does not name the file and line of a malformed point. */
  @Test
  void malformedLineOfPointsIsNamed(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("points.csv");
    Files.writeString(
        file,
        "gatherers,servers,role,quantity,unit,value,repeat,seed\n2,200,GATHERER,x,us,1,1,1\n");

    assertThatThrownBy(() -> PointsFile.read(file))
        .isInstanceOf(IOException.class)
        .hasMessageContainingAll("points.csv:2", "no quantity x");
  }

  /** Guards against a size that fills the machine's memory or the heap in the middle of a run. */
  @Test
  void sizeAboveHalfOfMemoryOrAboveHeapIsRejected() {
    Size target = new Size(890, 4900);
    long required = MemoryEstimate.requiredBytes(target);

    assertThat(MemoryEstimate.rejectionReason(target, 2 * required, required)).isEmpty();
    assertThat(MemoryEstimate.rejectionReason(target, 2 * required - 2, required).orElseThrow())
        .contains("890 x 4900", "half of the machine's memory");
    assertThat(MemoryEstimate.rejectionReason(target, 2 * required, required - 1)).isPresent();
  }
}
