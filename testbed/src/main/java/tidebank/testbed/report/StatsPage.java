package tidebank.testbed.report;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import tidebank.testbed.trace.stats.TraceStats;

/** What traces are like, as a page with charts. */
public final class StatsPage {
  private static final int POINTS_MOST = 2000;

  /** A trace's figures under its name. */
  public record Named(String name, TraceStats stats) {}

  private StatsPage() {}

  public static String of(List<Named> traces) {
    Page page = new Page("Traces: " + String.join(", ", traces.stream().map(Named::name).toList()));
    List<String> head = new ArrayList<>(List.of(""));
    List<List<String>> rows = new ArrayList<>();
    List<TraceStats.Summary> all = traces.stream().map(trace -> trace.stats().summary()).toList();
    traces.forEach(trace -> head.add(trace.name()));
    rows.add(
        row(
            "rows",
            all.stream().map(one -> String.format(Locale.ROOT, "%,d", one.rows())).toList()));
    rows.add(row("seconds", all.stream().map(one -> number(one.seconds())).toList()));
    rows.add(row("a second", all.stream().map(one -> number(one.ratePerS())).toList()));
    rows.add(row("peak second", all.stream().map(one -> number(one.peakPerS())).toList()));
    rows.add(row("dispersion", all.stream().map(one -> one.dispersion().toString()).toList()));
    rows.add(row("Zipf exponent of keys", all.stream().map(one -> number(one.zipf())).toList()));
    rows.add(
        row(
            "keys",
            all.stream().map(one -> String.format(Locale.ROOT, "%,d", one.keys())).toList()));
    rows.add(row("work a second, s", all.stream().map(one -> number(one.workPerS())).toList()));
    page.table(head, rows);
    List<Charts.Line> rate = new ArrayList<>();
    List<Charts.Line> keys = new ArrayList<>();
    List<Charts.Line> work = new ArrayList<>();
    List<Charts.Line> lags = new ArrayList<>();
    for (int i = 0; i < traces.size(); i++) {
      Named trace = traces.get(i);
      int[] counts = trace.stats().counts();
      int slot = Math.max(1, counts.length / POINTS_MOST);
      Map<Integer, Double> bySlot = new TreeMap<>();
      for (int second = 0; second < counts.length; second++) {
        bySlot.merge(second / slot * slot, (double) counts[second] / slot, Double::sum);
      }
      rate.add(new Charts.Line(trace.name(), bySlot));
      long[] byRank = trace.stats().keyCounts();
      Map<Integer, Double> ranks = new TreeMap<>();
      for (int rank = 1; rank <= byRank.length; rank = Math.max(rank + 1, rank + rank / 10)) {
        ranks.put(rank, (double) byRank[rank - 1]);
      }
      keys.add(new Charts.Line(trace.name(), ranks));
      work.add(new Charts.Line(trace.name(), all.get(i).workMs()));
      Map<Integer, Double> lag = new TreeMap<>();
      for (int at = 0; at < all.get(i).autocorrelation().size(); at++) {
        lag.put(at + 1, all.get(i).autocorrelation().get(at));
      }
      lags.add(new Charts.Line(trace.name(), lag));
    }
    page.chart(Charts.lines("arrivals", "second", "a second", false, false, rate));
    page.chart(Charts.lines("popularity of keys", "rank", "rows", true, true, keys));
    page.chart(Charts.lines("work a part", "percentile", "ms", false, true, work));
    page.chart(
        Charts.lines("autocorrelation of arrivals by second", "lag, s", "", false, false, lags));
    return page.toString();
  }

  private static List<String> row(String name, List<String> values) {
    List<String> row = new ArrayList<>(List.of(name));
    row.addAll(values);
    return row;
  }

  private static String number(double value) {
    return String.format(Locale.ROOT, "%.3f", value);
  }
}
