package tidebank;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.event.Level;
import tidebank.config.MalformedInputException;
import tidebank.config.OperatorConfig;
import tidebank.logging.Log;

/** The operator's own file: its defaults, its values, and faults by key and line. */
class OperatorConfigTest {
  private static final Path SHIPPED = Path.of("../deploy/gatherer.toml");

  @TempDir Path folder;

  private OperatorConfig read(String text) throws Exception {
    return OperatorConfig.read(Files.writeString(folder.resolve("g.toml"), text));
  }

  @Test
  void theShippedFileHoldsTheDefaults() throws Exception {
    assertThat(OperatorConfig.read(SHIPPED)).isEqualTo(OperatorConfig.DEFAULT);
  }

  @Test
  void anEmptyFileLeavesTheDefaults() throws Exception {
    assertThat(read("")).isEqualTo(OperatorConfig.DEFAULT);
  }

  @Test
  void valuesReplaceTheDefaults() throws Exception {
    assertThat(read("[log]\nlevel = 'debug'\nform = 'json'\n[report]\ncounters_every_s = 5\n"))
        .isEqualTo(
            new OperatorConfig(
                new Log.Settings(Level.DEBUG, Log.Format.JSON, 50), 5_000_000, null, null));
  }

  @Test
  void eachFaultIsReportedWithItsLineAndAMisspeltKeyWithTheNearestOne() {
    String text =
        """
        [log]
        level = 'loud'
        lines_a_scond = 5

        [report]
        counters_every_s = 0
        [reprot]
        """;

    assertThatThrownBy(() -> read(text))
        .isInstanceOf(MalformedInputException.class)
        .hasMessageContaining(
            "g.toml:2: log.level: found \"loud\", wanted one of error, warn, info, debug")
        .hasMessageContaining(
            "g.toml:3: log.lines_a_scond: unknown key; did you mean \"lines_a_second\"?")
        .hasMessageContaining(
            "g.toml:6: report.counters_every_s: found 0, wanted a whole number from 1")
        .hasMessageContaining("g.toml:7: reprot: unknown key; did you mean \"report\"?");
  }

  @Test
  void textThatIsNoTomlIsReportedWithItsLine() {
    assertThatThrownBy(() -> read("[log]\nlevel = \n")).hasMessageContaining("g.toml:2: ");
  }

  @Test
  void aMissingFileIsReported() {
    assertThatThrownBy(() -> OperatorConfig.read(folder.resolve("none.toml")))
        .hasMessageContaining("cannot be read");
  }
}
