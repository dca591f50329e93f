package tidebank.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;

/**
 * Invalid profiles and targets are rejected with the line and key of each fault, and the committed
 * ones are valid.
 */
class ProfileTest {
  private static final String VALID =
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

  private static void assertRejected(String text, String... messageParts) {
    assertThatThrownBy(() -> profile(text))
        .isInstanceOf(MalformedInputException.class)
        .hasMessageContainingAll(messageParts);
  }

  /** Guards against measuring the size with both fixed counts twice, as it is in both lists. */
  @Test
  void sizesAreDistinctAndAscending() throws MalformedInputException {
    Profile profile = profile(VALID);

    assertThat(profile.fixedSize()).isEqualTo(new Size(2, 10));
    assertThat(profile.sizes()).hasSize(9).doesNotHaveDuplicates().startsWith(new Size(1, 10));
    assertThat(profile.sizes()).endsWith(new Size(2, 50));
  }

  /** Guards against a misspelled key that is ignored, so that its default is used. */
  @Test
  void unknownKeyIsNamedWithLineAndSimilarKey() {
    assertRejected(VALID.replace("repeats", "repaets"), "p.toml:2", "repaets", "repeats");
    assertRejected(
        VALID.replace("beside_gatherers", "beside_gaterers"), "p.toml:9", "beside_gatherers");
  }

  /** Guards against fits through too few sizes to show whether growth is linear. */
  @Test
  void fewerThanFiveSizesAreRejected() {
    assertRejected(VALID.replace("[1, 2, 3, 4, 5]", "[1, 2, 3, 4]"), "p.toml:5", "at least 5");
    assertRejected(VALID.replace("sizes = [1, 2, 3, 4, 5]\n", ""), "gatherers.sizes", "at least 5");
  }

  /** Guards against sizes that are duplicate, zero or fractional. */
  @Test
  void sizesThatAreNotAscendingWholeNumbersAreRejected() {
    assertRejected(VALID.replace("[1, 2, 3, 4, 5]", "[1, 2, 2, 4, 5]"), "p.toml:5", "ascending");
    assertRejected(VALID.replace("[1, 2, 3, 4, 5]", "[0, 1, 2, 4, 5]"), "p.toml:5", "ascending");
    assertRejected(
        VALID.replace("[1, 2, 3, 4, 5]", "[1, 2.5, 3, 4, 5]"), "p.toml:5", "whole numbers");
  }

  /** Guards against a measurement that ends with a draining server. */
  @Test
  void oddNumberOfListChangesIsRejected() {
    assertRejected(VALID.replace("list_changes = 4", "list_changes = 5"), "p.toml:3", "even");
  }

  /** Guards against a parser that stops at the first of several faults. */
  @Test
  void allFaultsAreReportedTogether() {
    assertRejected(
        VALID.replace("seed = 5", "seed = -5").replace("repeats = 2", "repeats = 0"),
        "p.toml:1",
        "p.toml:2");
  }

  /** Guards against committed files that no longer match the keys that the code reads. */
  @Test
  void committedProfileAndTargetAreValid() throws MalformedInputException {
    Profile profile = Profile.read(Path.of("..", "deploy", "scale", "small.toml"));
    Target target = Target.read(Path.of("..", "deploy", "scale", "target.toml"));

    assertThat(profile.routerCounts()).hasSizeGreaterThanOrEqualTo(5);
    assertThat(profile.serverCounts()).hasSizeGreaterThanOrEqualTo(5);
    assertThat(target.fleet().size()).isEqualTo(new Size(890, 4900));
    assertThat(target.today()).isEqualTo(new Size(100, 200));
  }

  /** Guards against a default in place of a figure that the operators did not state. */
  @Test
  void missingKeysOfTargetAreReported() {
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
