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
 * Visits all stored files and collects the oldest that may be removed, and the modification time of
 * the newest file in each folder.
 */
final class StoredFileScan extends SimpleFileVisitor<Path> {
  private static final int FILES_PER_CALLBACK = 1000;

  /** An action to perform during a long scan, such as renewing leases. */
  interface ScanCallback {
    void call() throws IOException;
  }

  private record ScannedFile(Path path, long bytes, long modifiedUs) {}

  private final int maxFiles;
  private final ScanCallback callback;
  private final Predicate<Path> needed;
  private final Map<Path, Long> newestByFolder = new HashMap<>();
  private final PriorityQueue<ScannedFile> oldest =
      new PriorityQueue<>(Comparator.comparingLong(ScannedFile::modifiedUs).reversed());
  private long totalBytes;
  private long fileCount;

  /**
   * Creates a scan that has visited no file yet.
   *
   * @param maxFiles how many of the oldest files to collect, because all of them may not fit in
   *     memory
   * @param callback called after every thousand files
   * @param needed returns whether a file must be kept
   */
  StoredFileScan(int maxFiles, ScanCallback callback, Predicate<Path> needed) {
    this.maxFiles = maxFiles;
    this.callback = callback;
    this.needed = needed;
  }

  @Override
  public FileVisitResult visitFile(Path file, BasicFileAttributes attributes) throws IOException {
    if (attributes.isRegularFile()) {
      add(file, attributes);
      if (++fileCount % FILES_PER_CALLBACK == 0) {
        callback.call();
      }
    }
    return FileVisitResult.CONTINUE;
  }

  private void add(Path file, BasicFileAttributes attributes) {
    long modifiedUs = attributes.lastModifiedTime().to(TimeUnit.MICROSECONDS);
    totalBytes += attributes.size();
    newestByFolder.merge(file.getParent(), modifiedUs, Math::max);
    if (!needed.test(file)) {
      oldest.add(new ScannedFile(file, attributes.size(), modifiedUs));
    }
    if (oldest.size() > maxFiles) {
      oldest.poll();
    }
  }

  @Override
  public FileVisitResult visitFileFailed(Path file, IOException exception) {
    // Most likely removed during the scan.
    return FileVisitResult.CONTINUE;
  }

  /**
   * Returns the result of the scan.
   *
   * @param root the folder that file names are relative to
   * @param nowUs the current time by the clock of the files' timestamps, in microseconds
   */
  RemovalList.ScanResult result(Path root, long nowUs) {
    List<RemovalList.StoredFile> files = new ArrayList<>();
    for (ScannedFile file : oldest) {
      boolean newest = file.modifiedUs() == newestByFolder.get(file.path().getParent());
      files.add(
          new RemovalList.StoredFile(
              root.relativize(file.path()).toString(),
              file.bytes(),
              nowUs - file.modifiedUs(),
              newest));
    }
    return new RemovalList.ScanResult(totalBytes, files);
  }
}
