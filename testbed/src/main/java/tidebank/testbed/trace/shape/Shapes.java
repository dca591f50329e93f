package tidebank.testbed.trace.shape;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.zip.CRC32;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.order.Merge;

/**
 * Shapes of traces. What each keeps: a time warp keeps counts, burstiness by count and keys, and
 * stretches time; superposition keeps the index of dispersion and the skew of keys; thinning by row
 * keeps the skew and pulls the index of dispersion towards 1 (to 1 + p (d - 1)); thinning by key
 * keeps each kept key's own bursts, but which keys are kept is a matter of the seed.
 */
public final class Shapes {
  /** What a row is kept or left by. */
  public enum By {
    ROW,
    KEY
  }

  /** How a rate is reached. */
  public enum Scale {
    WARP,
    COPIES
  }

  private Shapes() {}

  /** Only a part of the time, which then starts at 0. */
  public static RowSource window(RowSource of, long fromUs, long untilUs) {
    long from = Math.max(0, Math.min(fromUs, of.lengthUs()));
    long until = Math.max(from, Math.min(untilUs, of.lengthUs()));
    double share = of.lengthUs() == 0 ? 0 : (double) (until - from) / of.lengthUs();
    return RowSource.made(
        until - from,
        of.count() * share,
        (a, b) ->
            RowSource.mapped(
                of.open(from + a, Math.min(until, from + b)), row -> row.at(row.timeUs() - from)));
  }

  /** All times by a factor: 2 is twice as slow. */
  public static RowSource warp(RowSource of, double factor) {
    if (!(factor > 0) || Double.isInfinite(factor)) {
      throw new IllegalArgumentException("a time warp wants a factor above 0, found " + factor);
    }
    long length = Math.max(1, (long) Math.ceil(of.lengthUs() * factor));
    return RowSource.made(
        length,
        of.count(),
        (a, b) ->
            RowSource.filtered(
                RowSource.mapped(
                    // One microsecond more at each end, as times are rounded down.
                    of.open((long) Math.floor(a / factor), (long) Math.ceil(b / factor) + 1),
                    row -> row.at((long) (row.timeUs() * factor))),
                row -> row.timeUs() >= a && row.timeUs() < b));
  }

  /** Only a share of the rows, by chance. */
  public static RowSource thin(RowSource of, double share, By by, long seed) {
    if (!(share > 0 && share <= 1)) {
      throw new IllegalArgumentException(
          "thinning wants a share above 0 and at most 1, found " + share);
    }
    return RowSource.made(
        of.lengthUs(),
        of.count() * share,
        (a, b) -> {
          // Rows alike at one instant are told apart by how many of them came before.
          long[] alike = {0};
          TraceRow[] before = {null};
          return RowSource.filtered(
              of.open(a, b),
              row -> {
                alike[0] = row.equals(before[0]) ? alike[0] + 1 : 0;
                before[0] = row;
                String name =
                    by == By.KEY
                        ? row.key()
                        : row.timeUs()
                            + "/"
                            + row.key()
                            + "/"
                            + row.depot()
                            + "/"
                            + row.workUs()
                            + "/"
                            + row.account()
                            + "/"
                            + alike[0];
                return chance(seed, name) < share;
              });
        });
  }

  /**
   * So many copies at once, each turned round in time by an offset of its own, so that their bursts
   * do not coincide.
   */
  public static RowSource superpose(RowSource of, int copies, long seed) {
    if (copies < 1) {
      throw new IllegalArgumentException("superposition wants one copy at least, found " + copies);
    }
    List<RowSource> all = new ArrayList<>();
    for (int i = 0; i < copies; i++) {
      all.add(i == 0 ? of : turned(of, (long) (chance(seed, "copy " + i) * of.lengthUs())));
    }
    return merge(all);
  }

  /** Turned round in time: what came at the offset comes at 0, what came before it comes last. */
  static RowSource turned(RowSource of, long offset) {
    long length = of.lengthUs();
    return RowSource.made(
        length,
        of.count(),
        (a, b) -> {
          long cut = length - offset;
          return RowSource.chained(
              2,
              piece ->
                  piece == 0
                      ? RowSource.mapped(
                          of.open(Math.min(length, a + offset), Math.min(length, b + offset)),
                          row -> row.at(row.timeUs() - offset))
                      : RowSource.mapped(
                          of.open(Math.max(0, a - cut), Math.max(0, b - cut)),
                          row -> row.at(row.timeUs() + cut)));
        });
  }

  /** Several traces at once, as long as the longest. */
  public static RowSource merge(List<RowSource> all) {
    long length = all.stream().mapToLong(RowSource::lengthUs).max().orElse(0);
    double count = all.stream().mapToDouble(RowSource::count).sum();
    return RowSource.made(
        length,
        count,
        (a, b) -> {
          List<Iterator<TraceRow>> opened = new ArrayList<>();
          all.forEach(rows -> opened.add(rows.open(a, b)));
          return Merge.of(opened, TraceRow.ORDER);
        });
  }

  /** Over and over, until this time. */
  public static RowSource loop(RowSource of, long untilUs) {
    long length = Math.max(1, of.lengthUs());
    return RowSource.made(
        untilUs,
        of.count() * untilUs / length,
        (a, b) -> {
          long end = Math.min(b, untilUs);
          long first = a / length;
          int rounds = end <= a ? 0 : (int) ((end - 1) / length - first + 1);
          return RowSource.chained(
              rounds,
              round -> {
                long base = (first + round) * length;
                return RowSource.mapped(
                    of.open(Math.max(0, a - base), Math.min(length, end - base)),
                    row -> row.at(row.timeUs() + base));
              });
        });
  }

  /**
   * To a rate in rows a second, either by time alone or by copies (and by thinning what is too
   * much).
   */
  public static RowSource scale(RowSource of, double perS, Scale how, long seed) {
    if (!(perS > 0)) {
      throw new IllegalArgumentException("a rate wants to be above 0, found " + perS);
    }
    // Counted, as a part of a bursty trace has not its share of the rows.
    long rows = 0;
    for (Iterator<TraceRow> all = of.open(); all.hasNext(); all.next()) {
      rows++;
    }
    if (rows == 0) {
      throw new IllegalArgumentException("no row is left to scale");
    }
    double factor = perS / (rows / (of.lengthUs() / 1e6));
    if (how == Scale.WARP) {
      return warp(of, 1 / factor);
    }
    int copies = Math.max(1, (int) Math.ceil(factor - 1e-9));
    RowSource more = copies == 1 ? of : superpose(of, copies, seed);
    double share = factor / copies;
    return share >= 1 - 1e-9 ? more : thin(more, share, By.ROW, seed);
  }

  private static double chance(long seed, String name) {
    CRC32 crc = new CRC32();
    crc.update((seed + "/" + name).getBytes(StandardCharsets.UTF_8));
    // Alike names give alike sums; one more round of mixing parts them.
    long mixed = (crc.getValue() + 0x9e3779b97f4a7c15L) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 29)) * 0x94d049bb133111ebL;
    return ((mixed ^ (mixed >>> 32)) >>> 11) * 0x1p-53;
  }
}
