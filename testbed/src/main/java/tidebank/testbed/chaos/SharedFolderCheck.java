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
 * Checks what the retention task removes from the shared folder: no file that was not in a
 * published list before, and none that had not expired. Thread-safe: the script creates files, the
 * observer checks.
 */
final class SharedFolderCheck {
  private static final Duration EXPIRED_AGE = Duration.ofDays(60);
  private static final Duration KEPT_AGE = Duration.ofDays(2);
  private static final int FILE_BYTES = 100;

  private final Path folder;
  private final Set<String> expired = new HashSet<>();
  private final Set<String> kept = new HashSet<>();
  private final Set<String> namesInLists = new HashSet<>();
  private final Set<String> reported = new HashSet<>();
  private final List<String> violations = new ArrayList<>();
  private String lastList = "";
  private int batches;

  SharedFolderCheck(Path folder) {
    this.folder = folder;
  }

  /**
   * Creates files in the shared folder.
   *
   * @param count of expired files, and of as many that are not
   */
  synchronized void createFiles(int count) throws IOException {
    String batch = "captures/of-" + ++batches;
    Files.createDirectories(folder.resolve(batch));
    for (int i = 0; i < 2 * count; i++) {
      boolean isExpired = i < count;
      String name = batch + "/" + i + ".tbc";
      Path file = Files.write(folder.resolve(batch).resolve(i + ".part"), new byte[FILE_BYTES]);
      Duration age = isExpired ? EXPIRED_AGE : KEPT_AGE;
      Files.setLastModifiedTime(file, FileTime.from(Instant.now().minus(age)));
      // In place at once with its age: a list that is made now must not find it young, or half
      // there.
      Files.move(file, folder.resolve(name));
      (isExpired ? expired : kept).add(name);
    }
  }

  /** Returns the files that were removed so far. To be called before the state is read. */
  synchronized Set<String> findRemovedFiles() {
    Set<String> removed = new HashSet<>(expired);
    removed.addAll(kept);
    removed.removeIf(name -> Files.exists(folder.resolve(name)));
    return removed;
  }

  /**
   * Checks removals against the lists published so far.
   *
   * @param lease of the retention task, read after the removals were seen
   * @param removed as {@link #findRemovedFiles} returned them
   */
  synchronized void checkRemovals(TaskLease lease, Set<String> removed) {
    readNewLists(lease.value());
    for (String name : removed) {
      boolean allowed = namesInLists.contains(name) && !kept.contains(name);
      if (!allowed && reported.add(name)) {
        violations.add(
            name
                + " was removed, and "
                + (namesInLists.contains(name) ? "was not too old" : "no published list names it"));
      }
    }
  }

  private void readNewLists(String newest) {
    try {
      for (String name = newest; !name.equals(lastList) && !name.isEmpty(); ) {
        RemovalList list =
            LeaseCodec.read(
                Files.readAllBytes(folder.resolve("removals").resolve(name)), RemovalList.class);
        namesInLists.addAll(list.names());
        name = list.previous();
      }
    } catch (IOException fault) {
      violations.add(newest + " is published and can't be read: " + fault);
    }
    lastList = newest;
  }

  /** Returns how many expired files are still there. */
  synchronized long countExpiredFilesLeft() {
    return expired.stream().filter(name -> Files.exists(folder.resolve(name))).count();
  }

  synchronized List<String> violations() {
    return List.copyOf(violations);
  }
}
