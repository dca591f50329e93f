import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Appends what was sent, answered and run, one line each, with the time in ms since its creation. */
final class RunRecord {
  private final long startedAt = System.nanoTime();
  private final PrintWriter out;

  RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8, StandardOpenOption.CREATE, StandardOpenOption.APPEND));
  }

  /** Returns the time in milliseconds since the start. */
  double nowMs() {
    return (System.nanoTime() - startedAt) / 1e6;
  }

  synchronized void add(String who, String what) {
    out.printf(java.util.Locale.ROOT, "%10.1f %-10s %s%n", nowMs(), who, what);
    out.flush();
  }
}
