package tidebank.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.MembershipException;

/**
 * The folder that all members share: members' counters, reports and removal lists. Every file is
 * there complete or not at all.
 */
final class SharedFolder {
  private static final Logger LOG = LoggerFactory.getLogger(SharedFolder.class);
  private static final int FILES_RETAINED = 100;
  private static final String JSON_SUFFIX = ".json";
  private static final Pattern MEMBER_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

  private final Path root;
  private final Path counters;
  private final Path reports;
  private final Path removals;

  /** Opens the folder, and creates what is missing of it. */
  SharedFolder(Path root) throws IOException {
    this.root = root;
    removals = Files.createDirectories(root.resolve("removals"));
    counters = Files.createDirectories(root.resolve("told"));
    reports = Files.createDirectories(root.resolve("reports"));
  }

  // ---- counters

  void writeCounters(String member, FleetReport.MemberCounters written) throws IOException {
    if (!MEMBER_NAME.matcher(member).matches()) {
      throw new MembershipException.InvalidName(member);
    }
    writeAtomically(counters.resolve(member + JSON_SUFFIX), LeaseCodec.write(written));
  }

  /**
   * Returns the last counters of each member. A file that cannot be read counts as none: the report
   * lists its member as silent.
   */
  Map<String, FleetReport.MemberCounters> readCounters() throws IOException {
    Map<String, FleetReport.MemberCounters> all = new TreeMap<>();
    try (Stream<Path> files = Files.list(counters)) {
      for (Path file : files.toList()) {
        String name = file.getFileName().toString();
        if (name.endsWith(JSON_SUFFIX)) {
          readCounters(file, name, all);
        }
      }
    }
    return all;
  }

  private static void readCounters(
      Path file, String name, Map<String, FleetReport.MemberCounters> all) {
    String member = name.substring(0, name.length() - JSON_SUFFIX.length());
    try {
      all.put(member, LeaseCodec.read(Files.readAllBytes(file), FleetReport.MemberCounters.class));
    } catch (IOException exception) {
      LOG.warn("could not read counters: file={}, error={}", name, exception.getMessage());
    }
  }

  // ---- reports and removal lists

  /**
   * Writes a report under a name that no other fencing token ever has, and returns that name. The
   * report counts only once the coordinator has published the name.
   */
  String write(FleetReport report) throws IOException {
    String name = "report-" + report.number() + "-by-" + report.fencingToken() + JSON_SUFFIX;
    writeAtomically(reports.resolve(name), LeaseCodec.write(report));
    return name;
  }

  /** Returns the report of a published name; the empty one if the name is empty. */
  FleetReport readReport(String published) throws IOException {
    return published.isEmpty()
        ? FleetReport.NONE
        : LeaseCodec.read(Files.readAllBytes(reports.resolve(published)), FleetReport.class);
  }

  /**
   * Writes a removal list under a name that no other fencing token ever has, and returns that name.
   * Nothing is removed before the coordinator has published the name.
   */
  String write(Retention list) throws IOException {
    String name = "removal-" + list.number() + "-by-" + list.fencingToken() + JSON_SUFFIX;
    writeAtomically(removals.resolve(name), LeaseCodec.write(list));
    return name;
  }

  /** Returns the removal list of a published name; the empty one if the name is empty. */
  Retention readRemovals(String published) throws IOException {
    return published.isEmpty()
        ? Retention.NONE
        : LeaseCodec.read(Files.readAllBytes(removals.resolve(published)), Retention.class);
  }

  /**
   * Removes reports long before the published one, and those beside it that were never published.
   * Late or repeated, it does no harm: no name that it removes can be published any more.
   */
  void removeOldReports(FleetReport published) throws IOException {
    removeOldFiles(reports, published.number());
  }

  /** Removes old removal lists, as {@link #removeOldReports} does reports. */
  void removeOldRemovalLists(Retention published) throws IOException {
    removeOldFiles(removals, published.number());
  }

  private static void removeOldFiles(Path folder, long publishedNumber) throws IOException {
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files.toList()) {
        if (numberInName(file) <= publishedNumber - FILES_RETAINED) {
          Files.deleteIfExists(file);
        }
      }
    }
  }

  /** Returns the number in the name of a report or removal list; of any other file the greatest. */
  private static long numberInName(Path file) {
    String[] words = file.getFileName().toString().split("-", 0);
    return words.length == 4 && words[1].matches("\\d{1,18}")
        ? Long.parseLong(words[1])
        : Long.MAX_VALUE;
  }

  // ---- retention

  /**
   * Returns what is stored. Ages are by the clock of the folder's own system, from a file written
   * just now, not by this process's: a wall clock that is wrong here removes nothing.
   *
   * @param report the report that was published when this was last looked at: it and all later ones
   *     are still needed, as is the newest file of each folder, which somebody may be writing
   * @param maxFiles how many of the oldest files to return: there may be more than fit in memory
   * @param pause run after each thousand files, as a scan of a large folder lasts longer than a
   *     lease
   */
  Retention.Stock scanStored(String report, int maxFiles, StoredFileScan.Pause pause)
      throws IOException {
    long nowUs = clockUs();
    long firstNeeded = report.isEmpty() ? 0 : numberInName(reports.resolve(report));
    StoredFileScan scan =
        new StoredFileScan(
            maxFiles, pause, file -> file.startsWith(reports) && numberInName(file) >= firstNeeded);
    for (String folder : Retention.FOLDERS) {
      if (Files.isDirectory(root.resolve(folder))) {
        Files.walkFileTree(root.resolve(folder), scan);
      }
    }
    return scan.result(root, nowUs);
  }

  private long clockUs() throws IOException {
    Path touched = Files.createTempFile(root, "now", ".part");
    long now = Files.getLastModifiedTime(touched).to(TimeUnit.MICROSECONDS);
    Files.delete(touched);
    return now;
  }

  /**
   * Removes the files that a published list names and returns how many there were; late or
   * repeated, it does no harm. Names that lead out of the folders under retention are skipped.
   */
  int remove(Retention published) throws IOException {
    int removed = 0;
    for (String name : published.names()) {
      Path file = root.resolve(name).normalize();
      if (!isUnderRetention(file)) {
        LOG.warn("skipped removal outside of the folders under retention: file={}", name);
      } else if (Files.deleteIfExists(file)) {
        removed++;
      }
    }
    return removed;
  }

  private boolean isUnderRetention(Path file) {
    Path normalizedRoot = root.normalize();
    return file.startsWith(normalizedRoot)
        && file.getNameCount() > normalizedRoot.getNameCount() + 1
        && Retention.FOLDERS.contains(normalizedRoot.relativize(file).getName(0).toString());
  }

  private static void writeAtomically(Path file, byte[] bytes) throws IOException {
    Path partial = file.resolveSibling(file.getFileName() + ".part");
    try (FileChannel channel =
        FileChannel.open(
            partial,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
      channel.force(true);
    }
    Files.move(partial, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
