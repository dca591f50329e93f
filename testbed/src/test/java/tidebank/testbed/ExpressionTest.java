package tidebank.testbed;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import tidebank.config.MalformedInputException;
import tidebank.testbed.trace.expr.Compiler;
import tidebank.testbed.trace.expr.Quantiles;
import tidebank.testbed.trace.expr.Value;
import tidebank.testbed.trace.layout.Column;
import tidebank.testbed.trace.layout.RawRow;
import tidebank.testbed.trace.mapping.Mapping;

/** The language of mappings: what it gives, and what it says of what is wrong. */
class ExpressionTest {
  private static final List<Column> COLUMNS =
      List.of(
          new Column("cpu", Column.Kind.NUMBER, "", false, ""),
          new Column("job", Column.Kind.TEXT, "", false, ""),
          new Column("gone", Column.Kind.NUMBER, "", false, ""),
          new Column("lost", Column.Kind.TEXT, "", false, ""));
  private static final RawRow ROW =
      new RawRow(
          0,
          "",
          new String[] {"0.5", "job-17a", null, null},
          new double[] {0.5, Double.NaN, Double.NaN, Double.NaN});

  private static Object of(String source) throws Exception {
    Value value = Compiler.compile(source, COLUMNS, new ArrayList<>());
    return value instanceof Value.Num num
        ? num.of(ROW)
        : value instanceof Value.Txt txt ? txt.of(ROW) : (Object) ((Value.Bool) value).of(ROW);
  }

  @Test
  void itReckonsInTheUsualOrder() throws Exception {
    assertThat(of("1 + 2 * 3 - 4 / 2")).isEqualTo(5.0);
    assertThat(of("-(1 + 2) % 2")).isEqualTo(-1.0);
    assertThat(of("min(3, cpu, 2) + max(1, 4) + floor(2.7) + abs(-1)")).isEqualTo(7.5);
    assertThat(of("1 / 0")).isEqualTo(Double.NaN);
  }

  @Test
  void whatIsMissingStaysMissingUntilSomethingStandsIn() throws Exception {
    assertThat(of("gone + 1")).isEqualTo(Double.NaN);
    assertThat(of("gone < 1 or gone >= 1 or gone != 1 or lost = \"\" or lost != \"\""))
        .isEqualTo(false);
    assertThat(of("coalesce(gone, cpu)")).isEqualTo(0.5);
    assertThat(of("coalesce(lost, lower(\"NONE\"))")).isEqualTo("none");
    assertThat(of("missing(gone) and missing(lost) and not missing(cpu)")).isEqualTo(true);
    assertThat(of("bucket(gone, 1, 2)")).isEqualTo(Double.NaN);
  }

  @Test
  void choicesTextsAndBuckets() throws Exception {
    assertThat(of("when cpu > 1 then \"a\" when cpu = 0.5 then \"b\" else \"c\"")).isEqualTo("b");
    assertThat(of("extract(job, \"job-([0-9]+)\")")).isEqualTo("17");
    assertThat(of("number(extract(job, \"job-([0-9]+)\")) + 1")).isEqualTo(18.0);
    assertThat(of("matches(job, \"job-.*a\")")).isEqualTo(true);
    assertThat(of("join(job, \"/\", text(2))")).isEqualTo("job-17a/2");
    assertThat(of("bucket(cpu, 0.1, 0.5, 0.9)")).isEqualTo(2.0);
    assertThat((double) of("hash(job, 10)")).isBetween(0.0, 9.0).isEqualTo(of("hash(job, 10)"));
  }

  @Test
  void quantileBucketsAreOfEqualShareWhateverTheOrderOfRows() throws Exception {
    List<RawRow> rows =
        IntStream.range(0, 20_000)
            .mapToObj(i -> new RawRow(i, "r" + i, new String[4], new double[] {i * i, 0, 0, 0}))
            .toList();
    List<RawRow> turned = new ArrayList<>(rows);
    java.util.Collections.reverse(turned);
    List<int[]> both = new ArrayList<>();
    for (List<RawRow> order : List.of(rows, turned)) {
      List<Quantiles> learns = new ArrayList<>();
      Value.Num bucket = (Value.Num) Compiler.compile("quantile(cpu, 4)", COLUMNS, learns);
      order.forEach(learns.get(0)::learn);
      learns.get(0).learned();
      int[] counts = new int[4];
      rows.forEach(row -> counts[(int) bucket.of(row)]++);
      both.add(counts);
    }
    assertThat(both.get(0)).containsExactly(both.get(1));
    for (int count : both.get(0)) {
      assertThat(count).isBetween(4600, 5400);
    }
  }

  private static void wrong(String source, String... said) {
    var thrown = assertThatThrownBy(() -> of(source));
    for (String text : said) {
      thrown.hasMessageContaining(text);
    }
  }

  @Test
  void whatIsWrongIsNamedWithItsPlace() {
    wrong("1 + cpuu", "line 1, column 5", "unknown column \"cpuu\"", "did you mean \"cpu\"");
    wrong("1 + job", "column 5", "found a text, wanted a number", "number(...)");
    wrong("bukket(cpu, 1)", "did you mean \"bucket\"");
    wrong("when cpu then 1 else 2", "wanted true or false");
    wrong("when cpu > 1 then 1 else job", "branches", "a number and a text");
    wrong("job < \"x\"", "only = and != are known");
    wrong("bucket(cpu, 2, 1)", "must rise");
    wrong("matches(job, \"(\")", "no regular expression");
    wrong("1 +", "line 1, column 4");
    wrong("(".repeat(5000) + "1" + ")".repeat(5000), "");
  }

  @Test
  void namedTextsAreToldApartFromThoseOfColumns() throws Exception {
    assertThat(Compiler.named("when cpu > 1 then \"a\" else (\"b\")")).isEqualTo(Set.of("a", "b"));
    assertThat(Compiler.named("when cpu > 1 then \"a\" else job")).isNull();
  }

  @Test
  void aMappingNamesEveryFaultByKeyAndLine() {
    assertThatThrownBy(
            () ->
                Mapping.read(
                    "m.toml",
                    """
                    layout = "google-2011-task-events"
                    depoots = 4
                    [map]
                    table_type = 'scheduling_class'
                    depot = 'job_idd'
                    work_ms = '20 + user'
                    """))
        .isInstanceOf(MalformedInputException.class)
        .hasMessageContaining("m.toml:2: depoots: unknown key; did you mean \"depots\"?")
        .hasMessageContaining("m.toml:4: map.table_type: gives a number, wanted a text")
        .hasMessageContaining(
            "m.toml:5: map.depot: line 1, column 1: unknown column \"job_idd\"; did you mean"
                + " \"job_id\"?")
        .hasMessageContaining(
            "m.toml:6: map.work_ms: line 1, column 6: +: found a text, wanted a number");
    assertThatThrownBy(
            () ->
                Mapping.read(
                    "m.toml", "layout = 'google-2011-task-event'\n[map]\ntable_type='\"a\"'\n"))
        .hasMessageContaining("did you mean \"google-2011-task-events\"")
        .hasMessageContaining("map.depot: is missing");
  }
}
