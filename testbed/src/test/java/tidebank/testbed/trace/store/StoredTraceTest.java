package tidebank.testbed.trace.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.order.Item;

/**
 * A trace that an earlier build stored is read, checked and written to the same bytes. It was made
 * from the first 600 lines of an example, FILE: {@code bin/tidebank trace import FILE -o
 * small.parquet}.
 */
class StoredTraceTest {
  private static final Path STORED = Path.of("src/test/resources/fixtures/trace/small.parquet");
  private static final Path META = Path.of("src/test/resources/fixtures/trace/small.meta.json");
  private static final Path ROWS = Path.of("src/test/resources/fixtures/trace/small.rows.txt");

  @TempDir private Path folder;

  private static List<Item> items() throws Exception {
    List<Item> items = new ArrayList<>();
    try (TraceFile.Reader reader = new TraceFile.Reader(STORED)) {
      reader.forEachRemaining(items::add);
    }
    return items;
  }

  /** All fields in the order of the columns, apart from the code's names. */
  private static String line(Item item) {
    TraceRow row = item.row();
    return String.join(
        "\t",
        String.valueOf(row.timeUs()),
        row.tableType(),
        String.valueOf(row.depot()),
        String.valueOf(row.parts()),
        row.key(),
        String.valueOf(row.weight()),
        String.valueOf(row.workUs()),
        row.account(),
        String.valueOf(item.event()));
  }

  @Test
  void theDescriptionIsReadByItsNames() throws Exception {
    TraceMeta meta = TraceFile.meta(STORED);

    assertThat(meta.json()).isEqualTo(Files.readString(META));
    assertThat(TraceMeta.read(Files.readString(META))).isEqualTo(meta);
    assertThat(meta.schema()).isEqualTo(1);
    assertThat(meta.rows()).isEqualTo(items().size()).isGreaterThan(100);
  }

  @Test
  void everyRowIsReadAsItWasWritten() throws Exception {
    List<String> lines = items().stream().map(StoredTraceTest::line).toList();

    if ("write".equals(System.getProperty("tidebank.fixtures"))) {
      Files.write(ROWS, lines);
      Files.writeString(META, TraceFile.meta(STORED).json());
    }
    assertThat(lines).isEqualTo(Files.readAllLines(ROWS));
  }

  @Test
  void theTraceIsWrittenToTheBytesItWasReadFrom() throws Exception {
    Path written = folder.resolve("written.parquet");
    TraceMeta meta = TraceFile.meta(STORED);

    try (TraceFile.Writer writer = new TraceFile.Writer(written, meta)) {
      for (Item item : items()) {
        TraceRow row = item.row();
        writer.add(new Item(row.at(row.timeUs() + meta.originUs()), item.event()));
      }
      assertThat(writer.finish()).isEqualTo(meta);
    }

    assertThat(written).hasSameBinaryContentAs(STORED);
  }
}
