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
 * Two runs side by side. How much of a difference may be noise is found by drawing stretches of ten
 * seconds again and again, the same ones of both runs where they played the same time.
 *
 * @param rows figures of both
 * @param difference second less first, of the service of the whole run
 * @param low 2.5% of the resampled differences lie below
 * @param high 2.5% lie above
 */
public record Comparison(
    List<Row> rows, double difference, double low, double high, String verdict) {
  /** One figure of both. */
  public record Row(String name, double first, double second) {}

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final int STRETCH_S = 10;
  private static final int DRAWS = 2000;
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

  public static Comparison of(Path first, Path second) throws IOException {
    JsonNode one = report(first);
    JsonNode other = report(second);
    List<Row> rows = new ArrayList<>();
    for (String figure : FIGURES) {
      rows.add(new Row(figure, one.path(figure).asDouble(), other.path(figure).asDouble()));
    }
    one.path("by_table_type")
        .fields()
        .forEachRemaining(
            type ->
                rows.add(
                    new Row(
                        "service of " + type.getKey(),
                        type.getValue().asDouble(),
                        other.path("by_table_type").path(type.getKey()).asDouble(Double.NaN))));
    for (String quantile : List.of("p50", "p99", "p99.9")) {
      rows.add(
          new Row(
              "answer " + quantile + ", ms",
              one.path("latency_ms").path(quantile).asDouble(),
              other.path("latency_ms").path(quantile).asDouble()));
    }
    Map<Long, double[]> a = stretches(first);
    Map<Long, double[]> b = stretches(second);
    List<Long> both = a.keySet().stream().filter(b::containsKey).toList();
    double difference = service(b, both, null) - service(a, both, null);
    double[] draws = new double[DRAWS];
    SplittableRandom chance = new SplittableRandom(1);
    for (int i = 0; i < DRAWS && !both.isEmpty(); i++) {
      int[] picked = new int[both.size()];
      for (int j = 0; j < picked.length; j++) {
        picked[j] = chance.nextInt(both.size());
      }
      draws[i] = service(b, both, picked) - service(a, both, picked);
    }
    Arrays.sort(draws);
    double low = draws[(int) (0.025 * DRAWS)];
    double high = draws[(int) (0.975 * DRAWS)];
    String verdict =
        both.size() < 3
            ? "too few stretches to tell"
            : low <= 0 && high >= 0
                ? "no difference seen"
                : difference > 0 ? "the second is better" : "the first is better";
    return new Comparison(rows, difference, low, high, verdict);
  }

  private static JsonNode report(Path run) throws IOException {
    Path file = run.resolve("report.json");
    if (!Files.isRegularFile(file)) {
      throw new IOException(run + ": no folder of a run: it has no report.json");
    }
    return JSON.readTree(file.toFile());
  }

  private static double service(Map<Long, double[]> stretches, List<Long> both, int[] picked) {
    double asked = 0;
    double earned = 0;
    for (int i = 0; i < both.size(); i++) {
      double[] sums = stretches.get(both.get(picked == null ? i : picked[i]));
      asked += sums[0];
      earned += sums[1];
    }
    return asked == 0 ? 0 : earned / asked;
  }

  private static Map<Long, double[]> stretches(Path run) throws IOException {
    Map<Long, double[]> sums = new TreeMap<>();
    try (ParquetReader<Group> reader =
        new Groups(run.resolve("scans.parquet")).withCodecFactory(new ZstdCodecs()).build()) {
      for (Group row = reader.read(); row != null; row = reader.read()) {
        double[] sum =
            sums.computeIfAbsent(
                row.getLong("intended_us", 0) / 1_000_000 / STRETCH_S, s -> new double[2]);
        sum[0] += row.getDouble("benefit", 0);
        sum[1] += row.getDouble("earned", 0);
      }
    } catch (RuntimeException fault) {
      throw new IOException(run + ": its scans can't be read: " + fault.getMessage(), fault);
    }
    return sums;
  }

  private static final class Groups extends ParquetReader.Builder<Group> {
    Groups(Path path) {
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
