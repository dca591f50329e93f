package tidebank.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PipedInputStream;
import java.io.PipedOutputStream;
import java.util.ArrayList;
import java.util.List;
import org.jline.terminal.Size;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** A screen that follows what changes, on a terminal whose keys and output are the test's. */
@Timeout(30)
class WatchTest {
  private final ByteArrayOutputStream screen = new ByteArrayOutputStream();
  private final List<String> shown = new ArrayList<>();

  /** Shows one text after the other and then has q pressed; what came to the screen. */
  private String watched(String type, List<List<String>> texts) throws Exception {
    PipedOutputStream keys = new PipedOutputStream();
    try (PipedInputStream in = new PipedInputStream(keys);
        Terminal terminal =
            TerminalBuilder.builder()
                .system(false)
                .streams(in, screen)
                .type(type)
                .dumb(type.equals("dumb"))
                .build()) {
      terminal.setSize(new Size(20, 5));
      int code =
          Watch.over(
              terminal,
              () -> {
                List<String> text = texts.get(Math.min(shown.size(), texts.size() - 1));
                shown.add(text.get(0));
                if (shown.size() >= texts.size()) {
                  keys.write('q');
                  keys.flush();
                }
                return text;
              });
      assertThat(code).isZero();
    }
    return screen.toString();
  }

  @Test
  void eachChangeIsShownInPlaceCutToTheScreenUntilQIsPressed() throws Exception {
    String seen =
        watched(
            "ansi",
            List.of(
                List.of("owner g0", "x".repeat(30)), List.of("owner g1", "a", "b", "c", "d", "e")));
    assertThat(seen)
        .contains("owner g0")
        .contains("x".repeat(19))
        .doesNotContain("x".repeat(20))
        .contains("1")
        .doesNotContain("e\r");
    assertThat(shown).startsWith("owner g0", "owner g1");
  }

  @Test
  void whereThereIsNoTerminalOnlyWhatChangedIsPrintedAnew() throws Exception {
    String seen = watched("dumb", List.of(List.of("one"), List.of("one"), List.of("two")));
    // The key that was pressed is echoed by such a terminal itself, wherever it falls.
    assertThat(seen.replace("q", "").lines().map(String::strip).filter(line -> !line.isEmpty()))
        .containsExactly("one", "two");
  }
}
