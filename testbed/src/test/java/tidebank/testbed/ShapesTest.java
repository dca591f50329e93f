package tidebank.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.shape.RowSource;
import tidebank.testbed.trace.shape.Shapes;
import tidebank.testbed.trace.stats.TraceStats;
import tidebank.testbed.trace.synth.Arrivals;
import tidebank.testbed.trace.synth.Synthesis;

/** Shapes keep what they say they keep; what is made after a trace is like it. */
class ShapesTest {
  private static final long S = 1_000_000;

  /** A bursty trace: second by second at one of two rates, with skewed keys. */
  private static RowSource trace(int seconds, long seed) {
    SplittableRandom chance = new SplittableRandom(seed);
    List<TraceRow> rows = new ArrayList<>();
    boolean busy = false;
    for (int second = 0; second < seconds; second++) {
      busy = chance.nextDouble() < (busy ? 0.9 : 0.1);
      double step = 1e6 / (busy ? 60 : 10);
      for (double at = step * chance.nextDouble();
          at < S;
          at += step * (0.5 + chance.nextDouble())) {
        int key = (int) Math.exp(chance.nextDouble() * Math.log(300));
        rows.add(
            new TraceRow(
                second * S + (long) at,
                key % 2 == 0 ? "a" : "b",
                key % 24,
                1,
                "k" + key,
                1,
                10_000 + key,
                "x"));
      }
    }
    return RowSource.of(rows, seconds * S);
  }

  private static List<TraceRow> all(Iterator<TraceRow> rows) {
    List<TraceRow> list = new ArrayList<>();
    rows.forEachRemaining(list::add);
    return list;
  }

  private static TraceStats.Summary stats(RowSource rows) {
    TraceStats stats = new TraceStats();
    rows.open().forEachRemaining(stats::add);
    return stats.summary();
  }

  private static List<RowSource> shapes(RowSource rows, long seed) {
    return List.of(
        Shapes.window(rows, 3 * S, 17 * S),
        Shapes.warp(rows, 0.37),
        Shapes.warp(rows, 2.9),
        Shapes.thin(rows, 0.4, Shapes.By.ROW, seed),
        Shapes.thin(rows, 0.4, Shapes.By.KEY, seed),
        Shapes.superpose(rows, 3, seed),
        Shapes.loop(rows, 57 * S),
        Shapes.scale(rows, 50, Shapes.Scale.COPIES, seed),
        Shapes.merge(List.of(rows, Shapes.warp(rows, 2))));
  }

  @Property(tries = 20, seed = "17")
  void everyShapeIsInOrderWithinItsLengthAndTheSameEachTime(@ForAll long seed) {
    for (RowSource shape : shapes(trace(20, seed), seed)) {
      List<TraceRow> rows = all(shape.open());
      assertThat(rows).isNotEmpty().isEqualTo(all(shape.open()));
      long before = 0;
      for (TraceRow row : rows) {
        assertThat(row.timeUs()).isBetween(before, shape.lengthUs() - 1);
        before = row.timeUs();
      }
    }
  }

  @Property(tries = 20, seed = "17")
  void aWindowOfAShapeIsThatPartOfAllOfIt(
      @ForAll long seed,
      @ForAll @DoubleRange(min = 0, max = 1) double a,
      @ForAll @DoubleRange(min = 0, max = 1) double b) {
    for (RowSource shape : shapes(trace(20, seed), seed)) {
      long from = (long) (Math.min(a, b) * shape.lengthUs());
      long until = (long) (Math.max(a, b) * shape.lengthUs());
      assertThat(all(shape.open(from, until)))
          .containsExactlyElementsOf(
              all(shape.open()).stream()
                  .filter(row -> row.timeUs() >= from && row.timeUs() < until)
                  .toList());
    }
  }

