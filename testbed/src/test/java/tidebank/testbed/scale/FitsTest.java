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

/** Lines through points whose law is known, and the files that points and lines are kept in. */
class FitsTest {
  private static final long SEED = 7;
  private static final Size FIXED = new Size(8, 200);
  private static final RunFacts RUN =
      new RunFacts("made", SEED, 3, 2, FIXED, new Machine(1, 1, 1, "none", "none", "none"));

  private static List<Point> points(Quantity quantity, ToDoubleFunction<Size> law, double noise) {
    SplittableRandom chance = new SplittableRandom(SEED);
    List<Point> points = new ArrayList<>();
    for (int repeat = 1; repeat <= 3; repeat++) {
      for (Size size : ladder()) {
        double error = noise * (2 * chance.nextDouble() - 1);
        points.add(new Point(size, quantity, law.applyAsDouble(size) + error, repeat, SEED));
      }
    }
    return points;
  }

  private static List<Size> ladder() {
    List<Size> sizes = new ArrayList<>(List.of(FIXED));
    for (int gatherers : new int[] {2, 4, 12, 20}) {
      sizes.add(new Size(gatherers, FIXED.servers()));
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

  @Test
  void aLineWithoutNoiseIsRecoveredExactly() {
    List<Point> points =
        points(Quantity.GATHERER_FIRST_LIST_BYTES, size -> 125.0 * size.servers() + 300, 0);
    Fit byServers = fit(points, Driver.SERVERS);
    Fit byGatherers = fit(points, Driver.GATHERERS);

    assertThat(byServers.slope()).isCloseTo(125, within(1e-9));
    assertThat(byServers.constant()).isCloseTo(300, within(1e-6));
    assertThat(byServers.residual()).isCloseTo(0, within(1e-6));
    assertThat(byServers.points()).isEqualTo(15);
    assertThat(byServers.sizes()).isEqualTo(5);
    assertThat(byServers.countHigh()).isEqualTo(1600);
    assertThat(byServers.at(new Size(890, 4900))).isCloseTo(612_800, within(1e-3));
    assertThat(byGatherers.slope()).isCloseTo(0, within(1e-9));
    assertThat(byGatherers.grows()).isFalse();
  }

  @Test
  void aLineWithNoiseIsRecoveredAndItsIntervalHoldsTheSlope() {
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

  @Test
  void costsOfListEntriesTakeAllPoints() {
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

  @Test
  void theSameSeedGivesTheSameInterval() {
    List<Point> points = points(Quantity.GATHERER_CHANGE_CPU, size -> 50, 30);

    assertThat(Fits.of(RUN, points)).isEqualTo(Fits.of(RUN, points));
  }

  @Test
  void whereNoGrowthIsSeenTheModelIsTheMean() {
    Fit fit = fit(points(Quantity.GATHERER_CHANGE_CPU, size -> 50, 30), Driver.SERVERS);

    assertThat(fit.grows()).isFalse();
    assertThat(fit.at(new Size(890, 4900))).isEqualTo(fit.mean());
  }

  @Test
  void pointsAreOnDiskAsSoonAsTheyWereAdded(@TempDir Path folder) throws IOException {
    List<Point> some = points(Quantity.GATHERER_CHANGE_BYTES, size -> 280, 1).subList(0, 9);
    ScaleFolder results = new ScaleFolder(folder);
    try (Points file = results.begin(RUN)) {
      file.add(some);

      assertThat(results.points()).hasSize(9);
    }
    assertThat(results.run()).isEqualTo(RUN);
    assertThat(results.points().get(3).size()).isEqualTo(some.get(3).size());
    assertThat(results.points().get(3).value()).isCloseTo(some.get(3).value(), within(1e-4));
  }

  @Test
  void linesAreReadBackAsTheyWereWritten(@TempDir Path folder) throws IOException {
    ScaleFolder results = new ScaleFolder(folder);
    try (Points file = results.begin(RUN)) {
      file.add(points(Quantity.GATHERER_CHANGE_BYTES, size -> 280, 1));
    }

    assertThat(results.fit()).isNotEmpty().isEqualTo(results.fits());
  }

  @Test
  void aFaultyLineOfPointsIsNamed(@TempDir Path folder) throws IOException {
    Path file = folder.resolve("points.csv");
    Files.writeString(
        file,
        "gatherers,servers,role,quantity,unit,value,repeat,seed\n2,200,GATHERER,x,us,1,1,1\n");

    assertThatThrownBy(() -> Points.read(file))
        .isInstanceOf(IOException.class)
        .hasMessageContainingAll("points.csv:2", "no quantity x");
  }

  @Test
  void aSizeThatNeedsMoreThanHalfOfTheMachineOrMoreThanTheHeapIsRefused() {
    Size target = new Size(890, 4900);
    long need = MemoryNeed.bytes(target);

    assertThat(MemoryNeed.refusal(target, 2 * need, need)).isEmpty();
    assertThat(MemoryNeed.refusal(target, 2 * need - 2, need).orElseThrow())
        .contains("890 x 4900", "half of the machine's memory");
    assertThat(MemoryNeed.refusal(target, 2 * need, need - 1)).isPresent();
  }
}
