package tidebank.testbed.trace.read;

import de.siegmar.fastcsv.writer.CsvWriter;
import java.io.Closeable;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/**
 * The file of lines that are no good: where, why, and how they begin. It is made with its first
 * line.
 */
final class Rejects implements Closeable {
  private static final int TEXT_MOST = 200;
  private final Path path;
  private CsvWriter writer;

  Rejects(Path path) throws IOException {
    this.path = path;
    if (path != null) {
      Files.deleteIfExists(path);
    }
  }

  void add(Path file, long line, String cause, List<String> fields) throws IOException {
    if (path == null) {
      return;
    }
    if (writer == null) {
      writer = CsvWriter.builder().build(path);
      writer.writeRecord("file", "line", "cause", "text");
    }
    String text = String.join(",", fields);
    writer.writeRecord(
        file.getFileName().toString(),
        String.valueOf(line),
        cause,
        text.length() <= TEXT_MOST ? text : text.substring(0, TEXT_MOST) + "...");
  }

  @Override
  public void close() throws IOException {
    if (writer != null) {
      writer.close();
    }
  }
}
