package tidebank.testbed.scale;

import de.siegmar.fastcsv.reader.CsvReader;
import de.siegmar.fastcsv.reader.NamedCsvRecord;
import de.siegmar.fastcsv.writer.CsvWriter;
import de.siegmar.fastcsv.writer.LineDelimiter;
import java.io.Closeable;
import java.io.IOException;
import java.io.Writer;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The CSV file of measured values, one value a line. Points are on disk when {@link #add} returns.
 */
public final class PointsFile implements Closeable {
  private static final int DECIMALS = 4;
  private static final String[] HEADER = {
    "gatherers", "servers", "role", "quantity", "unit", "value", "repeat", "seed"
  };

  private final Writer writer;
  private final CsvWriter csv;

  /** Creates the file and replaces an existing one. */
  public PointsFile(Path path) throws IOException {
    writer = Files.newBufferedWriter(path);
    csv = CsvWriter.builder().lineDelimiter(LineDelimiter.LF).build(writer);
    csv.writeRecord(HEADER);
    writer.flush();
  }

  /** Appends points and flushes them to the file. */
  public void add(List<Point> points) throws IOException {
    for (Point point : points) {
      csv.writeRecord(
          String.valueOf(point.size().gatherers()),
          String.valueOf(point.size().servers()),
          point.quantity().role().name(),
          point.quantity().key(),
          point.quantity().unit(),
          format(point.value()),
          String.valueOf(point.repeat()),
          String.valueOf(point.seed()));
    }
    csv.flush();
  }

  private static String format(double value) {
    return BigDecimal.valueOf(value)
        .setScale(DECIMALS, RoundingMode.HALF_EVEN)
        .stripTrailingZeros()
        .toPlainString();
  }

  @Override
  public void close() throws IOException {
    csv.close();
  }

  /**
   * Reads all points of a file.
   *
   * @throws IOException if the file cannot be read or a line is malformed; the message names the
   *     line
   */
  public static List<Point> read(Path path) throws IOException {
    List<Point> points = new ArrayList<>();
    try (CsvReader<NamedCsvRecord> reader = CsvReader.builder().ofNamedCsvRecord(path)) {
      for (NamedCsvRecord row : reader) {
        try {
          points.add(parse(row));
        } catch (RuntimeException e) {
          throw new IOException(path + ":" + row.getStartingLineNumber() + ": " + e.getMessage());
        }
      }
    }
    return points;
  }

  private static Point parse(NamedCsvRecord row) {
    Size size =
        new Size(
            Integer.parseInt(row.getField("gatherers")), Integer.parseInt(row.getField("servers")));
    return new Point(
        size,
        Quantity.of(row.getField("role"), row.getField("quantity")),
        Double.parseDouble(row.getField("value")),
        Integer.parseInt(row.getField("repeat")),
        Long.parseLong(row.getField("seed")));
  }
}
