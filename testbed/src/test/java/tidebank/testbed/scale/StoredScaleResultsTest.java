package tidebank.testbed.scale;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Results stored by an earlier version are read, and written again with the same bytes. */
class StoredScaleResultsTest {
  private static final Path STORED = Path.of("src/test/resources/fixtures/scale/small");

  @TempDir private Path folder;

  private void assertSameBytes(String file) throws Exception {
    assertThat(folder.resolve(file)).hasSameBinaryContentAs(STORED.resolve(file));
  }

  /** Guards against renamed components, which would leave values of stored runs unread. */
  @Test
  void storedRunIsRead() throws Exception {
    RunFacts run = new ScaleResults(STORED).run();

    assertThat(run)
        .isEqualTo(
            new RunFacts(
                "small.toml",
                39,
                3,
                100,
                new Size(8, 200),
                new Machine(
                    2, 25274589184L, 6108151808L, "Linux", "amd64", "17.0.15+6-Debian-1deb12u1")));
  }

  /** Guards against renamed or reordered names in the files, and against fits that differ. */
  @Test
  void storedResultsAreRewrittenWithSameBytes() throws Exception {
    ScaleResults stored = new ScaleResults(STORED);
    ScaleResults written = new ScaleResults(folder);

    try (PointsFile points = written.create(stored.run())) {
      points.add(stored.points());
    }
    written.fit();

    assertSameBytes("run.json");
    assertSameBytes("points.csv");
    assertSameBytes("fits.json");
    assertThat(written.fits()).isEqualTo(stored.fits()).hasSizeGreaterThan(10);
    assertThat(Files.readAllLines(STORED.resolve("points.csv")))
        .hasSize(1 + stored.points().size());
  }
}
