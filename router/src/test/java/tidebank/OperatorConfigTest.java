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

/** Tests the operator's file: defaults, values, and faults with their key and line. */
class OperatorConfigTest {
  private static final Path SHIPPED = Path.of("../deploy/gatherer.toml");

  @TempDir Path folder;

  private OperatorConfig read(String text) throws Exception {
    return OperatorConfig.read(Files.writeString(folder.resolve("g.toml"), text));
  }

  /**
   * Guards against a shipped file with other values than the code's defaults, which it documents.
   */
  @Test
  void shippedFileHoldsTheDefaults() throws Exception {
    assertThat(OperatorConfig.read(SHIPPED)).isEqualTo(OperatorConfig.DEFAULT);
  }

  /** Guards against options that must be present in the file. */
  @Test
  void emptyFileGivesTheDefaults() throws Exception {
    assertThat(read("")).isEqualTo(OperatorConfig.DEFAULT);
  }

  /** Guards against options that are read but have no effect. */
  @Test
  void valuesReplaceTheDefaults() throws Exception {
    assertThat(read("[log]\nlevel = 'debug'\nform = 'json'\n[report]\ncounters_every_s = 5\n"))
        .isEqualTo(
            new OperatorConfig(
                new Log.Settings(Level.DEBUG, Log.Format.JSON, 50), 5_000_000, null, null));
  }

  /** Guards against misspelt keys that are ignored, and faults that hide the ones after them. */
  @Test
  void faultsAreReportedTogetherWithLineAndSuggestedKey() {
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

  /** Guards against a syntax error that is reported without its position. */
  @Test
  void invalidTomlIsReportedWithItsLine() {
    assertThatThrownBy(() -> read("[log]\nlevel = \n")).hasMessageContaining("g.toml:2: ");
  }

  /** Guards against a mistyped path that is treated as an empty file. */
  @Test
  void missingFileIsReported() {
    assertThatThrownBy(() -> OperatorConfig.read(folder.resolve("none.toml")))
        .hasMessageContaining("cannot be read");
  }
}
