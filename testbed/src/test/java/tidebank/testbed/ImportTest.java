package tidebank.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.github.luben.zstd.Zstd;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.zip.GZIPOutputStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.layout.Layouts;
import tidebank.testbed.trace.mapping.Mapping;
import tidebank.testbed.trace.read.Importer;
import tidebank.testbed.trace.read.Sniffer;
import tidebank.testbed.trace.read.Source;
import tidebank.testbed.trace.store.CorruptTraceException;
import tidebank.testbed.trace.store.TraceFile;

/**
 * From CSV to the normal form: nothing is lost, nothing depends on the order of rows, damage is
 * told.
 */
class ImportTest {
  private static final String MAPPING =
      """
      layout = "generic"
      [time]
      value = "number(at)"
      unit = "ms"
      [map]
      table_type = '"network-trace"'
      depot = 'hash(key, 24)'
      parts = '3'
      key = 'key'
      work_ms = 'number(work)'
      """;

  @TempDir Path folder;

  private static Path file(Path folder, String name, byte[] bytes) throws IOException {
    return Files.write(folder.resolve(name), bytes);
  }

  private static byte[] text(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }

  private static Importer.Result read(Path folder, Path csv, String mapping, Importer.Limits limits)
      throws IOException {
    return new Importer(Mapping.read("m", mapping), limits, lines -> {})
        .read(
            new Source(List.of(csv)), folder.resolve("out.parquet"), folder.resolve("rejects.csv"));
  }

  private static List<TraceRow> rows(Path folder) throws IOException {
    List<TraceRow> rows = new ArrayList<>();
    try (TraceFile.Reader reader = new TraceFile.Reader(folder.resolve("out.parquet"))) {
      reader.forEachRemaining(item -> rows.add(item.row()));
    }
    return rows;
  }

  private static String csv(List<String> lines) {
    return "at,key,work\n" + String.join("\n", lines) + "\n";
  }

  @Property(tries = 40, seed = "17")
  void anyOrderWithinTheWindowGivesTheSameNormalForm(
      @ForAll("lines") List<String> lines, @ForAll long seed) throws IOException {
    Path here = Files.createTempDirectory("order");
    List<TraceRow> first =
        imported(here, lines, new Importer.Limits(1000, 1000, Long.MAX_VALUE / 4));
    List<String> other = new ArrayList<>(lines);
    Collections.shuffle(other, new Random(seed));
    assertThat(imported(here, other, new Importer.Limits(1000, 1000, Long.MAX_VALUE / 4)))
        .isEqualTo(first);
    assertThat(first).isSortedAccordingTo(TraceRow.ORDER);
  }

  @Property(tries = 40, seed = "17")
  void aSortOnDiskGivesTheSameAsMemoryAndLosesNoRow(
      @ForAll("lines") List<String> lines,
      @ForAll @IntRange(min = 1, max = 20) int window,
      @ForAll @IntRange(min = 1, max = 5) int memory)
      throws IOException {
    Path here = Files.createTempDirectory("spill");
    List<TraceRow> inMemory =
        imported(here, lines, new Importer.Limits(10_000, 10_000, Long.MAX_VALUE / 4));
    List<TraceRow> onDisk =
        imported(here, lines, new Importer.Limits(window, memory, Long.MAX_VALUE / 4));
    assertThat(onDisk).isEqualTo(inMemory).hasSize(lines.size());
    try (var left = Files.list(here)) {
      assertThat(
              left.map(path -> path.getFileName().toString()).filter(name -> name.startsWith(".")))
          .isEmpty();
    }
  }

  /**
   * Found by the property above: the window had let b go, and a, of the same instant, came behind
   * it.
   */
  @Test
  void rowsOfOneInstantAreOrderedByContentAlsoWhereTheWindowLetOneGo() throws IOException {
    List<TraceRow> rows =
        imported(
            folder,
            List.of("0,b,0", "1,c,0", "2,c,0", "0,a,0"),
            new Importer.Limits(1, 5, Long.MAX_VALUE / 4));
    assertThat(rows).extracting(TraceRow::key).containsExactly("a", "b", "c", "c");
    rows =
        imported(
            folder,
            List.of("0,b,0", "1,c,0", "0,a,0"),
            new Importer.Limits(1, 5, Long.MAX_VALUE / 4));
    assertThat(rows).extracting(TraceRow::key).containsExactly("a", "b", "c");
  }

