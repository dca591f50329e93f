package tidebank.fleet;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;

/**
 * A list of stored files to remove because they are too old or exceed the total size limit. A
 * removal has two steps: the list is published with the task's fencing token, and only then are the
 * files on it removed. The member that made the list removes them or, if it died in between, the
 * next lease holder does before it makes its own list. File names are never reused: a member that
 * is paused after publishing its list later removes only files that had to be removed anyway. A
 * member that had its list rejected removes nothing.
 *
 * @param number the number of the list, 1 for the first
 * @param previous the file name of the list published before; empty in the first
 * @param fencingToken the fencing token that the member held the task's lease with
 * @param names the names of the files, relative to the shared folder
 */
public record RemovalList(long number, String previous, long fencingToken, List<String> names) {
  /** The empty list that precedes the first one. */
  public static final RemovalList NONE = new RemovalList(0, "", 0, List.of());

  /** The folders in the shared folder that retention applies to. */
  public static final Set<String> FOLDERS = Set.of("captures", "reports");

  /**
   * Limits on the stored files.
   *
   * @param maxAgeUs the maximum age of a file, in microseconds
   * @param maxTotalBytes the maximum total size of all files, in bytes
   */
  public record RetentionLimits(long maxAgeUs, long maxTotalBytes) {}

  /**
   * The result of a scan of the stored files.
   *
   * @param totalBytes the total size of all files, in bytes
   * @param oldest the oldest files, up to the requested number
   */
  public record ScanResult(long totalBytes, List<StoredFile> oldest) {}

  /**
   * A stored file.
   *
   * @param name its name relative to the shared folder
   * @param bytes its size, in bytes
   * @param ageUs the time since its last write, in microseconds
   * @param needed whether it must be kept
   */
  public record StoredFile(String name, long bytes, long ageUs, boolean needed) {}

  /**
   * Returns the list that follows this one.
   *
   * @param published the file name that this list was published under
   * @param nextFencingToken the fencing token that the next list is made with
   * @param maxNames the maximum number of names on the list; later lists take the others
   */
  public RemovalList next(
      String published,
      long nextFencingToken,
      ScanResult stored,
      RetentionLimits limits,
      int maxNames) {
    List<StoredFile> removable =
        new ArrayList<>(stored.oldest().stream().filter(file -> !file.needed()).toList());
    removable.sort(
        Comparator.comparingLong(StoredFile::ageUs).reversed().thenComparing(StoredFile::name));
    long remainingBytes = stored.totalBytes();
    List<String> listed = new ArrayList<>();
    for (StoredFile file : removable) {
      boolean tooOld = file.ageUs() > limits.maxAgeUs();
      boolean overBudget = remainingBytes > limits.maxTotalBytes();
      if (listed.size() < maxNames && (tooOld || overBudget)) {
        listed.add(file.name());
        remainingBytes -= file.bytes();
      }
    }
    return new RemovalList(number + 1, published, nextFencingToken, listed);
  }
}
