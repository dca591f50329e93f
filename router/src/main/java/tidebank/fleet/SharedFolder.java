package tidebank.fleet;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.FileVisitResult;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.SimpleFileVisitor;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.errors.TidebankException;

/**
 * The folder that all members share: what each has counted, and the reports. Every file is there
 * whole or not at all.
 */
final class SharedFolder {
  private static final Logger LOG = LoggerFactory.getLogger(SharedFolder.class);
  private static final int REPORTS_KEPT = 100;
  private static final int BETWEEN = 1000;
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

  /** What is not to wait until a long look is over. */
  interface Between {
    void run() throws IOException;
  }

  private final Path folder;
  private final Path told;
  private final Path reports;
  private final Path removals;

  SharedFolder(Path folder) throws IOException {
    this.folder = folder;
    removals = Files.createDirectories(folder.resolve("removals"));
    told = Files.createDirectories(folder.resolve("told"));
    reports = Files.createDirectories(folder.resolve("reports"));
  }

  void tell(String name, FleetReport.MemberCounters now) throws IOException {
    if (!NAME.matcher(name).matches()) {
      throw new TidebankException.InvalidName(name);
    }
    put(told.resolve(name + ".json"), LeaseCodec.write(now));
  }

  /**
   * What members told last. A file that can't be read counts as none: its member is named as
   * missing.
   */
  Map<String, FleetReport.MemberCounters> told() throws IOException {
    Map<String, FleetReport.MemberCounters> all = new TreeMap<>();
    try (Stream<Path> files = Files.list(told)) {
      for (Path file :
          files.filter(one -> one.getFileName().toString().endsWith(".json")).toList()) {
        String name = file.getFileName().toString();
        try {
          all.put(
              name.substring(0, name.length() - 5),
              LeaseCodec.read(Files.readAllBytes(file), FleetReport.MemberCounters.class));
        } catch (IOException fault) {
          LOG.warn("what " + name + " holds can't be read: " + fault.getMessage());
        }
      }
    }
    return all;
  }

  /**
   * A report under a name that no other token ever has; it counts only once the stewards have
   * published that name.
   */
  String write(FleetReport report) throws IOException {
    String name = "report-" + report.number() + "-by-" + report.fencingToken() + ".json";
    put(reports.resolve(name), LeaseCodec.write(report));
    return name;
  }

  FleetReport read(String published) throws IOException {
    return published.isEmpty()
        ? FleetReport.NONE
        : LeaseCodec.read(Files.readAllBytes(reports.resolve(published)), FleetReport.class);
  }

  /**
   * Removes reports long before the published one, and those beside it that never were. Late or
   * twice, it does no harm: no name that it removes can be published any more.
   */
  void tidy(FleetReport published) throws IOException {
    tidy(reports, published.number());
  }

  void tidy(Retention published) throws IOException {
    tidy(removals, published.number());
  }

  private static void tidy(Path lists, long published) throws IOException {
    try (Stream<Path> files = Files.list(lists)) {
      for (Path file : files.toList()) {
        if (number(file) <= published - REPORTS_KEPT) {
          Files.deleteIfExists(file);
        }
      }
    }
  }

  /** The number in the name of a report or a list of removals; of any other file the greatest. */
  private static long number(Path file) {
    String[] words = file.getFileName().toString().split("-");
    return words.length == 4 && words[1].matches("\\d{1,18}")
        ? Long.parseLong(words[1])
        : Long.MAX_VALUE;
  }

  /**
   * A list under a name that no other token ever has; nothing is removed before the stewards have
   * published that name.
   */
  String write(Retention list) throws IOException {
    String name = "removal-" + list.number() + "-by-" + list.fencingToken() + ".json";
    put(removals.resolve(name), LeaseCodec.write(list));
    return name;
  }

  Retention removal(String published) throws IOException {
    return published.isEmpty()
        ? Retention.NONE
        : LeaseCodec.read(Files.readAllBytes(removals.resolve(published)), Retention.class);
  }

