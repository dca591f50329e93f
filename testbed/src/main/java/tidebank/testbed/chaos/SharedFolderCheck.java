package tidebank.testbed.chaos;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import tidebank.fleet.LeaseCodec;
import tidebank.fleet.RemovalList;
import tidebank.lease.TaskLease;

/**
 * A check of the files that the retention task removes from the shared folder: each of them must be
 * in a removal list that was published before, and must have expired. Thread-safe: the script
 * creates the files, the observer checks the removals.
 */
final class SharedFolderCheck {
  private static final Duration EXPIRED_AGE = Duration.ofDays(60);
  private static final Duration UNEXPIRED_AGE = Duration.ofDays(2);
  private static final int FILE_BYTES = 100;

  private final Path folder;
  private final Set<String> expired = new HashSet<>();
  private final Set<String> unexpired = new HashSet<>();
  private final Set<String> listedNames = new HashSet<>();
  private final Set<String> reportedNames = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private String lastListName = "";
  private int batchCount;

  SharedFolderCheck(Path folder) {
    this.folder = folder;
  }

  /**
   * Creates expired and unexpired files in the shared folder.
   *
   * @param count number of expired files; the same number of unexpired files is created
   */
  synchronized void createFiles(int count) throws IOException {
    String batchFolder = "captures/of-" + ++batchCount;
    Files.createDirectories(folder.resolve(batchFolder));
    for (int i = 0; i < 2 * count; i++) {
      boolean isExpired = i < count;
      String name = batchFolder + "/" + i + ".tbc";
      Path file =
          Files.write(folder.resolve(batchFolder).resolve(i + ".part"), new byte[FILE_BYTES]);
      Duration age = isExpired ? EXPIRED_AGE : UNEXPIRED_AGE;
      Files.setLastModifiedTime(file, FileTime.from(Instant.now().minus(age)));
      // Renamed only after its age is set, so that a concurrent scan of the folder never sees it as
      // new or incomplete.
      Files.move(file, folder.resolve(name));
      (isExpired ? expired : unexpired).add(name);
    }
  }

  /**
   * Returns the names of all files that were removed so far. Must be called before the state is
   * read: the lists published in that state then cover every permitted removal.
   */
  synchronized Set<String> findRemovedFiles() {
    Set<String> removed = new HashSet<>(expired);
    removed.addAll(unexpired);
    removed.removeIf(name -> Files.exists(folder.resolve(name)));
    return removed;
  }

  /**
   * Checks removals against the removal lists published so far.
   *
   * @param lease lease of the retention task, read after {@code removed} was determined
   * @param removed names of the removed files, from {@link #findRemovedFiles}
   */
  synchronized void checkRemovals(TaskLease lease, Set<String> removed) {
    readNewLists(lease.value());
    for (String name : removed) {
      boolean allowed = listedNames.contains(name) && !unexpired.contains(name);
      if (!allowed && reportedNames.add(name)) {
        violations.add(
            name
                + " was removed, but "
                + (listedNames.contains(name)
                    ? "had not expired"
                    : "is in no published removal list"));
      }
    }
  }

  /** Reads the published lists from the newest one back to the last one that was read. */
  private void readNewLists(String newest) {
    try {
      for (String name = newest; !name.equals(lastListName) && !name.isEmpty(); ) {
        RemovalList list =
            LeaseCodec.read(
                Files.readAllBytes(folder.resolve("removals").resolve(name)), RemovalList.class);
        listedNames.addAll(list.names());
        name = list.previous();
      }
    } catch (IOException fault) {
      violations.add(newest + " is published, but can't be read: " + fault);
    }
    lastListName = newest;
  }

  /** Returns how many expired files have not been removed yet. */
  synchronized long countExpiredFilesLeft() {
    return expired.stream().filter(name -> Files.exists(folder.resolve(name))).count();
  }

  /** Returns the violations found so far. */
  synchronized List<String> violations() {
    return List.copyOf(violations);
  }
}
