package tidebank.fleet;

import java.io.IOException;
import java.nio.file.FileVisitResult;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/**
 * Goes through all stored files and remembers the oldest that may be removed, and when the newest
 * file of each folder was written.
 */
final class StoredFileScan extends SimpleFileVisitor<Path> {
  private static final int FILES_BETWEEN_PAUSES = 1000;

  /** What must not wait until a long scan is over. */
  interface Pause {
    void run() throws IOException;
  }

  private record StoredFile(Path path, long bytes, long modifiedUs) {}

  private final int maxFiles;
  private final Pause pause;
  private final Predicate<Path> needed;
  private final Map<Path, Long> newestByFolder = new HashMap<>();
  private final PriorityQueue<StoredFile> oldest =
      new PriorityQueue<>(Comparator.comparingLong(StoredFile::modifiedUs).reversed());
  private long totalBytes;
  private long fileCount;

  /**
   * Creates a scan of nothing yet.
   *
   * @param maxFiles how many of the oldest files to remember: there may be more than fit in memory
   * @param pause run after each thousand files
   * @param needed whether a file must not be removed
   */
  StoredFileScan(int maxFiles, Pause pause, Predicate<Path> needed) {
    this.maxFiles = maxFiles;
    this.pause = pause;
    this.needed = needed;
  }

  @Override
  public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) throws IOException {
    if (attributes.isRegularFile()) {
      add(file, attributes);
      if (++fileCount % FILES_BETWEEN_PAUSES == 0) {
        pause.run();
      }
    }
    return FileVisitResult.CONTINUE;
  }

  private void add(Path file, BasicFileAttributes attributes) {
    long modifiedUs = attributes.lastModifiedTime().to(TimeUnit.MICROSECONDS);
    totalBytes += attributes.size();
    newestByFolder.merge(file.getParent(), modifiedUs, Math::max);
    if (!needed.test(file)) {
      oldest.add(new StoredFile(file, attributes.size(), modifiedUs));
    }
    if (oldest.size() > maxFiles) {
      oldest.poll();
    }
  }

  @Override
  public FileVisitResult visitFileFailed(Path file, IOException removedMeanwhile) {
    return FileVisitResult.CONTINUE;
  }

  /**
   * Returns what was found.
   *
   * @param root the folder that names are relative to
   * @param nowUs the time by the clock that the files' times are of
   */
  Retention.Stock result(Path root, long nowUs) {
    List<Retention.Item> items = new ArrayList<>();
    for (StoredFile file : oldest) {
      boolean newest = file.modifiedUs() == newestByFolder.get(file.path().getParent());
      items.add(
          new Retention.Item(
              root.relativize(file.path()).toString(),
              file.bytes(),
              nowUs - file.modifiedUs(),
              newest));
    }
    return new Retention.Stock(totalBytes, items);
  }
}
