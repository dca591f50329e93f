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

/** Checks permitted and forbidden removals of files from the shared folder. */
class SharedFolderCheckTest {
  private static final String EXPIRED = "captures/of-1/0.tbc";
  private static final String UNEXPIRED = "captures/of-1/1.tbc";

  @TempDir Path folder;
  private SharedFolderCheck folderCheck;

  @BeforeEach
  void createFiles() throws Exception {
    folderCheck = new SharedFolderCheck(folder);
    folderCheck.createFiles(1);
    Files.createDirectories(folder.resolve("removals"));
  }

  private TaskLease publishList(String... names) throws Exception {
    Files.write(
        folder.resolve("removals/removal-1-by-1.json"),
        LeaseCodec.write(new RemovalList(1, "", 1, List.of(names))));
    return new TaskLease("retention", 1, "g0", "x", 0, "g0", "", 1, 1, "removal-1-by-1.json");
  }

  /** Guards against violations reported for permitted removals. */
  @Test
  void removalOfListedExpiredFileIsAllowed() throws Exception {
    TaskLease lease = publishList(EXPIRED);
    assertThat(folderCheck.findRemovedFiles()).isEmpty();
    Files.delete(folder.resolve(EXPIRED));
    folderCheck.checkRemovals(lease, folderCheck.findRemovedFiles());
    assertThat(folderCheck.countExpiredFilesLeft()).isZero();
    assertThat(folderCheck.violations()).isEmpty();
  }

  /** Guards against an undetected removal that a list names only afterwards. */
  @Test
  void removalBeforeListIsPublishedIsFound() throws Exception {
    Files.delete(folder.resolve(EXPIRED));
    Set<String> removed = folderCheck.findRemovedFiles();
    folderCheck.checkRemovals(
        new TaskLease("retention", 1, "g0", "x", 0, "g0", "", 0, 0, ""), removed);
    folderCheck.checkRemovals(publishList(EXPIRED), removed);
    assertThat(folderCheck.violations())
        .containsExactly(EXPIRED + " was removed, but is in no published removal list");
  }

  /**
   * Guards against an undetected removal of a file that had not expired but was in a published
   * list.
   */
  @Test
  void removalOfListedUnexpiredFileIsFound() throws Exception {
    TaskLease lease = publishList(UNEXPIRED);
    Files.delete(folder.resolve(UNEXPIRED));
    folderCheck.checkRemovals(lease, folderCheck.findRemovedFiles());
    assertThat(folderCheck.violations())
        .containsExactly(UNEXPIRED + " was removed, but had not expired");
  }
}
