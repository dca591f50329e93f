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
 * The file of measured values, a line each; what was added is on disk when {@link #add} returns.
 */
public final class Points implements Closeable {
  private static final int DECIMALS = 4;
  private static final String[] HEADER = {
    "gatherers", "servers", "role", "quantity", "unit", "value", "repeat", "seed"
  };

  private final Writer file;
  private final CsvWriter rows;

  /** Begins a new file, in place of one that is there. */
  public Points(Path path) throws IOException {
    file = Files.newBufferedWriter(path);
    rows = CsvWriter.builder().lineDelimiter(LineDelimiter.LF).build(file);
    rows.writeRecord(HEADER);
    file.flush();
  }

  public void add(List<Point> points) throws IOException {
    for (Point point : points) {
      rows.writeRecord(
          String.valueOf(point.size().gatherers()),
          String.valueOf(point.size().servers()),
          point.quantity().role().name(),
          point.quantity().key(),
          point.quantity().unit(),
          text(point.value()),
          String.valueOf(point.repeat()),
          String.valueOf(point.seed()));
    }
    rows.flush();
  }

  private static String text(double value) {
    return BigDecimal.valueOf(value)
        .setScale(DECIMALS, RoundingMode.HALF_EVEN)
        .stripTrailingZeros()
        .toPlainString();
  }

  @Override
  public void close() throws IOException {
    rows.close();
  }

  /** All points of a file; one with a faulty line is no file of points. */
  public static List<Point> read(Path path) throws IOException {
    List<Point> points = new ArrayList<>();
    try (CsvReader<NamedCsvRecord> reader = CsvReader.builder().ofNamedCsvRecord(path)) {
      for (NamedCsvRecord line : reader) {
        try {
          points.add(point(line));
        } catch (RuntimeException fault) {
          throw new IOException(
              path + ":" + line.getStartingLineNumber() + ": " + fault.getMessage());
        }
      }
    }
    return points;
  }

  private static Point point(NamedCsvRecord line) {
    Size size =
        new Size(
            Integer.parseInt(line.getField("gatherers")),
            Integer.parseInt(line.getField("servers")));
    return new Point(
        size,
        Quantity.of(line.getField("role"), line.getField("quantity")),
        Double.parseDouble(line.getField("value")),
        Integer.parseInt(line.getField("repeat")),
        Long.parseLong(line.getField("seed")));
  }
}