  @Property(tries = 10, seed = "17")
  void copiesKeepEveryRowAndLoopsRepeatThemAll(
      @ForAll long seed, @ForAll @IntRange(min = 1, max = 5) int times) {
    RowSource rows = trace(10, seed);
    int count = all(rows.open()).size();
    assertThat(all(Shapes.superpose(rows, times, seed).open())).hasSize(times * count);
    assertThat(all(Shapes.loop(rows, times * rows.lengthUs()).open())).hasSize(times * count);
  }

  @Test
  void copiesKeepBurstinessAndSkewAndARateIsReached() {
    RowSource rows = trace(8000, 5);
    TraceStats.Summary before = stats(rows);
    TraceStats.Summary copies = stats(Shapes.superpose(rows, 4, 9));
    assertThat(copies.dispersion().get(1))
        .isCloseTo(before.dispersion().get(1), within(0.2 * before.dispersion().get(1)));
    assertThat(copies.zipf()).isCloseTo(before.zipf(), within(0.05));
    assertThat(stats(Shapes.scale(rows, 75, Shapes.Scale.COPIES, 9)).ratePerS())
        .isCloseTo(75, within(4.0));
    assertThat(stats(Shapes.scale(rows, 7, Shapes.Scale.WARP, 9)).ratePerS())
        .isCloseTo(7, within(0.1));
    // Thinning pulls the index of dispersion d to 1 + p (d - 1).
    double d = before.dispersion().get(1);
    assertThat(stats(Shapes.thin(rows, 0.25, Shapes.By.ROW, 9)).dispersion().get(1))
        .isCloseTo(1 + 0.25 * (d - 1), within(0.25 * d));
  }

  @Test
  void zipfsExponentIsFoundAgain() {
    for (double exponent : new double[] {0.7, 1.0, 1.4}) {
      long[] counts = new long[2000];
      for (int rank = 1; rank <= counts.length; rank++) {
        counts[rank - 1] = Math.round(1e7 * Math.pow(rank, -exponent));
      }
      assertThat(TraceStats.zipf(counts)).isCloseTo(exponent, within(0.01));
    }
  }

  @Test
  void hiddenRatesAreFoundAgainAndAPlainPoissonProcessHasOne() {
    Arrivals true2 = new Arrivals(new double[] {5, 40}, new double[][] {{0.95, 0.05}, {0.1, 0.9}});
    Arrivals found = Arrivals.fit(true2.draw(3000, new SplittableRandom(3)));
    assertThat(found.rates()).hasSize(2);
    assertThat(found.rates()[0]).isCloseTo(5, within(0.4));
    assertThat(found.rates()[1]).isCloseTo(40, within(1.5));
    assertThat(found.moves()[0][1]).isCloseTo(0.05, within(0.02));
    Arrivals plain = new Arrivals(new double[] {20}, new double[][] {{1}});
    assertThat(Arrivals.fit(plain.draw(2000, new SplittableRandom(4))).rates()).hasSize(1);
  }

  @Test
  void whatIsMadeAfterATraceIsLikeItAndTheSameForOneSeed() {
    RowSource rows = trace(900, 11);
    Synthesis synthesis = new Synthesis();
    rows.open().forEachRemaining(synthesis::learn);
    synthesis.learned();
    TraceStats made = new TraceStats();
    synthesis.rows(900, 7).forEachRemaining(made::add);
    var off = Synthesis.off(synthesis.original(), made.summary());
    assertThat(off.get("rate a second")[2]).isBetween(-0.2, 0.2);
    assertThat(off.get("dispersion at 1 s")[2]).isBetween(-0.3, 0.3);
    assertThat(off.get("autocorrelation at 1 s")[2]).isBetween(-0.2, 0.2);
    assertThat(off.get("Zipf exponent of keys")[2]).isBetween(-0.15, 0.15);
    assertThat(off.get("work p50, ms")[2]).isBetween(-0.1, 0.1);
    assertThat(all(synthesis.rows(60, 7)))
        .isEqualTo(all(synthesis.rows(60, 7)))
        .isNotEqualTo(all(synthesis.rows(60, 8)));
  }
}
