package tidebank.testbed.scale;

import java.io.IOException;
import java.util.List;
import java.util.Map;

/** The capacity page: prose that people write, and between markers the tables of a run. */
public final class CapacityPage {
  private CapacityPage() {}

  /**
   * The page with the tables of these results.
   *
   * @throws IOException if a table's markers are missing, or stand twice or in the wrong order
   */
  public static String with(String page, RunFacts run, List<Fit> fits, Target target)
      throws IOException {
    String text = page;
    for (Map.Entry<String, String> table : new CapacityTables(run, fits, target).all().entrySet()) {
      text = replace(text, table.getKey(), table.getValue());
    }
    return text;
  }

  private static String replace(String page, String name, String table) throws IOException {
    String begin = "<!-- scale:begin " + name + " -->\n";
    String end = "<!-- scale:end " + name + " -->\n";
    int from = only(page, begin) + begin.length();
    int to = only(page, end);
    if (to < from) {
      throw new IOException("markers of table " + name + ": the end stands before the beginning");
    }
    return page.substring(0, from) + table + page.substring(to);
  }

  private static int only(String page, String marker) throws IOException {
    int at = page.indexOf(marker);
    if (at < 0 || page.indexOf(marker, at + 1) >= 0) {
      throw new IOException(
          (at < 0 ? "missing" : "more than once") + " in the page: " + marker.trim());
    }
    return at;
  }
}
