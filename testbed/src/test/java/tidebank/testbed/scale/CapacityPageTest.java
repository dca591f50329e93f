package tidebank.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The committed page, lines and points say the same. */
class CapacityPageTest {
  private static final Path ROOT = Path.of("..");
  private static final Path PAGE = ROOT.resolve("docs/CAPACITY.md");
  private static final ScaleFolder RESULTS =
      new ScaleFolder(ROOT.resolve("deploy/scale/results/small"));

  private static String rendered(String page) throws IOException {
    Target target = Target.read(ROOT.resolve("deploy/scale/target.toml"));
    return CapacityPage.with(page, RESULTS.run(), RESULTS.fits(), target);
  }

  @Test
  void thePageShowsTheCommittedLines() throws IOException {
    String page = Files.readString(PAGE);

    assertThat(rendered(page)).isEqualTo(page);
  }

  @Test
  void aPageWithAnotherFigureDiffers() throws IOException {
    String page = Files.readString(PAGE);
    String other =
        page.replaceFirst("bytes \\| [0-9.]+ a shard server", "bytes | 1 a shard server");

    assertThat(other).isNotEqualTo(page);
    assertThat(rendered(other)).isEqualTo(page);
  }

  @Test
  void theCommittedLinesAreThoseOfTheCommittedPoints() throws IOException {
    assertThat(Fits.of(RESULTS.run(), RESULTS.points())).isEqualTo(RESULTS.fits());
  }

  @Test
  void theCommittedPointsAreAWholeRunOfTheProfile() throws IOException {
    Profile profile = Profile.read(ROOT.resolve("deploy/scale/small.toml"));

    assertThat(RESULTS.points())
        .hasSize(profile.sizes().size() * profile.repeats() * Quantity.values().length);
    assertThat(RESULTS.run().seed()).isEqualTo(profile.seed());
    assertThat(RESULTS.run().fixed()).isEqualTo(profile.fixed());
    assertThat(RESULTS.run().listChanges()).isEqualTo(profile.listChanges());
  }

  @Test
  void missingAndDoubledMarkersAreNamed() throws IOException {
    String page = Files.readString(PAGE);
    String begin = "<!-- scale:begin gatherer -->\n";

    assertThatThrownBy(() -> rendered(page.replace(begin, "")))
        .isInstanceOf(IOException.class)
        .hasMessageContainingAll("missing", "scale:begin gatherer");
    assertThatThrownBy(() -> rendered(page + begin))
        .isInstanceOf(IOException.class)
        .hasMessageContainingAll("more than once", "scale:begin gatherer");
  }
}
