package tidebank.testbed.report;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.ZoneOffset;
import java.time.format.DateTimeFormatter;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.HistogramLogWriter;
import tidebank.testbed.account.QueryRecord;
import tidebank.testbed.account.RuleAudit;
import tidebank.testbed.account.ServiceScore;
import tidebank.testbed.replay.Replay;

/**
 * A replay's results in a folder of their own: manifest, rows, histograms, report as JSON and as a
 * page.
 */
public final class RunFolder implements Closeable {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
  private static final DateTimeFormatter NAME =
      DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss").withZone(ZoneOffset.UTC);
  private static final int WAITING_MOST = 200_000;
  private static final double[] QUANTILES = {50, 90, 99, 99.9, 100};

  private final Path folder;
  private final Table scans;
  private final Map<Long, Map<String, Long>> ends = new TreeMap<>();
  private final BlockingQueue<Optional<QueryRecord>> waiting =
      new ArrayBlockingQueue<>(WAITING_MOST);
  private final Thread writer = new Thread(this::write, "rows of the run");
  private volatile IOException fault;
  private volatile long notKept;
  private boolean closed;

  /** Makes a folder below another, named by the time and a word. */
  public static RunFolder create(Path runs, String word) throws IOException {
    String stem = NAME.format(Instant.now()) + "-" + word.replaceAll("[^A-Za-z0-9_-]+", "-");
    Path folder = runs.resolve(stem);
    for (int i = 2; Files.exists(folder); i++) {
      folder = runs.resolve(stem + "-" + i);
    }
    Files.createDirectories(folder);
    return new RunFolder(folder);
  }

  private RunFolder(Path folder) throws IOException {
    this.folder = folder;
    Map<String, Class<?>> columns = new LinkedHashMap<>();
    columns.put("number", Long.class);
    columns.put("table_type", String.class);
    columns.put("account", String.class);
    columns.put("intended_us", Long.class);
    columns.put("sent_us", Long.class);
    columns.put("end_us", Long.class);
    columns.put("end", String.class);
    columns.put("share", Double.class);
    columns.put("whole", Boolean.class);
    columns.put("tries", Integer.class);
    columns.put("benefit", Double.class);
    columns.put("earned", Double.class);
    scans = new Table(folder.resolve("scans.parquet"), columns);
    writer.setDaemon(true);
    writer.start();
  }

  public Path folder() {
    return folder;
  }

  /**
   * A scan's end. Written by a thread of its own: this is called on the sender's event loop, whose
   * lateness is measured. A row that finds no room is not kept, and the report says how many were
   * not; the account has them all.
   */
  public void add(QueryRecord scan) {
    if (!waiting.offer(Optional.of(scan))) {
      notKept++;
    }
  }

  private void write() {
    try {
      for (Optional<QueryRecord> next = waiting.take(); next.isPresent(); next = waiting.take()) {
        if (fault == null) {
          write(next.get());
        }
      }
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
    }
  }

  private void write(QueryRecord scan) {
    try {
      scans.add(
          scan.number(),
          scan.queryClass(),
          scan.tenant(),
          scan.intendedUs(),
          scan.sentUs(),
          scan.endUs(),
          scan.outcome().name(),
          scan.answeredWeight(),
          scan.complete(),
          scan.attempts(),
          scan.benefit(),
          scan.earnedBenefit());
    } catch (IOException failed) {
      fault = failed;
    }
    ends.computeIfAbsent(Math.floorDiv(scan.intendedUs(), 1_000_000), second -> new TreeMap<>())
        .merge(scan.outcome().name(), 1L, Long::sum);
  }

  /** Writes all but the rows, which are there already. */
  public ObjectNode finish(Replay.Outcome outcome, Map<String, Object> manifest)
      throws IOException {
    close();
    if (fault != null) {
      throw fault;
    }
    ObjectNode report = report(outcome).put("rows_not_kept", notKept);
    Files.writeString(folder.resolve("manifest.json"), JSON.writeValueAsString(manifest));
    Files.writeString(folder.resolve("report.json"), JSON.writeValueAsString(report));
    try (PrintStream log = new PrintStream(Files.newOutputStream(folder.resolve("latency.hlog")))) {
      HistogramLogWriter writer = new HistogramLogWriter(log);
      writer.outputLogFormatVersion();
      writer.outputLegend();
      for (Map.Entry<String, Histogram> one :
          Map.of("latency_us", outcome.latency(), "lateness_us", outcome.lateness()).entrySet()) {
        one.getValue().setTag(one.getKey());
        one.getValue().setStartTimeStamp(0);
        one.getValue().setEndTimeStamp((long) (outcome.durationS() * 1000));
        writer.outputIntervalHistogram(one.getValue());
      }
    }
    Files.writeString(folder.resolve("report.html"), page(outcome, manifest).toString());
    return report;
  }

  private static ObjectNode report(Replay.Outcome outcome) {
    ServiceScore.Summary figures = outcome.scoreSummary();
    ObjectNode report = JSON.createObjectNode();
    report
        .put("score", figures.score())
        .put("whole", figures.wholeRun())
        .put("worst_10s", figures.worstWindow())
        .put("worst_10s_from_s", figures.worstWindowFromS())
        .put("worst_table_type", figures.worstClass())
        .put("worst_table_type_name", figures.worstClassName())
        .put("worst_account", figures.worstTenant())
        .put("worst_account_name", figures.worstTenantName())
        .put("scans", figures.queries())
        .put("seconds", outcome.durationS())
        .put("dispatches", outcome.attempts())
        .put("scans_judged", outcome.checkedQueries())
        .put("rules_kept", outcome.hasNoViolations());
    ObjectNode ends = report.putObject("ends");
    figures.countByOutcome().forEach((end, count) -> ends.put(end.name(), count));
    ObjectNode types = report.putObject("by_table_type");
    outcome.serviceByClass().forEach(types::put);
    ObjectNode rules = report.putObject("broken_rules");
    outcome.violationsByRule().forEach((rule, count) -> rules.put(String.valueOf(rule), count));
    report.putPOJO(
        "first_broken",
        outcome.violations().stream().map(RuleAudit.Violation::description).toList());
    quantiles(report.putObject("latency_ms"), outcome.latency());
    quantiles(report.putObject("lateness_of_sending_ms"), outcome.lateness());
    ObjectNode exits = report.putObject("exit_codes");
    outcome.exitCodes().forEach(exits::put);
    return report;
  }

