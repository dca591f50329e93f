package tidebank.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tidebank.fleet.RemovalList.RetentionLimits;
import tidebank.fleet.RemovalList.ScanResult;
import tidebank.fleet.RemovalList.StoredFile;

/** Tests which files a removal list names, and which files a published list removes. */
class RetentionTest {
  private static final long DAY = 86_400_000_000L;

  @TempDir Path folder;

  private static StoredFile storedFile(String name, long bytes, long days, boolean needed) {
    return new StoredFile(name, bytes, days * DAY, needed);
  }

  /** Returns the names on the first list for stored files, under limits of age and total size. */
  private static List<String> listed(
      long maxDays, long maxBytes, int maxNames, StoredFile... files) {
    ScanResult stored =
        new ScanResult(Stream.of(files).mapToLong(StoredFile::bytes).sum(), List.of(files));
    return RemovalList.NONE
        .next("", 7, stored, new RetentionLimits(maxDays * DAY, maxBytes), maxNames)
        .names();
  }

  /** Guards against removing needed files, or newer files while older ones would do. */
  @Test
  void oldAndExcessFilesAreListedButNeverNeededOnes() {
    StoredFile[] files = {
      storedFile("a", 10, 40, false),
      storedFile("b", 10, 40, true),
      storedFile("c", 10, 5, false),
      storedFile("d", 10, 6, false),
      storedFile("e", 10, 1, false)
    };
    assertThat(listed(30, 100, 10, files)).containsExactly("a");
    assertThat(listed(30, 30, 10, files)).containsExactly("a", "d");
    assertThat(listed(30, 0, 10, files)).containsExactly("a", "d", "c", "e");
    assertThat(listed(30, 0, 2, files))
        .as("the next list takes the rest")
        .containsExactly("a", "d");
    assertThat(listed(50, 100, 10, files)).isEmpty();
  }

  /** Guards against a broken chain of lists, which checks follow from the newest to the first. */
  @Test
  void nextListNamesThePreviousOneAndItsToken() {
    RemovalList first =
        RemovalList.NONE.next("", 3, new ScanResult(0, List.of()), new RetentionLimits(DAY, 0), 10);
    RemovalList second =
        first.next(
            "removal-1-by-3.json",
            5,
            new ScanResult(0, List.of()),
            new RetentionLimits(DAY, 0),
            10);
    assertThat(second).isEqualTo(new RemovalList(2, "removal-1-by-3.json", 5, List.of()));
  }

  /** Creates a file of 10 bytes that was last written some days ago. */
  private Path createFile(String name, int ageDays) throws Exception {
    Path file = folder.resolve(name);
    Files.createDirectories(file.getParent());
    Files.write(file, new byte[10]);
    return Files.setLastModifiedTime(
        file, FileTime.from(Instant.now().minus(Duration.ofDays(ageDays))));
  }

  /**
   * Guards against removing a report that the next one is computed from, and a capture that a
   * member is still writing.
   */
  @Test
  void publishedAndLaterReportsAndNewestFilesAreNeeded() throws Exception {
    SharedFolder fleet = new SharedFolder(folder);
    for (int i = 1; i <= 5; i++) {
      createFile("reports/report-" + i + "-by-1.json", 50 - i);
    }
    createFile("captures/g0/000001.tbc", 90);
    createFile("captures/g0/000002.tbc", 80);
    createFile("told/g0.json", 90);
    List<String> names =
        RemovalList.NONE
            .next(
                "",
                1,
                fleet.scanFiles("report-3-by-1.json", 100, () -> {}),
                new RetentionLimits(30 * DAY, 1000),
                100)
            .names();
    assertThat(names)
        .containsExactly(
            "captures/g0/000001.tbc", "reports/report-1-by-1.json", "reports/report-2-by-1.json");
  }

  /** Guards against a damaged list that removes files outside of the folders under retention. */
  @Test
  void removalIsRepeatableAndStaysInsideItsFolders() throws Exception {
    SharedFolder fleet = new SharedFolder(folder);
    Path removed = createFile("captures/g0/000001.tbc", 90);
    Path counters = createFile("told/g0.json", 90);
    Path outside = Files.createTempFile(folder.getParent(), "outside", ".txt");
    Path link = Files.createSymbolicLink(folder.resolve("captures/link.tbc"), outside);
    try {
      assertThat(fleet.scanFiles("", 100, () -> {}).oldest())
          .extracting(StoredFile::name)
          .doesNotContain("captures/link.tbc");
      RemovalList list =
          new RemovalList(
              1,
              "",
              1,
              List.of(
                  "captures/g0/000001.tbc",
                  "told/g0.json",
                  "captures/../told/g0.json",
                  "../" + outside.getFileName(),
                  outside.toString(),
                  "captures",
                  "reports"));
      assertThat(fleet.removeFiles(list)).isEqualTo(1);
      assertThat(fleet.removeFiles(list)).isZero();
      assertThat(removed).doesNotExist();
      assertThat(List.of(counters, outside, link, folder.resolve("captures")))
          .allMatch(Files::exists);
    } finally {
      Files.delete(outside);
    }
  }

  /** Guards against a scan that outlasts the lease, or that holds more files than fit in memory. */
  @Test
  void scanRunsItsCallbackAndKeepsOnlyTheOldestFiles() throws Exception {
    SharedFolder fleet = new SharedFolder(folder);
    Path captures = Files.createDirectories(folder.resolve("captures/g0"));
    for (int i = 0; i < 2500; i++) {
      Files.createFile(captures.resolve(i + ".tbc"));
    }
    AtomicInteger callbacks = new AtomicInteger();
    createFile("captures/g0/7.tbc", 40);
    createFile("captures/g0/9.tbc", 50);
    ScanResult stored = fleet.scanFiles("", 2, callbacks::incrementAndGet);
    assertThat(stored.oldest())
        .extracting(StoredFile::name)
        .containsExactlyInAnyOrder("captures/g0/7.tbc", "captures/g0/9.tbc");
    assertThat(stored.totalBytes()).isEqualTo(20);
    assertThat(callbacks).hasValue(2);
  }

  /** Guards against removal lists that pile up in the shared folder. */
  @Test
  void lastHundredRemovalListsAreRetained() throws Exception {
    SharedFolder fleet = new SharedFolder(folder);
    for (int i : IntStream.rangeClosed(1, 300).toArray()) {
      RemovalList list = new RemovalList(i, "", 1, List.of());
      assertThat(fleet.readRemovalList(fleet.write(list))).isEqualTo(list);
      fleet.removeOldRemovalLists(list);
    }
    try (var files = Files.list(folder.resolve("removals"))) {
      assertThat(files.count()).isEqualTo(100);
    }
  }
}