  /**
   * What is stored. Ages are told by the clock of the folder's own system, by a file written just
   * now, not by this process's: a wall clock that is wrong here removes nothing.
   *
   * @param report the report that was published when this was last looked at: it and all later ones
   *     are still needed, as is the newest file of each folder, which somebody may be writing
   * @param most files that are told of, the oldest: what is stored may be more than fits this
   *     process
   * @param between run after each thousand files, as a look through a large folder lasts longer
   *     than a lease
   */
  Retention.Stock stock(String report, int most, Between between) throws IOException {
    Path touched = Files.createTempFile(folder, "now", ".part");
    long now = Files.getLastModifiedTime(touched).to(TimeUnit.MICROSECONDS);
    Files.delete(touched);
    long needed = report.isEmpty() ? 0 : number(reports.resolve(report));
    Look look = new Look(most, between, file -> file.startsWith(reports) && number(file) >= needed);
    for (String kept : Retention.FOLDERS) {
      if (Files.isDirectory(folder.resolve(kept))) {
        Files.walkFileTree(folder.resolve(kept), look);
      }
    }
    List<Retention.Item> items = new ArrayList<>();
    for (Seen file : look.oldest) {
      items.add(
          new Retention.Item(
              folder.relativize(file.path()).toString(),
              file.bytes(),
              now - file.atUs(),
              file.atUs() == look.newest.get(file.path().getParent())));
    }
    return new Retention.Stock(look.bytes, items);
  }

  private record Seen(Path path, long bytes, long atUs) {}

  /**
   * Goes through all files and remembers the oldest that are not needed, and when the newest of
   * each folder was written.
   */
  private static final class Look extends SimpleFileVisitor<Path> {
    private final int most;
    private final Between between;
    private final Predicate<Path> needed;
    private final Map<Path, Long> newest = new HashMap<>();
    private final PriorityQueue<Seen> oldest =
        new PriorityQueue<>(Comparator.comparingLong(Seen::atUs).reversed());
    private long bytes;
    private long files;

    Look(int most, Between between, Predicate<Path> needed) {
      this.most = most;
      this.between = between;
      this.needed = needed;
    }

    @Override
    public FileVisitResult visitFile(Path file, BasicFileAttributes is) throws IOException {
      if (is.isRegularFile()) {
        long at = is.lastModifiedTime().to(TimeUnit.MICROSECONDS);
        bytes += is.size();
        newest.merge(file.getParent(), at, Math::max);
        if (!needed.test(file)) {
          oldest.add(new Seen(file, is.size(), at));
        }
        if (oldest.size() > most) {
          oldest.poll();
        }
        if (++files % BETWEEN == 0) {
          between.run();
        }
      }
      return FileVisitResult.CONTINUE;
    }

    @Override
    public FileVisitResult visitFileFailed(Path file, IOException gone) {
      return FileVisitResult.CONTINUE;
    }
  }

  /**
   * Removes what a published list names; twice or late, it does no harm. Names that lead out of the
   * kept folders are left alone.
   */
  int remove(Retention published) throws IOException {
    int removed = 0;
    for (String name : published.names()) {
      Path file = folder.resolve(name).normalize();
      if (file.startsWith(folder.normalize())
          && file.getNameCount() > folder.normalize().getNameCount() + 1
          && Retention.FOLDERS.contains(
              folder.normalize().relativize(file).getName(0).toString())) {
        removed += Files.deleteIfExists(file) ? 1 : 0;
      } else {
        LOG.warn("left alone, as it is none of the fleet's stored files: " + name);
      }
    }
    return removed;
  }

  private static void put(Path file, byte[] bytes) throws IOException {
    Path beside = file.resolveSibling(file.getFileName() + ".part");
    try (FileChannel channel =
        FileChannel.open(
            beside,
            StandardOpenOption.CREATE,
            StandardOpenOption.TRUNCATE_EXISTING,
            StandardOpenOption.WRITE)) {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      while (buffer.hasRemaining()) {
        channel.write(buffer);
      }
      channel.force(true);
    }
    Files.move(beside, file, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
  }
}