  private static void quantiles(ObjectNode to, Histogram histogram) {
    for (double quantile : QUANTILES) {
      to.put(
          "p"
              + (quantile == Math.rint(quantile)
                  ? String.valueOf((int) quantile)
                  : String.valueOf(quantile)),
          histogram.getTotalCount() == 0
              ? null
              : histogram.getValueAtPercentile(quantile) / 1000.0);
    }
  }

  private Page page(Replay.Outcome outcome, Map<String, Object> manifest) {
    ServiceScore.Summary figures = outcome.scoreSummary();
    Page page = new Page("Replay of " + manifest.get("trace"));
    page.verdict(
        outcome.hasNoViolations(),
        outcome.hasNoViolations()
            ? "All six rules were kept."
            : "Rules were broken: " + outcome.violationsByRule());
    page.table(
        List.of("service", "figure", "share of the score"),
        List.of(
            List.of("whole run", three(figures.wholeRun()), "40%"),
            List.of(
                "worst 10 s, from second " + figures.worstWindowFromS(),
                three(figures.worstWindow()),
                "30%"),
            List.of(
                "worst table type: " + figures.worstClassName(),
                three(figures.worstClass()),
                "20%"),
            List.of(
                "worst account: " + figures.worstTenantName(), three(figures.worstTenant()), "10%"),
            List.of("score", three(figures.score()), "")));
    page.heading("Service over time");
    List<Charts.Line> service = new ArrayList<>();
    service.add(new Charts.Line("service", outcome.serviceBySecond()));
    page.chart(
        Charts.lines(
            "benefit earned over benefit asked",
            "second of the run",
            "service",
            false,
            false,
            service));
    page.heading("How scans ended");
    Map<String, Map<Long, Double>> byEnd = new TreeMap<>();
    ends.forEach(
        (second, counts) ->
            counts.forEach(
                (end, count) ->
                    byEnd.computeIfAbsent(end, e -> new TreeMap<>()).put(second, (double) count)));
    page.chart(
        Charts.lines(
            "scans by their end",
            "second of the run",
            "scans a second",
            false,
            false,
            byEnd.entrySet().stream()
                .map(entry -> new Charts.Line(entry.getKey(), entry.getValue()))
                .toList()));
    List<List<String>> rows = new ArrayList<>();
    figures
        .countByOutcome()
        .forEach((end, count) -> rows.add(List.of(end.name(), String.valueOf(count))));
    page.table(List.of("end", "scans"), rows);
    List<List<String>> types = new ArrayList<>();
    outcome.serviceByClass().forEach((type, value) -> types.add(List.of(type, three(value))));
    page.table(List.of("table type", "service"), types);
    page.heading("Times");
    Map<Double, Double> latency = new TreeMap<>();
    Map<Double, Double> lateness = new TreeMap<>();
    for (double q = 1; q < 100; q += q < 90 ? 1 : 0.1) {
      latency.put(q, outcome.latency().getValueAtPercentile(q) / 1000.0);
      lateness.put(q, outcome.lateness().getValueAtPercentile(q) / 1000.0);
    }
    page.chart(
        Charts.lines(
            "time to the answer, from when the scan was intended",
            "percentile",
            "ms",
            false,
            true,
            List.of(
                new Charts.Line("answer", latency), new Charts.Line("sender late by", lateness))));
    page.text(
        "The sender never waits for answers. How late it was itself is in the chart and in"
            + " report.json; a scan's time counts from when it was intended, so a late sender makes"
            + " the figures worse, never better.");
    if (!outcome.violations().isEmpty()) {
      page.heading("Broken rules");
      List<List<String>> broken = new ArrayList<>();
      outcome
          .violations()
          .forEach(one -> broken.add(List.of("rule " + one.rule(), one.description())));
      page.table(List.of("rule", "what was seen"), broken);
    }
    page.heading("Manifest");
    List<List<String>> facts = new ArrayList<>();
    manifest.forEach((key, value) -> facts.add(List.of(key, String.valueOf(value))));
    page.table(List.of("", ""), facts);
    return page;
  }

  public static String three(double value) {
    return String.format(java.util.Locale.ROOT, "%.3f", value);
  }

  /** The commit of a checkout, "" if there is none. */
  public static String commit(Path home) {
    try {
      Process git =
          new ProcessBuilder("git", "-C", home.toString(), "rev-parse", "HEAD")
              .redirectErrorStream(true)
              .start();
      try (BufferedReader out = git.inputReader()) {
        String line = out.readLine();
        return git.waitFor(2, TimeUnit.SECONDS) && git.exitValue() == 0 && line != null ? line : "";
      }
    } catch (IOException fault) {
      return "";
    } catch (InterruptedException fault) {
      Thread.currentThread().interrupt();
      return "";
    }
  }

  /** Waits until all rows are written. */
  @Override
  public void close() throws IOException {
    if (closed) {
      return;
    }
    closed = true;
    try {
      waiting.put(Optional.empty());
      writer.join();
    } catch (InterruptedException interrupted) {
      Thread.currentThread().interrupt();
    }
    scans.close();
  }
}
