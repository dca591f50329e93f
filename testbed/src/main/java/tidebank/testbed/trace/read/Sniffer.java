package tidebank.testbed.trace.read;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import tidebank.testbed.trace.layout.Layout;
import tidebank.testbed.trace.layout.Layouts;

/** Names the likeliest layout of a file, with its evidence. */
public final class Sniffer {
  private static final int LINES = 200;
  private static final double LEAST = 0.35;

  /** Two layouts that are this near each other both fit. */
  private static final double NEAR = 0.05;

  /** A layout and how it fits. */
  public record Guess(Layout layout, double score, List<String> evidence) {}

  /**
   * What was found.
   *
   * @param all every layout, the likeliest first
   * @param best the layout, or null if none fits or two fit alike
   * @param verdict a sentence
   */
  public record Finding(List<Guess> all, Layout best, String verdict) {}

  private Sniffer() {}

  public static Finding sniff(Source source) throws IOException {
    List<List<String>> lines = source.first(LINES);
    List<Guess> all = new ArrayList<>();
    for (Layout layout : Layouts.all()) {
      Layout.Fit fit = layout.fit(lines);
      all.add(new Guess(layout, fit.score(), fit.evidence()));
    }
    all.sort(Comparator.comparingDouble(Guess::score).reversed());
    Guess first = all.get(0);
    Guess second = all.get(1);
    if (first.score() < LEAST) {
      return new Finding(
          all,
          null,
          "no known layout fits; a mapping with layout = \"generic\" reads any CSV with a header");
    }
    if (second.score() >= LEAST && first.score() - second.score() < NEAR) {
      return new Finding(
          all,
          null,
          "two fit alike: "
              + first.layout().name()
              + " and "
              + second.layout().name()
              + "; name one with --layout");
    }
    return new Finding(all, first.layout(), first.layout().name());
  }
}