  private static List<TraceRow> imported(Path here, List<String> lines, Importer.Limits limits)
      throws IOException {
    Path csv = file(here, "in.csv", text(csv(lines)));
    assertThat(read(here, csv, MAPPING, limits).tally().rowsOut()).isEqualTo(lines.size());
    return rows(here);
  }

  @Provide
  Arbitrary<List<String>> lines() {
    Arbitrary<Integer> at = Arbitraries.integers().between(0, 500);
    Arbitrary<String> key = Arbitraries.of("a", "b", "c", "\"d,e\"", "\u00e9");
    Arbitrary<Integer> work = Arbitraries.integers().between(0, 50);
    return Combinators.combine(at, key, work)
        .as((a, k, w) -> a + "," + k + "," + w)
        .list()
        .ofMinSize(1)
        .ofMaxSize(120);
  }

  @Property(tries = 60, seed = "17")
  void everyLineIsAccountedForWhateverItHolds(@ForAll("anything") List<String> lines)
      throws IOException {
    Path here = Files.createTempDirectory("any");
    Path csv =
        file(here, "in.csv", text("at,key,work\n0,good,1\n" + String.join("\r\n", lines) + "\r\n"));
    Importer.Result result = read(here, csv, MAPPING, Importer.Limits.DEFAULT);
    long blank = lines.stream().filter(String::isEmpty).count();
    assertThat(
            result.tally().rowsOut() + result.tally().rejectedRows() + result.tally().leftOutRows())
        .isEqualTo(lines.size() + 1 - blank)
        .isEqualTo(result.tally().linesIn());
    assertThat(rows(here)).hasSize((int) result.tally().rowsOut());
  }

  @Provide
  Arbitrary<List<String>> anything() {
    Arbitrary<String> field =
        Arbitraries.of(
            "", "-1", "x", "1e400", "NaN", "5", "9223372036854775807", "\"q\"", " 7 ", "0x1p3");
    return field
        .list()
        .ofMinSize(1)
        .ofMaxSize(5)
        .map(fields -> String.join(",", fields))
        .list()
        .ofMaxSize(40);
  }

  @Test
  void rejectsStandInAFileWithLineAndCause() throws IOException {
    Path csv =
        file(folder, "in.csv", text("at,key,work\n5,a,1\nnoon,b,1\n7,c,-3\n8,d,1,9\n-2,e,1\n"));
    Importer.Result result = read(folder, csv, MAPPING, Importer.Limits.DEFAULT);
    assertThat(result.tally().rejected())
        .containsOnlyKeys("no-number-time", "negative-work", "columns-too-many", "negative-time");
    assertThat(Files.readAllLines(folder.resolve("rejects.csv")))
        .containsExactly(
            "file,line,cause,text",
            "in.csv,3,no-number-time,\"noon,b,1\"",
            "in.csv,4,negative-work,\"7,c,-3\"",
            "in.csv,5,columns-too-many,\"8,d,1,9\"",
            "in.csv,6,negative-time,\"-2,e,1\"");
  }

  @Test
  void whatIsTooLateIsCountedAndWhatWrapsIsUnwrapped() throws IOException {
    Path csv = file(folder, "in.csv", text("at,key,work\n100000,a,1\n100,b,1\n99000,c,1\n"));
    Importer.Result result = read(folder, csv, MAPPING, new Importer.Limits(1, 10, 5_000_000));
    assertThat(result.tally().rejected()).containsExactly(java.util.Map.entry("too-late", 1L));
    assertThat(rows(folder)).extracting(TraceRow::key).containsExactly("c", "a");
    Path wraps =
        file(folder, "wraps.csv", text("at,key,work\n900,a,1\n990,b,1\n10,c,1\n980,d,1\n50,e,1\n"));
    read(
        folder,
        wraps,
        MAPPING.replace("unit = \"ms\"", "unit = \"ms\"\nwraps_at = 1000"),
        Importer.Limits.DEFAULT);
    assertThat(rows(folder)).extracting(TraceRow::key).containsExactly("a", "d", "b", "c", "e");
  }

