package tidebank.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.order.Item;
import tidebank.testbed.trace.stats.TraceStats;
import tidebank.testbed.trace.store.TraceFile;
import tidebank.testbed.trace.store.TraceMeta;

/** Statistics of traces, computed as they are written and printed for people. */
final class TraceOutput {
  static final long SECOND_US = 1_000_000;

  private TraceOutput() {}

  static TraceStats stats(Iterator<TraceRow> rows, String what, long all) {
    TraceStats stats = new TraceStats();
    try (Progress progress = new Progress(what, all)) {
      for (long i = 0; rows.hasNext(); i++) {
        stats.add(rows.next());
        if ((i & 8191) == 0) {
          progress.accept(i);
        }
      }
    }
    return stats;
  }

  static void printStats(PrintWriter out, String name, TraceStats.Summary summary) {
    out.printf(
        Locale.ROOT,
        "%s: %,d rows over %.1f s, %.2f a second (peak %.0f), %.2f s of work a second%n",
        name,
        summary.rows(),
        summary.seconds(),
        summary.ratePerS(),
        summary.peakPerS(),
        summary.workPerS());
    out.println("  index of dispersion: " + join(summary.dispersion(), "%d s: %.2f"));
    if (!summary.autocorrelation().isEmpty()) {
      out.printf(
          Locale.ROOT,
          "  autocorrelation by second: lag 1 %.2f, lag %d %.2f%n",
          summary.autocorrelation().get(0),
          summary.autocorrelation().size(),
          summary.autocorrelation().get(summary.autocorrelation().size() - 1));
    }
    out.printf(
        Locale.ROOT,
        "  keys: %,d, Zipf exponent %.2f, hottest %.2f%%; hottest depot %.1f%%; accounts: %,d%n",
        summary.keys(),
        summary.zipf(),
        100 * summary.hottestKey(),
        100 * summary.hottestDepot(),
        summary.accounts());
    out.println("  table types: " + join(summary.types(), "%s %.3f"));
    out.println("  between arrivals, ms: " + join(summary.betweenMs(), "p%s %.2f"));
    out.println("  work a part, ms: " + join(summary.workMs(), "p%s %.2f"));
    out.println("  parts: " + join(summary.parts(), "p%s %.0f"));
    out.flush();
  }

  private static String join(Map<?, Double> values, String form) {
    List<String> texts = new ArrayList<>();
    values.forEach(
        (key, value) ->
            texts.add(
                String.format(
                    Locale.ROOT,
                    form,
                    key instanceof Double number && number == Math.rint(number)
                        ? (Object) number.longValue()
                        : key,
                    value)));
    return String.join(", ", texts);
  }

  static TraceStats write(Iterator<TraceRow> rows, TraceMeta meta, Path output, long all)
      throws IOException {
    TraceStats stats = new TraceStats();
    long count = 0;
    try (TraceFile.Writer writer = new TraceFile.Writer(output, meta);
        Progress progress = new Progress("written", all)) {
      while (rows.hasNext()) {
        TraceRow row = rows.next();
        writer.add(new Item(row, 0));
        stats.add(row);
        if ((count++ & 8191) == 0) {
          progress.accept(count);
        }
      }
      if (count == 0) {
        throw new IOException("no row is left");
      }
      writer.finish();
    }
    return stats;
  }
}
