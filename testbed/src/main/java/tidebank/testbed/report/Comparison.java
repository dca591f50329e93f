package tidebank.testbed.report;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.apache.parquet.conf.PlainParquetConfiguration;
import org.apache.parquet.example.data.Group;
import org.apache.parquet.hadoop.ParquetReader;
import org.apache.parquet.hadoop.api.ReadSupport;
import org.apache.parquet.hadoop.example.GroupReadSupport;
import org.apache.parquet.io.LocalInputFile;
import tidebank.testbed.columns.ZstdCodecs;

/**
 * A comparison of two runs. The confidence interval of the difference in service comes from a
 * paired bootstrap: it resamples windows of ten seconds, the same ones from both runs, out of the
 * windows present in both.
 *
 * @param rows the figures of both runs
 * @param difference service of the second run minus that of the first, over the windows present in
 *     both
 * @param low 2.5th percentile of the resampled differences
 * @param high 97.5th percentile of the resampled differences
 * @param verdict which run is better, if the interval excludes 0
 */
public record Comparison(
    List<Row> rows, double difference, double low, double high, String verdict) {
  /** One figure of both runs. */
  public record Row(String name, double first, double second) {}

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int WINDOW_S = 10;
  private static final int RESAMPLES = 2000;
  private static final List<String> FIGURES =
      List.of(
          "score",
          "whole",
          "worst_10s",
          "worst_table_type",
          "worst_account",
          "scans",
          "seconds",
          "dispatches");

  /**
   * Compares the runs in two run folders.
   *
   * @throws IOException if report.json or scans.parquet of a run can't be read
   */
  public static Comparison of(Path first, Path second) throws IOException {
    JsonNode firstReport = readReport(first);
    JsonNode secondReport = readReport(second);
    List<Row> rows = new ArrayList<>();
    for (String figure : FIGURES) {
      rows.add(
          new Row(
              figure, firstReport.path(figure).asDouble(), secondReport.path(figure).asDouble()));
    }
    firstReport
        .path("by_table_type")
        .fields()
        .forEachRemaining(
            type ->
                rows.add(
                    new Row(
                        "service of " + type.getKey(),
                        type.getValue().asDouble(),
                        secondReport
                            .path("by_table_type")
                            .path(type.getKey())
                            .asDouble(Double.NaN))));
    for (String quantile : List.of("p50", "p99", "p99.9")) {
      rows.add(
          new Row(
              "answer " + quantile + ", ms",
              firstReport.path("latency_ms").path(quantile).asDouble(),
              secondReport.path("latency_ms").path(quantile).asDouble()));
    }
    Map<Long, double[]> firstSums = readWindowSums(first);
    Map<Long, double[]> secondSums = readWindowSums(second);
    List<Long> windows = firstSums.keySet().stream().filter(secondSums::containsKey).toList();
    double difference =
        computeService(secondSums, windows, null) - computeService(firstSums, windows, null);
    double[] differences = new double[RESAMPLES];
    SplittableRandom random = new SplittableRandom(1);
    for (int i = 0; i < RESAMPLES && !windows.isEmpty(); i++) {
      int[] picked = new int[windows.size()];
      for (int j = 0; j < picked.length; j++) {
        picked[j] = random.nextInt(windows.size());
      }
      differences[i] =
          computeService(secondSums, windows, picked) - computeService(firstSums, windows, picked);
    }
    Arrays.sort(differences);
    double low = differences[(int) (0.025 * RESAMPLES)];
    double high = differences[(int) (0.975 * RESAMPLES)];
    String verdict =
        windows.size() < 3
            ? "too few stretches to tell"
            : low <= 0 && high >= 0
                ? "no difference seen"
                : difference > 0 ? "the second is better" : "the first is better";
    return new Comparison(rows, difference, low, high, verdict);
  }

  private static JsonNode readReport(Path run) throws IOException {
    Path file = run.resolve("report.json");
    if (!Files.isRegularFile(file)) {
      throw new IOException(run + ": not a run folder, report.json is missing");
    }
    return JSON.readTree(file.toFile());
  }

  /**
   * Returns the service, which is the benefit earned divided by the benefit asked; 0 if none was
   * asked.
   *
   * @param picked indexes into {@code windows} of those to include; null to include each once
   */
  private static double computeService(
      Map<Long, double[]> sumsByWindow, List<Long> windows, int[] picked) {
    double asked = 0;
    double earned = 0;
    for (int i = 0; i < windows.size(); i++) {
      double[] sums = sumsByWindow.get(windows.get(picked == null ? i : picked[i]));
      asked += sums[0];
      earned += sums[1];
    }
    return asked == 0 ? 0 : earned / asked;
  }

  /** Returns the benefit asked and earned in each window, by the index of the window. */
  private static Map<Long, double[]> readWindowSums(Path run) throws IOException {
    Map<Long, double[]> sums = new TreeMap<>();
    try (ParquetReader<Group> reader =
        new GroupReaderBuilder(run.resolve("scans.parquet"))
            .withCodecFactory(new ZstdCodecs())
            .build()) {
      for (Group row = reader.read(); row != null; row = reader.read()) {
        double[] sum =
            sums.computeIfAbsent(
                row.getLong("intended_us", 0) / 1_000_000 / WINDOW_S, window -> new double[2]);
        sum[0] += row.getDouble("benefit", 0);
        sum[1] += row.getDouble("earned", 0);
      }
    } catch (RuntimeException e) {
      throw new IOException(run + ": can't read scans.parquet: " + e.getMessage(), e);
    }
    return sums;
  }

  private static final class GroupReaderBuilder extends ParquetReader.Builder<Group> {
    GroupReaderBuilder(Path path) {
      super(new LocalInputFile(path), new PlainParquetConfiguration());
    }

    @Override
    protected ReadSupport<Group> getReadSupport() {
      return new GroupReadSupport();
    }
  }

  @Override
  public String toString() {
    return String.format(Locale.ROOT, "%+.3f (%+.3f to %+.3f): %s", difference, low, high, verdict);
  }
}
