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

/** The operator's own file: read whole, every fault named by key and line. */
class OperatorConfigTest {
  @TempDir Path folder;

  private OperatorConfig read(String text) throws Exception {
    return OperatorConfig.read(Files.writeString(folder.resolve("g.toml"), text));
  }

  @Test
  void theShippedFileSaysTheDefaults() throws Exception {
    assertThat(OperatorConfig.read(Path.of("../deploy/gatherer.toml")))
        .isEqualTo(OperatorConfig.DEFAULT);
    assertThat(read("")).isEqualTo(OperatorConfig.DEFAULT);
  }

  @Test
  void valuesAreTakenOver() throws Exception {
    assertThat(read("[log]\nlevel = 'debug'\nform = 'json'\n[report]\ncounters_every_s = 5\n"))
        .isEqualTo(
            new OperatorConfig(
                new Log.Settings(Level.DEBUG, Log.Format.JSON, 50), 5_000_000, null, null));
  }

  @Test
  void everyFaultIsNamedWithItsLineAndASlipWithTheKeyThatWasMeant() {
    assertThatThrownBy(
            () ->
                read(
                    "[log]\n"
                        + "level = 'loud'\n"
                        + "lines_a_scond = 5\n\n"
                        + "[report]\n"
                        + "counters_every_s = 0\n"
                        + "[reprot]\n"))
        .isInstanceOf(MalformedInputException.class)
        .hasMessageContaining(
            "g.toml:2: log.level: found \"loud\", wanted one of error, warn, info, debug")
        .hasMessageContaining(
            "g.toml:3: log.lines_a_scond: unknown key; did you mean \"lines_a_second\"?")
        .hasMessageContaining(
            "g.toml:6: report.counters_every_s: found 0, wanted a whole number from 1")
        .hasMessageContaining("g.toml:7: reprot: unknown key; did you mean \"report\"?");
    assertThatThrownBy(() -> read("[log]\nlevel = \n")).hasMessageContaining("g.toml:2: ");
    assertThatThrownBy(() -> OperatorConfig.read(folder.resolve("none.toml")))
        .hasMessageContaining("cannot be read");
  }
}
