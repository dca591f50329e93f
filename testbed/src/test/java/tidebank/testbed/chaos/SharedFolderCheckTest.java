package tidebank.testbed.chaos;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tidebank.fleet.LeaseCodec;
import tidebank.fleet.RemovalList;
import tidebank.lease.TaskLease;

/** Removals that a list had named before, and ones that none had. */
class SharedFolderCheckTest {
  private static final String OLD = "captures/of-1/0.tbc";
  private static final String YOUNG = "captures/of-1/1.tbc";

  @TempDir Path folder;
  private SharedFolderCheck stored;

  @BeforeEach
  void litter() throws Exception {
    stored = new SharedFolderCheck(folder);
    stored.createFiles(1);
    Files.createDirectories(folder.resolve("removals"));
  }

  private TaskLease published(String... names) throws Exception {
    Files.write(
        folder.resolve("removals/removal-1-by-1.json"),
        LeaseCodec.write(new RemovalList(1, "", 1, List.of(names))));
    return new TaskLease("retention", 1, "g0", "x", 0, "g0", "", 1, 1, "removal-1-by-1.json");
  }

  @Test
  void whatAPublishedListNamesMayGo() throws Exception {
    TaskLease duty = published(OLD);
    assertThat(stored.findRemovedFiles()).isEmpty();
    Files.delete(folder.resolve(OLD));
    stored.checkRemovals(duty, stored.findRemovedFiles());
    assertThat(stored.countExpiredFilesLeft()).isZero();
    assertThat(stored.violations()).isEmpty();
  }

  @Test
  void whatGoesBeforeItsListIsPublishedIsFound() throws Exception {
    Files.delete(folder.resolve(OLD));
    Set<String> gone = stored.findRemovedFiles();
    stored.checkRemovals(new TaskLease("retention", 1, "g0", "x", 0, "g0", "", 0, 0, ""), gone);
    stored.checkRemovals(published(OLD), gone);
    assertThat(stored.violations())
        .containsExactly(OLD + " was removed, and no published list names it");
  }

  @Test
  void whatAListNamesThatIsNotTooOldIsFound() throws Exception {
    TaskLease duty = published(YOUNG);
    Files.delete(folder.resolve(YOUNG));
    stored.checkRemovals(duty, stored.findRemovedFiles());
    assertThat(stored.violations()).containsExactly(YOUNG + " was removed, and was not too old");
  }
}
