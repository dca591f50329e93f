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
 * Writes the results of a replay into a new folder: manifest, one row for each query, histograms
 * and the report as JSON and as an HTML page.
 */
public final class RunFolder implements Closeable {
  private static final ObjectMapper JSON =
      new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
  private static final DateTimeFormatter NAME_TIME_FORMAT =
      DateTimeFormatter.ofPattern("yyyyMMdd-HHmmss").withZone(ZoneOffset.UTC);
  private static final int MAX_QUEUED_ROWS = 200_000;
  private static final double[] PERCENTILES = {50, 90, 99, 99.9, 100};

  private final Path folder;
  private final ParquetTable queryTable;
  private final Map<Long, Map<String, Long>> outcomesBySecond = new TreeMap<>();
  private final BlockingQueue<Optional<QueryRecord>> queue =
      new ArrayBlockingQueue<>(MAX_QUEUED_ROWS);
  private final Thread writer = new Thread(this::writeRows, "rows of the run");
  private volatile IOException writeFailure;
  private volatile long droppedRows;
  private boolean closed;

  /**
   * Creates a run folder.
   *
   * @param runs the folder in which to create it
   * @param label follows the time in the folder name; characters other than ASCII letters, digits,
   *     "_" and "-" are replaced
   */
  public static RunFolder create(Path runs, String label) throws IOException {
    String baseName =
        NAME_TIME_FORMAT.format(Instant.now()) + "-" + label.replaceAll("[^A-Za-z0-9_-]+", "-");
    Path folder = runs.resolve(baseName);
    for (int suffix = 2; Files.exists(folder); suffix++) {
      folder = runs.resolve(baseName + "-" + suffix);
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
    queryTable = new ParquetTable(folder.resolve("scans.parquet"), columns);
    writer.setDaemon(true);
    writer.start();
  }

  /** Returns the path of this run folder. */
  public Path folder() {
    return folder;
  }

  /**
   * Queues the record of a finished query for the writer thread. This method doesn't block, because
   * it is called on the load generator's event loop, and that loop's lateness is measured. If the
   * queue is full, the row is dropped and counted in the report; the score includes it
   * nevertheless.
   */
  public void add(QueryRecord query) {
    if (!queue.offer(Optional.of(query))) {
      droppedRows++;
    }
  }

  private void writeRows() {
    try {
      for (Optional<QueryRecord> next = queue.take(); next.isPresent(); next = queue.take()) {
        if (writeFailure == null) {
          writeRow(next.get());
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void writeRow(QueryRecord query) {
    try {
      queryTable.add(
          query.number(),
          query.queryClass(),
          query.tenant(),
          query.intendedUs(),
          query.sentUs(),
          query.endUs(),
          query.outcome().name(),
          query.answeredWeight(),
          query.complete(),
          query.attempts(),
          query.benefit(),
          query.earnedBenefit());
    } catch (IOException e) {
      writeFailure = e;
    }
    outcomesBySecond
        .computeIfAbsent(Math.floorDiv(query.intendedUs(), 1_000_000), second -> new TreeMap<>())
        .merge(query.outcome().name(), 1L, Long::sum);
  }

  /**
   * Closes the file of rows and writes all other files.
   *
   * @return the report, as written to report.json
   * @throws IOException if a file can't be written or a row could not be written earlier
   */
  public ObjectNode finish(Replay.Outcome outcome, Map<String, Object> manifest)
      throws IOException {
    close();
    if (writeFailure != null) {
      throw writeFailure;
    }
    ObjectNode report = createReport(outcome).put("rows_not_kept", droppedRows);
    Files.writeString(folder.resolve("manifest.json"), JSON.writeValueAsString(manifest));
    Files.writeString(folder.resolve("report.json"), JSON.writeValueAsString(report));
    try (PrintStream log = new PrintStream(Files.newOutputStream(folder.resolve("latency.hlog")))) {
      HistogramLogWriter histogramWriter = new HistogramLogWriter(log);
      histogramWriter.outputLogFormatVersion();
      histogramWriter.outputLegend();
      for (Map.Entry<String, Histogram> histogram :
          Map.of("latency_us", outcome.latency(), "lateness_us", outcome.lateness()).entrySet()) {
        histogram.getValue().setTag(histogram.getKey());
        histogram.getValue().setStartTimeStamp(0);
        histogram.getValue().setEndTimeStamp((long) (outcome.durationS() * 1000));
        histogramWriter.outputIntervalHistogram(histogram.getValue());
      }
    }
    Files.writeString(folder.resolve("report.html"), createPage(outcome, manifest).toString());
    return report;
  }

  private static ObjectNode createReport(Replay.Outcome outcome) {
    ServiceScore.Summary summary = outcome.scoreSummary();
    ObjectNode report = JSON.createObjectNode();
    report
        .put("score", summary.score())
        .put("whole", summary.wholeRun())
        .put("worst_10s", summary.worstWindow())
        .put("worst_10s_from_s", summary.worstWindowFromS())
        .put("worst_table_type", summary.worstClass())
        .put("worst_table_type_name", summary.worstClassName())
        .put("worst_account", summary.worstTenant())
        .put("worst_account_name", summary.worstTenantName())
        .put("scans", summary.queries())
        .put("seconds", outcome.durationS())
        .put("dispatches", outcome.attempts())
        .put("scans_judged", outcome.checkedQueries())
        .put("rules_kept", outcome.hasNoViolations());
    ObjectNode outcomes = report.putObject("ends");
    summary
        .countByOutcome()
        .forEach((queryOutcome, count) -> outcomes.put(queryOutcome.name(), count));
    ObjectNode classes = report.putObject("by_table_type");
    outcome.serviceByClass().forEach(classes::put);
    ObjectNode rules = report.putObject("broken_rules");
    outcome.violationsByRule().forEach((rule, count) -> rules.put(String.valueOf(rule), count));
    report.putPOJO(
        "first_broken",
        outcome.violations().stream().map(RuleAudit.Violation::description).toList());
    putPercentiles(report.putObject("latency_ms"), outcome.latency());
    putPercentiles(report.putObject("lateness_of_sending_ms"), outcome.lateness());
    ObjectNode exitCodes = report.putObject("exit_codes");
    outcome.exitCodes().forEach(exitCodes::put);
    return report;
  }

  /** Adds percentiles in milliseconds; null if the histogram of microseconds is empty. */
  private static void putPercentiles(ObjectNode node, Histogram histogram) {
    for (double percentile : PERCENTILES) {
      node.put(
          "p"
              + (percentile == Math.rint(percentile)
                  ? String.valueOf((int) percentile)
                  : String.valueOf(percentile)),
          histogram.getTotalCount() == 0
              ? null
              : histogram.getValueAtPercentile(percentile) / 1000.0);
    }
  }

  private Page createPage(Replay.Outcome outcome, Map<String, Object> manifest) {
    ServiceScore.Summary summary = outcome.scoreSummary();
    Page page = new Page("Replay of " + manifest.get("trace"));
    page.verdict(
        outcome.hasNoViolations(),
        outcome.hasNoViolations()
            ? "All six rules were kept."
            : "Rules violated: " + outcome.violationsByRule());
    page.table(
        List.of("service", "figure", "share of the score"),
        List.of(
            List.of("whole run", formatThreeDecimals(summary.wholeRun()), "40%"),
            List.of(
                "worst 10 s, from second " + summary.worstWindowFromS(),
                formatThreeDecimals(summary.worstWindow()),
                "30%"),
            List.of(
                "worst table type: " + summary.worstClassName(),
                formatThreeDecimals(summary.worstClass()),
                "20%"),
            List.of(
                "worst account: " + summary.worstTenantName(),
                formatThreeDecimals(summary.worstTenant()),
                "10%"),
            List.of("score", formatThreeDecimals(summary.score()), "")));
    page.heading("Service over time");
    List<Charts.Series> serviceSeries = new ArrayList<>();
    serviceSeries.add(new Charts.Series("service", outcome.serviceBySecond()));
    page.chart(
        Charts.renderLineChart(
            "benefit earned over benefit asked",
            "second of the run",
            "service",
            false,
            false,
            serviceSeries));
    page.heading("Query outcomes");
    Map<String, Map<Long, Double>> countsByOutcome = new TreeMap<>();
    outcomesBySecond.forEach(
        (second, counts) ->
            counts.forEach(
                (queryOutcome, count) ->
                    countsByOutcome
                        .computeIfAbsent(queryOutcome, name -> new TreeMap<>())
                        .put(second, (double) count)));
    page.chart(
        Charts.renderLineChart(
            "queries by outcome",
            "second of the run",
            "queries per second",
            false,
            false,
            countsByOutcome.entrySet().stream()
                .map(entry -> new Charts.Series(entry.getKey(), entry.getValue()))
                .toList()));
    List<List<String>> outcomeRows = new ArrayList<>();
    summary
        .countByOutcome()
        .forEach(
            (queryOutcome, count) ->
                outcomeRows.add(List.of(queryOutcome.name(), String.valueOf(count))));
    page.table(List.of("outcome", "queries"), outcomeRows);
    List<List<String>> classRows = new ArrayList<>();
    outcome
        .serviceByClass()
        .forEach((type, value) -> classRows.add(List.of(type, formatThreeDecimals(value))));
    page.table(List.of("table type", "service"), classRows);
    page.heading("Latency");
    Map<Double, Double> latency = new TreeMap<>();
    Map<Double, Double> lateness = new TreeMap<>();
    for (double percentile = 1; percentile < 100; percentile += percentile < 90 ? 1 : 0.1) {
      latency.put(percentile, outcome.latency().getValueAtPercentile(percentile) / 1000.0);
      lateness.put(percentile, outcome.lateness().getValueAtPercentile(percentile) / 1000.0);
    }
    page.chart(
        Charts.renderLineChart(
            "response time, from the intended send time of the query",
            "percentile",
            "ms",
            false,
            true,
            List.of(
                new Charts.Series("response time", latency),
                new Charts.Series("lateness of sending", lateness))));
    page.text(
        "The load generator never waits for responses. Its own lateness is shown in the chart and"
            + " in report.json. Response times count from the intended send time of a query, so"
            + " late sending makes the figures worse, never better.");
    if (!outcome.violations().isEmpty()) {
      page.heading("Rule violations");
      List<List<String>> violations = new ArrayList<>();
      outcome
          .violations()
          .forEach(
              violation ->
                  violations.add(List.of("rule " + violation.rule(), violation.description())));
      page.table(List.of("rule", "description"), violations);
    }
    page.heading("Manifest");
    List<List<String>> manifestRows = new ArrayList<>();
    manifest.forEach((key, value) -> manifestRows.add(List.of(key, String.valueOf(value))));
    page.table(List.of("", ""), manifestRows);
    return page;
  }

  /** Formats a number with three decimals. */
  public static String formatThreeDecimals(double value) {
    return String.format(java.util.Locale.ROOT, "%.3f", value);
  }

  /** Returns the id of the checked-out commit; "" if there is none or git does not report it. */
  public static String readHeadCommit(Path checkout) {
    try {
      Process git =
          new ProcessBuilder("git", "-C", checkout.toString(), "rev-parse", "HEAD")
              .redirectErrorStream(true)
              .start();
      try (BufferedReader out = git.inputReader()) {
        String line = out.readLine();
        return git.waitFor(2, TimeUnit.SECONDS) && git.exitValue() == 0 && line != null ? line : "";
      }
    } catch (IOException e) {
      return "";
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return "";
    }
  }

  /** Waits until all queued rows are written and closes the file of rows. */
  @Override
  public void close() throws IOException {
    if (closed) {
      return;
    }
    closed = true;
    try {
      queue.put(Optional.empty());
      writer.join();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    queryTable.close();
  }
}
