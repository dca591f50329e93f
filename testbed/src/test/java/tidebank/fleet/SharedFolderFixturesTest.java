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
import tidebank.fleet.Retention.Bounds;
import tidebank.fleet.Retention.Item;
import tidebank.fleet.Retention.Stock;

/**
 * The shared folder as an earlier release wrote it: counters of members, reports and removal lists
 * are read, and written again under the same names to the same bytes. The fixtures are written anew
 * by {@code mvn -o -pl MODULE -am test -Dtest=SharedFolderFixturesTest
 * -Dsurefire.failIfNoSpecifiedTests=false -Dtests.excluded=}, with the module that this class is
 * in.
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

  /** Counters of two members, two reports that follow each other, and two lists of removals. */
  private static void writeAll(Path to) throws IOException {
    SharedFolder fleet = new SharedFolder(to);
    MemberCounters first = new MemberCounters("start-1", 1, counters(10, 1));
    FleetReport report = FleetReport.NONE.next("", 3, List.of("g0", "g1"), Map.of("g0", first));
    assertThat(fleet.write(report)).isEqualTo(FIRST_REPORT);
    fleet.writeCounters("g0", new MemberCounters("start-1", 2, counters(17, 1)));
    fleet.writeCounters("g1", new MemberCounters("start-2", 1, counters(4, 0)));
    FleetReport next =
        report.next(FIRST_REPORT, 4, List.of("g0", "g1", "g2"), fleet.readCounters());
    assertThat(fleet.write(next)).isEqualTo(SECOND_REPORT);
    Bounds bounds = new Bounds(1000, 100);
    Retention list =
        Retention.NONE.next(
            "",
            5,
            new Stock(10, List.of(new Item("captures/g0/1.tbc", 10, 2000, false))),
            bounds,
            9);
    assertThat(fleet.write(list)).isEqualTo(FIRST_LIST);
    Retention second =
        list.next(
            FIRST_LIST,
            6,
            new Stock(
                300,
                List.of(
                    new Item("captures/g0/2.tbc", 100, 900, false),
                    new Item("captures/g1/1.tbc", 100, 800, true),
                    new Item("reports/report-1-by-3.json", 100, 1100, false))),
            bounds,
            9);
    assertThat(fleet.write(second)).isEqualTo(SECOND_LIST);
  }

  private static SortedMap<String, String> files(Path root) throws IOException {
    SortedMap<String, String> all = new TreeMap<>();
    try (var files = Files.walk(root)) {
      for (Path file : files.filter(Files::isRegularFile).toList()) {
        all.put(root.relativize(file).toString(), Files.readString(file));
      }
    }
    return all;
  }

  @Test
  @Tag("fixture-writer")
  void writeFixtures() throws IOException {
    writeAll(Files.createDirectories(FIXTURES));
  }

  /** A copy, as reading opens the folder and makes what is not there. */
  private SharedFolder stored() throws IOException {
    Path copy = folder.resolve("stored");
    for (Map.Entry<String, String> file : files(FIXTURES).entrySet()) {
      Path to = copy.resolve(file.getKey());
      Files.createDirectories(to.getParent());
      Files.writeString(to, file.getValue());
    }
    return new SharedFolder(copy);
  }

  @Test
  void theSameReportsCountersAndListsAreWrittenUnderTheSameNamesToTheSameBytes()
      throws IOException {
    Path now = Files.createDirectory(folder.resolve("now"));
    writeAll(now);
    assertThat(files(now)).isEqualTo(files(FIXTURES));
  }

  @Test
  void countersAreReadAndWrittenToTheSameBytes() throws IOException {
    Map<String, MemberCounters> told = stored().readCounters();
    assertThat(told)
        .isEqualTo(
            Map.of(
                "g0", new MemberCounters("start-1", 2, counters(17, 1)),
                "g1", new MemberCounters("start-2", 1, counters(4, 0))));
    Path again = Files.createDirectory(folder.resolve("again"));
    SharedFolder fleet = new SharedFolder(again);
    for (Map.Entry<String, MemberCounters> member : told.entrySet()) {
      fleet.writeCounters(member.getKey(), member.getValue());
    }
    SortedMap<String, String> stored = files(FIXTURES);
    stored.keySet().removeIf(name -> !name.startsWith("told/"));
    assertThat(stored).hasSize(2);
    assertThat(files(again)).isEqualTo(stored);
  }

  @Test
  void reportsAreReadAndWrittenToTheSameBytes() throws IOException {
    SharedFolder fleet = stored();
    FleetReport report = fleet.readReport(SECOND_REPORT);
    assertThat(report.number()).isEqualTo(2);
    assertThat(report.previous()).isEqualTo(FIRST_REPORT);
    assertThat(report.fencingToken()).isEqualTo(4);
    assertThat(report.window()).isEqualTo(counters(11, 0));
    assertThat(report.silentMembers()).containsExactly("g2");
    assertThat(report.members().get("g0").sequence()).isEqualTo(2);
    assertThat(fleet.readReport("")).isEqualTo(FleetReport.NONE);
    Path again = Files.createDirectory(folder.resolve("again"));
    SharedFolder copy = new SharedFolder(again);
    for (String name : List.of(FIRST_REPORT, SECOND_REPORT)) {
      assertThat(copy.write(fleet.readReport(name))).isEqualTo(name);
      assertThat(files(again).get("reports/" + name))
          .isEqualTo(files(FIXTURES).get("reports/" + name));
    }
  }

  @Test
  void removalListsAreReadAndWrittenToTheSameBytes() throws IOException {
    SharedFolder fleet = stored();
    assertThat(fleet.readRemovals(SECOND_LIST))
        .isEqualTo(
            new Retention(
                2, FIRST_LIST, 6, List.of("reports/report-1-by-3.json", "captures/g0/2.tbc")));
    assertThat(fleet.readRemovals("")).isEqualTo(Retention.NONE);
    Path again = Files.createDirectory(folder.resolve("again"));
    SharedFolder copy = new SharedFolder(again);
    for (String name : List.of(FIRST_LIST, SECOND_LIST)) {
      assertThat(copy.write(fleet.readRemovals(name))).isEqualTo(name);
      assertThat(files(again).get("removals/" + name))
          .isEqualTo(files(FIXTURES).get("removals/" + name));
    }
  }
}