  @Test
  void anEventToldTwiceCountsOnceAlsoIfOneOfThemWasSortedOnDisk() throws IOException {
    String line = "%d,,job,%d,,0,user,1,1,0.1,0.1,0.1,0\n";
    Path csv =
        file(
            folder,
            "g.csv",
            text(
                line.formatted(2000, 1)
                    + line.formatted(3000, 2)
                    + line.formatted(4000, 3)
                    + line.formatted(2000, 1)
                    + line.formatted(3000, 2)));
    for (int window : new int[] {1, 100}) {
      Importer.Result result =
          read(
              folder,
              csv,
              Layouts.named("google-2011-task-events").defaultMapping(),
              new Importer.Limits(window, 10, Long.MAX_VALUE / 4));
      assertThat(result.meta().rows()).as("window " + window).isEqualTo(3);
      assertThat(result.tally().rejected()).containsEntry("duplicate", 2L);
    }
  }

  @Test
  void packedFilesAByteOrderMarkAndEndsOfLinesMakeNoDifference() throws IOException {
    String plain = "at,key,work\n5,a,1\n6,\"b\nc\",2\n";
    List<List<TraceRow>> all = new ArrayList<>();
    ByteArrayOutputStream zipped = new ByteArrayOutputStream();
    try (GZIPOutputStream out = new GZIPOutputStream(zipped)) {
      out.write(text(plain));
    }
    for (byte[] bytes :
        List.of(
            text(plain),
            text("\ufeff" + plain),
            text(plain.replace("work\n", "work\r\n")),
            zipped.toByteArray(),
            Zstd.compress(text(plain)))) {
      read(folder, file(folder, "in", bytes), MAPPING, Importer.Limits.DEFAULT);
      all.add(rows(folder));
    }
    assertThat(all).allSatisfy(rows -> assertThat(rows).isEqualTo(all.get(0)).hasSize(2));
    Path cut =
        file(folder, "cut.gz", java.util.Arrays.copyOf(zipped.toByteArray(), zipped.size() - 9));
    assertThatThrownBy(() -> read(folder, cut, MAPPING, Importer.Limits.DEFAULT))
        .isInstanceOf(IOException.class)
        .hasMessageContaining("cannot be read on after line");
  }

  @Test
  void aFileCutAtAnyByteIsRefusedAndAChangedOneNeverReadAsIfWhole() throws IOException {
    Path csv =
        file(
            folder,
            "in.csv",
            text(
                csv(
                    java.util.stream.IntStream.range(0, 200)
                        .mapToObj(i -> i + ",k" + i % 7 + ",3")
                        .toList())));
    read(folder, csv, MAPPING, Importer.Limits.DEFAULT);
    Path out = folder.resolve("out.parquet");
    byte[] whole = Files.readAllBytes(out);
    List<TraceRow> rows = rows(folder);
    for (int length = 0; length < whole.length; length += length < whole.length - 600 ? 37 : 1) {
      Files.write(out, java.util.Arrays.copyOf(whole, length));
      assertThatThrownBy(() -> rows(folder))
          .as("cut at " + length)
          .isInstanceOfAny(IOException.class, UncheckedIOException.class);
    }
    int told = 0;
    for (int at = 0; at < whole.length; at += 5) {
      byte[] changed = whole.clone();
      changed[at] ^= 0x10;
      Files.write(out, changed);
      try {
        // A flip in what nobody reads (a statistic, a writer's name) may stay unseen; then the rows
        // are the rows.
        assertThat(rows(folder)).as("flipped at " + at).isEqualTo(rows);
      } catch (IOException | UncheckedIOException fault) {
        told++;
      }
    }
    assertThat(told).isGreaterThan(whole.length / 5 / 4);
  }

