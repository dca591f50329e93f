package tidebank.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;

/**
 * Profiles and targets that are wrong are refused by line and key; those that are committed are
 * read.
 */
class ProfileTest {
  private static final String GOOD =
      """
      seed = 5
      repeats = 2
      list_changes = 4
      [gatherers]
      sizes = [1, 2, 3, 4, 5]
      beside_shard_servers = 10
      [shard_servers]
      sizes = [10, 20, 30, 40, 50]
      beside_gatherers = 2
      """;

  private static Profile profile(String text) throws MalformedInputException {
    return Profile.read(Toml.read("p.toml", text));
  }

  private static void refused(String text, String... parts) {
    assertThatThrownBy(() -> profile(text))
        .isInstanceOf(MalformedInputException.class)
        .hasMessageContainingAll(parts);
  }

  @Test
  void eachSizeStandsOnceAndSmallOnesComeFirst() throws MalformedInputException {
    Profile profile = profile(GOOD);

    assertThat(profile.fixed()).isEqualTo(new Size(2, 10));
    assertThat(profile.sizes()).hasSize(9).doesNotHaveDuplicates().startsWith(new Size(1, 10));
    assertThat(profile.sizes()).endsWith(new Size(2, 50));
  }

  @Test
  void anUnknownKeyIsNamedWithItsLineAndTheOneThatWasMeant() {
    refused(GOOD.replace("repeats", "repaets"), "p.toml:2", "repaets", "repeats");
    refused(GOOD.replace("beside_gatherers", "beside_gaterers"), "p.toml:9", "beside_gatherers");
  }

  @Test
  void aLadderOfFewerThanFiveSizesIsRefused() {
    refused(GOOD.replace("[1, 2, 3, 4, 5]", "[1, 2, 3, 4]"), "p.toml:5", "at least 5");
    refused(GOOD.replace("sizes = [1, 2, 3, 4, 5]\n", ""), "gatherers.sizes", "at least 5");
  }

  @Test
  void aLadderHasToAscendInWholeNumbers() {
    refused(GOOD.replace("[1, 2, 3, 4, 5]", "[1, 2, 2, 4, 5]"), "p.toml:5", "ascending");
    refused(GOOD.replace("[1, 2, 3, 4, 5]", "[0, 1, 2, 4, 5]"), "p.toml:5", "ascending");
    refused(GOOD.replace("[1, 2, 3, 4, 5]", "[1, 2.5, 3, 4, 5]"), "p.toml:5", "whole numbers");
  }

  @Test
  void anOddNumberOfChangesIsRefused() {
    refused(GOOD.replace("list_changes = 4", "list_changes = 5"), "p.toml:3", "even");
  }

  @Test
  void allFaultsAreToldAtOnce() {
    refused(
        GOOD.replace("seed = 5", "seed = -5").replace("repeats = 2", "repeats = 0"),
        "p.toml:1",
        "p.toml:2");
  }

  @Test
  void theProfileAndTheTargetOfTheRepositoryAreRead() throws MalformedInputException {
    Profile profile = Profile.read(Path.of("..", "deploy", "scale", "small.toml"));
    Target target = Target.read(Path.of("..", "deploy", "scale", "target.toml"));

    assertThat(profile.gathererSizes()).hasSizeGreaterThanOrEqualTo(5);
    assertThat(profile.serverSizes()).hasSizeGreaterThanOrEqualTo(5);
    assertThat(target.fleet().size()).isEqualTo(new Size(890, 4900));
    assertThat(target.today()).isEqualTo(new Size(100, 200));
  }

  @Test
  void aTargetHasNoDefaults() {
    assertThatThrownBy(
            () -> Target.read(Toml.read("t.toml", "[today]\ngatherers = 1\nserver = 2\n")))
        .isInstanceOf(MalformedInputException.class)
        .hasMessageContainingAll(
            "today.shard_servers: is missing",
            "t.toml:3",
            "unknown key",
            "control.kb_per_s: is missing",
            "configuration.in_force_within_s: is missing");
  }
}
