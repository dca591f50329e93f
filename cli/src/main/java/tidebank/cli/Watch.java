package tidebank.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import org.jline.terminal.Attributes;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.jline.utils.AttributedString;
import org.jline.utils.Display;
import org.jline.utils.NonBlockingReader;
import picocli.CommandLine;
import tidebank.errors.TidebankException;

/**
 * A screen that shows a command's output anew as it changes. Where there is no terminal, each
 * change is printed below the one before.
 */
final class Watch {
  private static final long EVERY_MS = 500;

  /** What is shown. */
  interface Source {
    List<String> lines() throws IOException;
  }

  private Watch() {}

  static int over(FleetCommands.Shown shown) throws IOException {
    try (Terminal terminal = TerminalBuilder.builder().system(true).dumb(true).build()) {
      return over(terminal, () -> lines(shown));
    }
  }

  /** What the command prints; a fault stands in its place, and the next look may do better. */
  private static List<String> lines(FleetCommands.Shown shown) throws IOException {
    CommandLine line = shown.line();
    PrintWriter before = line.getOut();
    StringWriter text = new StringWriter();
    line.setOut(new PrintWriter(text, true));
    try {
      shown.once();
    } catch (TidebankException fault) {
      return fault.details().toText().lines().toList();
    } finally {
      line.setOut(before);
    }
    return text.toString().lines().toList();
  }

  /** Until q, the end of the input, or Ctrl-C, which ends the process. */
  static int over(Terminal terminal, Source source) throws IOException {
    boolean dumb = terminal.getType().startsWith(Terminal.TYPE_DUMB);
    Attributes before = dumb ? null : terminal.enterRawMode();
    Display display = new Display(terminal, false);
    NonBlockingReader keys = terminal.reader();
    List<String> last = List.of();
    try {
      while (true) {
        List<String> now = source.lines();
        if (!now.equals(last)) {
          show(terminal, display, dumb, now);
          last = now;
        }
        int key = keys.read(EVERY_MS);
        if (key == 'q' || key == NonBlockingReader.EOF) {
          return Tidebank.DONE;
        }
      }
    } finally {
      if (before != null) {
        terminal.setAttributes(before);
      }
      terminal.writer().println();
      terminal.flush();
    }
  }

  private static void show(Terminal terminal, Display display, boolean dumb, List<String> lines) {
    if (dumb) {
      lines.forEach(terminal.writer()::println);
    } else {
      // As many as there is room for, each as wide as there is.
      int rows = Math.max(1, terminal.getHeight());
      int columns = Math.max(1, terminal.getWidth());
      display.resize(rows, columns);
      List<AttributedString> shown = new ArrayList<>();
      for (String line : lines.subList(0, Math.min(lines.size(), rows - 1))) {
        shown.add(new AttributedString(line.substring(0, Math.min(line.length(), columns - 1))));
      }
      display.update(shown, -1);
    }
    terminal.flush();
  }
}
