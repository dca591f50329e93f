package tidebank.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;

/** The committed capacity page, fits and points of the small profile agree with each other. */
class CapacityPageTest {
  private static final Path ROOT = Path.of("..");
  private static final Path PAGE = ROOT.resolve("docs/CAPACITY.md");
  private static final ScaleResults RESULTS =
      new ScaleResults(ROOT.resolve("deploy/scale/results/small"));

  private static String render(String page) throws IOException {
    Target target = Target.read(ROOT.resolve("deploy/scale/target.toml"));
    return CapacityPage.render(page, RESULTS.run(), RESULTS.fits(), target);
  }

  /**
   * Guards against a page that was not written again after a run or after a change of its tables.
   */
  @Test
  void committedPageMatchesCommittedFits() throws IOException {
    String page = Files.readString(PAGE);

    assertThat(render(page)).isEqualTo(page);
  }

  /**
   * Guards against a page check that passes because rendering keeps figures already in the page.
   */
  @Test
  void changedFigureInPageIsReplaced() throws IOException {
    String page = Files.readString(PAGE);
    String changed =
        page.replaceFirst("bytes \\| [0-9.]+ a shard server", "bytes | 1 a shard server");

    assertThat(changed).isNotEqualTo(page);
    assertThat(render(changed)).isEqualTo(page);
  }

  /** Guards against fits that were not computed again after the points or the method changed. */
  @Test
  void committedFitsMatchCommittedPoints() throws IOException {
    assertThat(Fits.of(RESULTS.run(), RESULTS.points())).isEqualTo(RESULTS.fits());
  }

  /** Guards against results of an interrupted run, or of an earlier version of the profile. */
  @Test
  void committedPointsAreACompleteRunOfTheProfile() throws IOException {
    Profile profile = Profile.read(ROOT.resolve("deploy/scale/small.toml"));

    assertThat(RESULTS.points())
        .hasSize(profile.sizes().size() * profile.repeats() * Quantity.values().length);
    assertThat(RESULTS.run().seed()).isEqualTo(profile.seed());
    assertThat(RESULTS.run().fixed()).isEqualTo(profile.fixedSize());
    assertThat(RESULTS.run().listChanges()).isEqualTo(profile.listChanges());
  }

  /** Guards against a table that is left out or written to the wrong place by a damaged page. */
  @Test
  void missingOrDuplicateMarkerIsNamed() throws IOException {
    String page = Files.readString(PAGE);
    String begin = "<!-- scale:begin gatherer -->\n";

    assertThatThrownBy(() -> render(page.replace(begin, "")))
        .isInstanceOf(IOException.class)
        .hasMessageContainingAll("missing", "scale:begin gatherer");
    assertThatThrownBy(() -> render(page + begin))
        .isInstanceOf(IOException.class)
        .hasMessageContainingAll("more than once", "scale:begin gatherer");
  }
}
