package tidebank.testbed.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import tidebank.testbed.trace.stats.TraceStats;

/** An HTML page that compares the statistics of traces, with charts. */
public final class StatsPage {
  private static final int MAX_POINTS = 2000;

  /** The statistics of a trace and its name. */
  public record NamedTrace(String name, TraceStats stats) {}

  private StatsPage() {}

  /** Returns the page as HTML. */
  public static String renderHtml(List<NamedTrace> traces) {
    Page page =
        new Page("Traces: " + String.join(", ", traces.stream().map(NamedTrace::name).toList()));
    List<String> header = new ArrayList<>(List.of(""));
    List<List<String>> rows = new ArrayList<>();
    List<TraceStats.Summary> summaries =
        traces.stream().map(trace -> trace.stats().summary()).toList();
    traces.forEach(trace -> header.add(trace.name()));
    rows.add(
        tableRow(
            "rows",
            summaries.stream()
                .map(summary -> String.format(Locale.ROOT, "%,d", summary.rows()))
                .toList()));
    rows.add(
        tableRow(
            "seconds",
            summaries.stream().map(summary -> formatThreeDecimals(summary.seconds())).toList()));
    rows.add(
        tableRow(
            "a second",
            summaries.stream().map(summary -> formatThreeDecimals(summary.ratePerS())).toList()));
    rows.add(
        tableRow(
            "peak second",
            summaries.stream().map(summary -> formatThreeDecimals(summary.peakPerS())).toList()));
    rows.add(
        tableRow(
            "dispersion",
            summaries.stream().map(summary -> summary.dispersion().toString()).toList()));
    rows.add(
        tableRow(
            "Zipf exponent of keys",
            summaries.stream().map(summary -> formatThreeDecimals(summary.zipf())).toList()));
    rows.add(
        tableRow(
            "keys",
            summaries.stream()
                .map(summary -> String.format(Locale.ROOT, "%,d", summary.keys()))
                .toList()));
    rows.add(
        tableRow(
            "work a second, s",
            summaries.stream().map(summary -> formatThreeDecimals(summary.workPerS())).toList()));
    page.table(header, rows);
    List<Charts.Series> rates = new ArrayList<>();
    List<Charts.Series> keys = new ArrayList<>();
    List<Charts.Series> work = new ArrayList<>();
    List<Charts.Series> lags = new ArrayList<>();
    for (int i = 0; i < traces.size(); i++) {
      NamedTrace trace = traces.get(i);
      int[] counts = trace.stats().counts();
      int secondsPerPoint = Math.max(1, counts.length / MAX_POINTS);
      Map<Integer, Double> rateBySecond = new TreeMap<>();
      for (int second = 0; second < counts.length; second++) {
        rateBySecond.merge(
            second / secondsPerPoint * secondsPerPoint,
            (double) counts[second] / secondsPerPoint,
            Double::sum);
      }
      rates.add(new Charts.Series(trace.name(), rateBySecond));
      long[] keyCounts = trace.stats().keyCounts();
      Map<Integer, Double> countByRank = new TreeMap<>();
      for (int rank = 1; rank <= keyCounts.length; rank = Math.max(rank + 1, rank + rank / 10)) {
        countByRank.put(rank, (double) keyCounts[rank - 1]);
      }
      keys.add(new Charts.Series(trace.name(), countByRank));
      work.add(new Charts.Series(trace.name(), summaries.get(i).workMs()));
      Map<Integer, Double> byLag = new TreeMap<>();
      for (int index = 0; index < summaries.get(i).autocorrelation().size(); index++) {
        byLag.put(index + 1, summaries.get(i).autocorrelation().get(index));
      }
      lags.add(new Charts.Series(trace.name(), byLag));
    }
    page.chart(
        Charts.renderLineChart("arrivals", "second", "arrivals per second", false, false, rates));
    page.chart(Charts.renderLineChart("popularity of keys", "rank", "rows", true, true, keys));
    page.chart(
        Charts.renderLineChart("work per shard request", "percentile", "ms", false, true, work));
    page.chart(
        Charts.renderLineChart(
            "autocorrelation of arrivals by second", "lag, s", "", false, false, lags));
    return page.toString();
  }

  private static List<String> tableRow(String name, List<String> values) {
    List<String> row = new ArrayList<>(List.of(name));
    row.addAll(values);
    return row;
  }

  private static String formatThreeDecimals(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
