package tidebank.testbed.scale;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/** The capacity page: hand-written text with generated tables of a run between markers. */
public final class CapacityPage {
  private CapacityPage() {}

  /**
   * Returns the page with its tables replaced by those of the given results.
   *
   * @throws IOException if a marker of a table is missing or occurs more than once, or if an end
   *     marker precedes its begin marker
   */
  public static String render(String page, RunFacts run, List<Fit> fits, Target target)
      throws IOException {
    String text = page;
    for (Map.Entry<String, String> table :
        new CapacityTables(run, fits, target).byMarker().entrySet()) {
      text = replace(text, table.getKey(), table.getValue());
    }
    return text;
  }

  private static String replace(String page, String name, String table) throws IOException {
    String begin = "<!-- scale:begin " + name + " -->\n";
    String end = "<!-- scale:end " + name + " -->\n";
    int from = indexOfUnique(page, begin) + begin.length();
    int to = indexOfUnique(page, end);
    if (to < from) {
      throw new IOException(
          "markers of table " + name + ": the end marker precedes the begin marker");
    }
    return page.substring(0, from) + table + page.substring(to);
  }

  /** Returns the index of a marker that has to occur exactly once. */
  private static int indexOfUnique(String page, String marker) throws IOException {
    int index = page.indexOf(marker);
    if (index < 0 || page.indexOf(marker, index + 1) >= 0) {
      throw new IOException(
          (index < 0 ? "marker missing" : "marker found more than once")
              + " in the page: "
              + marker.trim());
    }
    return index;
  }
}
