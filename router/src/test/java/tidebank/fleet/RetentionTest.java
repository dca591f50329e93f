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
import tidebank.fleet.Retention.Bounds;
import tidebank.fleet.Retention.Item;
import tidebank.fleet.Retention.Stock;

/** What is listed to be removed, and what a published list removes. */
class RetentionTest {
  private static final long DAY = 86_400_000_000L;

  @TempDir Path folder;

  private static Item item(String name, long bytes, long days, boolean needed) {
    return new Item(name, bytes, days * DAY, needed);
  }

  private static List<String> over(long days, long bytes, int most, Item... items) {
    Stock stock = new Stock(Stream.of(items).mapToLong(Item::bytes).sum(), List.of(items));
    return Retention.NONE.next("", 7, stock, new Bounds(days * DAY, bytes), most).names();
  }

  @Test
  void whatIsTooOldGoesThenTheOldestOverTheBudgetAndNeverWhatIsNeeded() {
    Item[] items = {
      item("a", 10, 40, false),
      item("b", 10, 40, true),
      item("c", 10, 5, false),
      item("d", 10, 6, false),
      item("e", 10, 1, false)
    };
    assertThat(over(30, 100, 10, items)).containsExactly("a");
    assertThat(over(30, 30, 10, items)).containsExactly("a", "d");
    assertThat(over(30, 0, 10, items)).containsExactly("a", "d", "c", "e");
    assertThat(over(30, 0, 2, items)).as("the rest stands in the next").containsExactly("a", "d");
    assertThat(over(50, 100, 10, items)).isEmpty();
  }

  @Test
  void eachListFollowsTheOneBeforeAndSaysByWhichToken() {
    Retention first = Retention.NONE.next("", 3, new Stock(0, List.of()), new Bounds(DAY, 0), 10);
    Retention second =
        first.next("removal-1-by-3.json", 5, new Stock(0, List.of()), new Bounds(DAY, 0), 10);
    assertThat(second).isEqualTo(new Retention(2, "removal-1-by-3.json", 5, List.of()));
  }

  private Path put(String name, int days) throws Exception {
    Path file = folder.resolve(name);
    Files.createDirectories(file.getParent());
    Files.write(file, new byte[10]);
    return Files.setLastModifiedTime(
        file, FileTime.from(Instant.now().minus(Duration.ofDays(days))));
  }

  @Test
  void thePublishedReportAllLaterOnesAndTheNewestOfEachFolderAreNeeded() throws Exception {
    SharedFolder fleet = new SharedFolder(folder);
    for (int i = 1; i <= 5; i++) {
      put("reports/report-" + i + "-by-1.json", 50 - i);
    }
    put("captures/g0/000001.tbc", 90);
    put("captures/g0/000002.tbc", 80);
    put("told/g0.json", 90);
    List<String> names =
        Retention.NONE
            .next(
                "",
                1,
                fleet.scanStored("report-3-by-1.json", 100, () -> {}),
                new Bounds(30 * DAY, 1000),
                100)
            .names();
    assertThat(names)
        .containsExactly(
            "captures/g0/000001.tbc", "reports/report-1-by-1.json", "reports/report-2-by-1.json");
  }

  @Test
  void aListRemovesWhatItNamesOnceOrTwiceAndNothingOutsideOfWhatIsKept() throws Exception {
    SharedFolder fleet = new SharedFolder(folder);
    Path gone = put("captures/g0/000001.tbc", 90);
    Path told = put("told/g0.json", 90);
    Path outside = Files.createTempFile(folder.getParent(), "outside", ".txt");
    Path link = Files.createSymbolicLink(folder.resolve("captures/link.tbc"), outside);
    try {
      assertThat(fleet.scanStored("", 100, () -> {}).oldest())
          .extracting(Item::name)
          .doesNotContain("captures/link.tbc");
      Retention list =
          new Retention(
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
      assertThat(fleet.remove(list)).isEqualTo(1);
      assertThat(fleet.remove(list)).isZero();
      assertThat(gone).doesNotExist();
      assertThat(List.of(told, outside, link, folder.resolve("captures"))).allMatch(Files::exists);
    } finally {
      Files.delete(outside);
    }
  }

  @Test
  void aLookThroughALargeFolderLetsOtherThingsBeDoneInBetweenAndKeepsOnlyTheOldest()
      throws Exception {
    SharedFolder fleet = new SharedFolder(folder);
    Path captures = Files.createDirectories(folder.resolve("captures/g0"));
    for (int i = 0; i < 2500; i++) {
      Files.createFile(captures.resolve(i + ".tbc"));
    }
    AtomicInteger between = new AtomicInteger();
    put("captures/g0/7.tbc", 40);
    put("captures/g0/9.tbc", 50);
    Stock stock = fleet.scanStored("", 2, between::incrementAndGet);
    assertThat(stock.oldest())
        .extracting(Item::name)
        .containsExactlyInAnyOrder("captures/g0/7.tbc", "captures/g0/9.tbc");
    assertThat(stock.bytes()).isEqualTo(20);
    assertThat(between).hasValue(2);
  }

  @Test
  void ofAllListsAHundredAreKept() throws Exception {
    SharedFolder fleet = new SharedFolder(folder);
    for (int i : IntStream.rangeClosed(1, 300).toArray()) {
      Retention list = new Retention(i, "", 1, List.of());
      assertThat(fleet.readRemovals(fleet.write(list))).isEqualTo(list);
      fleet.removeOldRemovalLists(list);
    }
    try (var files = Files.list(folder.resolve("removals"))) {
      assertThat(files.count()).isEqualTo(100);
    }
  }
}
