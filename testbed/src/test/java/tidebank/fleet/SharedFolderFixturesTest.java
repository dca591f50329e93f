package tidebank.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tidebank.fleet.FleetReport.MemberCounters;
import tidebank.fleet.RemovalList.RetentionLimits;
import tidebank.fleet.RemovalList.ScanResult;
import tidebank.fleet.RemovalList.StoredFile;

/**
 * Reads counters, reports and removal lists that an earlier release wrote to the shared folder, and
 * checks that they are written back under the same names with the same bytes. To regenerate the
 * fixtures, run {@code mvn -o -pl MODULE -am test -Dtest=SharedFolderFixturesTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dtests.excluded=} with the module of this class.
 */
class SharedFolderFixturesTest {
  private static final Path FIXTURES = Path.of("src/test/resources/fixtures/control/shared-folder");

  private static final String FIRST_REPORT = "report-1-by-3.json";
  private static final String SECOND_REPORT = "report-2-by-4.json";
  private static final String FIRST_LIST = "removal-1-by-5.json";
  private static final String SECOND_LIST = "removal-2-by-6.json";

  @TempDir Path folder;

  private static SortedMap<String, Long> counters(long completed, long throttled) {
    return new TreeMap<>(Map.of("scans.completed", completed, "scans.throttled", throttled));
  }

  /**
   * Writes the counters of two members, two consecutive reports, and two consecutive removal lists.
   */
  private static void writeAll(Path directory) throws IOException {
    SharedFolder fleet = new SharedFolder(directory);
    MemberCounters firstCounters = new MemberCounters("start-1", 1, counters(10, 1));
    FleetReport firstReport =
        FleetReport.NONE.next("", 3, List.of("g0", "g1"), Map.of("g0", firstCounters));
    assertThat(fleet.write(firstReport)).isEqualTo(FIRST_REPORT);
    fleet.writeCounters("g0", new MemberCounters("start-1", 2, counters(17, 1)));
    fleet.writeCounters("g1", new MemberCounters("start-2", 1, counters(4, 0)));
    FleetReport secondReport =
        firstReport.next(FIRST_REPORT, 4, List.of("g0", "g1", "g2"), fleet.readCounters());
    assertThat(fleet.write(secondReport)).isEqualTo(SECOND_REPORT);
    RetentionLimits bounds = new RetentionLimits(1000, 100);
    RemovalList firstList =
        RemovalList.NONE.next(
            "",
            5,
            new ScanResult(10, List.of(new StoredFile("captures/g0/1.tbc", 10, 2000, false))),
            bounds,
            9);
    assertThat(fleet.write(firstList)).isEqualTo(FIRST_LIST);
    RemovalList secondList =
        firstList.next(
            FIRST_LIST,
            6,
            new ScanResult(
                300,
                List.of(
                    new StoredFile("captures/g0/2.tbc", 100, 900, false),
                    new StoredFile("captures/g1/1.tbc", 100, 800, true),
                    new StoredFile("reports/report-1-by-3.json", 100, 1100, false))),
            bounds,
            9);
    assertThat(fleet.write(secondList)).isEqualTo(SECOND_LIST);
  }

  /** Returns the contents of all files under a directory, by relative path. */
  private static SortedMap<String, String> readFiles(Path root) throws IOException {
    SortedMap<String, String> contents = new TreeMap<>();
    try (var files = Files.walk(root)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        contents.put(root.relativize(file).toString(), Files.readString(file));
      }
    }
    return contents;
  }

  @Test
  @Tag("fixture-writer")
  void writeFixtures() throws IOException {
    writeAll(Files.createDirectories(FIXTURES));
  }

  /** Opens a copy of the fixtures, because opening a folder creates its missing parts. */
  private SharedFolder openFixtures() throws IOException {
    Path copy = folder.resolve("stored");
    for (Map.Entry<String, String> file : readFiles(FIXTURES).entrySet()) {
      Path target = copy.resolve(file.getKey());
      Files.createDirectories(target.getParent());
      Files.writeString(target, file.getValue());
    }
    return new SharedFolder(copy);
  }

  /** Guards against a change of the file names or the format that other releases read. */
  @Test
  void currentReleaseWritesTheStoredNamesAndBytes() throws IOException {
    Path written = Files.createDirectory(folder.resolve("now"));
    writeAll(written);
    assertThat(readFiles(written)).isEqualTo(readFiles(FIXTURES));
  }

  /** Guards against stored counters that are misread, as a renamed field would be. */
  @Test
  void countersAreReadAndWrittenToTheSameBytes() throws IOException {
    Map<String, MemberCounters> memberCounters = openFixtures().readCounters();
    assertThat(memberCounters)
        .isEqualTo(
            Map.of(
                "g0", new MemberCounters("start-1", 2, counters(17, 1)),
                "g1", new MemberCounters("start-2", 1, counters(4, 0))));
    Path rewritten = Files.createDirectory(folder.resolve("again"));
    SharedFolder fleet = new SharedFolder(rewritten);
    for (Map.Entry<String, MemberCounters> member : memberCounters.entrySet()) {
      fleet.writeCounters(member.getKey(), member.getValue());
    }
    SortedMap<String, String> stored = readFiles(FIXTURES);
    stored.keySet().removeIf(name -> !name.startsWith("told/"));
    assertThat(stored).hasSize(2);
    assertThat(readFiles(rewritten)).isEqualTo(stored);
  }

  /** Guards against stored reports that are misread, as a renamed field would be. */
  @Test
  void reportsAreReadAndWrittenToTheSameBytes() throws IOException {
    SharedFolder fleet = openFixtures();
    FleetReport report = fleet.readReport(SECOND_REPORT);
    assertThat(report.number()).isEqualTo(2);
    assertThat(report.previous()).isEqualTo(FIRST_REPORT);
    assertThat(report.fencingToken()).isEqualTo(4);
    assertThat(report.window()).isEqualTo(counters(11, 0));
    assertThat(report.silentMembers()).containsExactly("g2");
    assertThat(report.members().get("g0").sequence()).isEqualTo(2);
    assertThat(fleet.readReport("")).isEqualTo(FleetReport.NONE);
    Path rewritten = Files.createDirectory(folder.resolve("again"));
    SharedFolder copy = new SharedFolder(rewritten);
    for (String name : List.of(FIRST_REPORT, SECOND_REPORT)) {
      assertThat(copy.write(fleet.readReport(name))).isEqualTo(name);
      assertThat(readFiles(rewritten).get("reports/" + name))
          .isEqualTo(readFiles(FIXTURES).get("reports/" + name));
    }
  }

  /** Guards against stored removal lists that are misread, as a renamed field would be. */
  @Test
  void removalListsAreReadAndWrittenToTheSameBytes() throws IOException {
    SharedFolder fleet = openFixtures();
    assertThat(fleet.readRemovalList(SECOND_LIST))
        .isEqualTo(
            new RemovalList(
                2, FIRST_LIST, 6, List.of("reports/report-1-by-3.json", "captures/g0/2.tbc")));
    assertThat(fleet.readRemovalList("")).isEqualTo(RemovalList.NONE);
    Path rewritten = Files.createDirectory(folder.resolve("again"));
    SharedFolder copy = new SharedFolder(rewritten);
    for (String name : List.of(FIRST_LIST, SECOND_LIST)) {
      assertThat(copy.write(fleet.readRemovalList(name))).isEqualTo(name);
      assertThat(readFiles(rewritten).get("removals/" + name))
          .isEqualTo(readFiles(FIXTURES).get("removals/" + name));
    }
  }
}