  @Test
  void aWindowInTheMiddleHoldsItsRowsOnly() throws IOException {
    Path csv =
        file(
            folder,
            "in.csv",
            text(
                csv(
                    java.util.stream.IntStream.range(0, 50_000)
                        .mapToObj(i -> i + ",k,3")
                        .toList())));
    read(folder, csv, MAPPING, Importer.Limits.DEFAULT);
    try (TraceFile.Reader reader =
        new TraceFile.Reader(folder.resolve("out.parquet"), 20_000_000, 20_005_000)) {
      List<Long> times = new ArrayList<>();
      reader.forEachRemaining(item -> times.add(item.row().timeUs()));
      assertThat(times)
          .containsExactly(20_000_000L, 20_001_000L, 20_002_000L, 20_003_000L, 20_004_000L);
    }
  }

  @Test
  void whatMayNotRunTwiceIsMappedByNameOnly() throws IOException {
    Path csv =
        file(folder, "in.csv", text("at,key,work\n5,delivery-confirm,1\n6,depot-manifest,1\n"));
    String byColumn =
        MAPPING
            .replace("'\"network-trace\"'", "'key'")
            .replace(
                "layout = \"generic\"",
                "layout = \"generic\"\nnon_replayable = [\"delivery-confirm\"]");
    assertThat(read(folder, csv, byColumn, Importer.Limits.DEFAULT).tally().rejected())
        .containsExactly(java.util.Map.entry("non-replayable-not-named", 1L));
    String byName =
        byColumn.replace(
            "table_type = 'key'",
            "table_type = 'when key = \"delivery-confirm\" then \"delivery-confirm\" else"
                + " \"depot-manifest\"'");
    assertThat(read(folder, csv, byName, Importer.Limits.DEFAULT).tally().rowsOut()).isEqualTo(2);
    for (var layout : Layouts.all()) {
      assertThat(layout.defaultMapping()).doesNotContain("delivery-confirm");
    }
  }

  @Test
  void aColumnThatIsCalledOtherwiseIsNamedInTheMapping() throws IOException {
    Path csv = file(folder, "in.csv", text("a,fn,ended,took\nx,f,10,1\n"));
    String mapping = Layouts.named("azure-2021-invocations").defaultMapping();
    assertThatThrownBy(() -> read(folder, csv, mapping, Importer.Limits.DEFAULT))
        .hasMessageContaining("no column app")
        .hasMessageContaining("[columns]");
    read(
        folder,
        csv,
        mapping
            + "\n[columns]\napp = 'a'\nfunc = 'fn'\nend_timestamp = 'ended'\nduration = 'took'\n",
        Importer.Limits.DEFAULT);
    assertThat(rows(folder)).singleElement().extracting(TraceRow::key).isEqualTo("f");
  }

  @Test
  void sniffingNamesALayoutOrSaysThatItCannot() throws IOException {
    assertThat(
            Sniffer.sniff(
                    new Source(
                        List.of(
                            file(
                                folder,
                                "a",
                                text("app,func,end_timestamp,duration\na,f,1,0.5\n")))))
                .best()
                .name())
        .isEqualTo("azure-2021-invocations");
    assertThat(
            Sniffer.sniff(
                    new Source(
                        List.of(
                            file(
                                folder,
                                "b",
                                text("M1,10,j_1,1,Terminated,87076,87100,100,0.2\n")))))
                .best()
                .name())
        .isEqualTo("alibaba-2018-batch-task");
    assertThat(Sniffer.sniff(new Source(List.of(file(folder, "c", text("nothing here\n"))))).best())
        .isNull();
    assertThat(
            Sniffer.sniff(new Source(List.of(file(folder, "d", text("when,what\n1,x\n")))))
                .best()
                .name())
        .isEqualTo("generic");
  }

  @Test
  void noFileAtAllOrNoRequestInItIsTold() {
    assertThatThrownBy(
            () -> read(folder, folder.resolve("none.csv"), MAPPING, Importer.Limits.DEFAULT))
        .hasMessageContaining("there is no such file");
    assertThatThrownBy(
            () ->
                read(
                    folder,
                    file(folder, "e.csv", text("at,key,work\nx,y,z\n")),
                    MAPPING,
                    Importer.Limits.DEFAULT))
        .hasMessageContaining("no row is a request")
        .hasMessageContaining("no-number-time");
    assertThat(folder.resolve("out.parquet")).doesNotExist();
    assertThatThrownBy(() -> TraceFile.meta(file(folder, "f", text("PAR1 no"))))
        .isInstanceOf(CorruptTraceException.class);
  }
}
