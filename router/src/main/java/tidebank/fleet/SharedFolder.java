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
 * The folder that all members share, with the members' counters, reports and removal lists. Files
 * are written atomically: a reader sees a whole file or none.
 */
final class SharedFolder {
  private static final Logger LOG = LoggerFactory.getLogger(SharedFolder.class);

  /** How many of the latest reports to retain, and how many of the latest removal lists. */
  private static final int FILES_RETAINED = 100;

  private static final String JSON_SUFFIX = ".json";
  private static final Pattern MEMBER_NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

  private final Path root;
  private final Path counters;
  private final Path reports;
  private final Path removals;

  /** Opens the folder and creates its missing parts. */
  SharedFolder(Path root) throws IOException {
    this.root = root;
    removals = Files.createDirectories(root.resolve("removals"));
    counters = Files.createDirectories(root.resolve("told"));
    reports = Files.createDirectories(root.resolve("reports"));
  }

  // ---- counters

  void writeCounters(String member, FleetReport.MemberCounters memberCounters) throws IOException {
    if (!MEMBER_NAME.matcher(member).matches()) {
      throw new MembershipException.InvalidName(member);
    }
    writeAtomically(counters.resolve(member + JSON_SUFFIX), LeaseCodec.write(memberCounters));
  }

  /**
   * Returns the last counters of each member. Files that cannot be read are skipped, and reports
   * list their members as silent.
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
   * Writes a report to a file and returns the file's name. The name contains the fencing token, so
   * that no other lease holder writes a file of this name. The report counts only once the
   * coordinator has published the name.
   */
  String write(FleetReport report) throws IOException {
    String name = "report-" + report.number() + "-by-" + report.fencingToken() + JSON_SUFFIX;
    writeAtomically(reports.resolve(name), LeaseCodec.write(report));
    return name;
  }

  /** Returns the report with a published name, or the empty report if the name is empty. */
  FleetReport readReport(String published) throws IOException {
    return published.isEmpty()
        ? FleetReport.NONE
        : LeaseCodec.read(Files.readAllBytes(reports.resolve(published)), FleetReport.class);
  }

  /**
   * Writes a removal list to a file and returns the file's name. The name contains the fencing
   * token, so that no other lease holder writes a file of this name. Nothing is removed before the
   * coordinator has published the name.
   */
  String write(RemovalList list) throws IOException {
    String name = "removal-" + list.number() + "-by-" + list.fencingToken() + JSON_SUFFIX;
    writeAtomically(removals.resolve(name), LeaseCodec.write(list));
    return name;
  }

  /** Returns the removal list with a published name, or the empty list if the name is empty. */
  RemovalList readRemovalList(String published) throws IOException {
    return published.isEmpty()
        ? RemovalList.NONE
        : LeaseCodec.read(Files.readAllBytes(removals.resolve(published)), RemovalList.class);
  }

  /**
   * Removes all reports with a number that is {@link #FILES_RETAINED} or more below that of the
   * published one, whether they were published or not. A late or repeated call does no harm,
   * because none of the removed names can be published any more.
   */
  void removeOldReports(FleetReport published) throws IOException {
    removeOldFiles(reports, published.number());
  }

  /** Removes old removal lists, as {@link #removeOldReports} removes old reports. */
  void removeOldRemovalLists(RemovalList published) throws IOException {
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

  /**
   * Returns the number in the name of a report or removal list, or {@link Long#MAX_VALUE} for any
   * other file.
   */
  private static long numberInName(Path file) {
    String[] parts = file.getFileName().toString().split("-", 0);
    return parts.length == 4 && parts[1].matches("\\d{1,18}")
        ? Long.parseLong(parts[1])
        : Long.MAX_VALUE;
  }

  // ---- retention

  /**
   * Scans the stored files. Ages are measured by the clock of the folder's file system, read from a
   * file written just now, and not by this process's clock: a wrong clock here must not remove
   * anything.
   *
   * @param publishedReport the name of the last report known to be published. It and all later
   *     reports are still needed, as is the newest file of each folder, which a member may still be
   *     writing.
   * @param maxFiles how many of the oldest files to return, because all of them may not fit in
   *     memory
   * @param callback called after every thousand files, because the scan of a large folder takes
   *     longer than a lease lasts
   */
  RemovalList.ScanResult scanFiles(
      String publishedReport, int maxFiles, StoredFileScan.ScanCallback callback)
      throws IOException {
    long nowUs = fileSystemTimeUs();
    long firstNeededNumber =
        publishedReport.isEmpty() ? 0 : numberInName(reports.resolve(publishedReport));
    StoredFileScan scan =
        new StoredFileScan(
            maxFiles,
            callback,
            file -> file.startsWith(reports) && numberInName(file) >= firstNeededNumber);
    for (String folder : RemovalList.FOLDERS) {
      if (Files.isDirectory(root.resolve(folder))) {
        Files.walkFileTree(root.resolve(folder), scan);
      }
    }
    return scan.result(root, nowUs);
  }

  private long fileSystemTimeUs() throws IOException {
    Path timestampFile = Files.createTempFile(root, "now", ".part");
    long nowUs = Files.getLastModifiedTime(timestampFile).to(TimeUnit.MICROSECONDS);
    Files.delete(timestampFile);
    return nowUs;
  }

  /**
   * Removes the files that a published list names and returns how many of them existed. A late or
   * repeated call does no harm. Names outside of the folders under retention are skipped.
   */
  int removeFiles(RemovalList published) throws IOException {
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
        && RemovalList.FOLDERS.contains(normalizedRoot.relativize(file).getName(0).toString());
  }

  private static void writeAtomically(Path file, byte[] bytes) throws IOException {
    Path temporary = file.resolveSibling(file.getFileName() + ".part");
    try (FileChannel channel =
        FileChannel.open(
            temporary,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
      channel.force(true);
    }
    Files.move(
        temporary, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
