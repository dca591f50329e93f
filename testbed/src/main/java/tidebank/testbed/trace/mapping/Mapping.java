package tidebank.testbed.trace.mapping;

import com.dynatrace.hash4j.consistent.ConsistentBucketHasher;
import com.dynatrace.hash4j.consistent.ConsistentHashing;
import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import com.dynatrace.hash4j.random.PseudoRandomGeneratorProvider;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;
import tidebank.testbed.trace.TraceRow;
import tidebank.testbed.trace.expr.Compiler;
import tidebank.testbed.trace.expr.ExpressionException;
import tidebank.testbed.trace.expr.Quantiles;
import tidebank.testbed.trace.expr.Value;
import tidebank.testbed.trace.layout.Column;
import tidebank.testbed.trace.layout.Layout;
import tidebank.testbed.trace.layout.Layouts;
import tidebank.testbed.trace.layout.RawRow;
import tidebank.testbed.trace.layout.RowException;

/**
 * How a layout's rows become requests of ours: an expression for each value, read from TOML and
 * checked against the layout's columns before a row is read. Depots come out of names by consistent
 * hashing, which keeps the trace's skew: what was one name stays one depot, and few names move if
 * the number of depots changes.
 */
public final class Mapping {
  private static final Hasher64 HASHER = Hashing.xxh3_64();
  private static final int DEPOTS_DEFAULT = 24;
  private static final int DEPOTS_MOST = 100_000;
  private static final double WORK_MS_DEFAULT = 50;
  private static final double WORK_MS_MOST = 3_600_000;
  private static final double US_PER_MS = 1000;

  private record Expression(String key, String source) {}

  private final String text;
  private final Toml file;
  private final Layout layout;
  private final int depots;
  private final Set<String> nonReplayable;
  private final List<String> order;
  private final Map<String, String> renamed;
  private final Expression time;
  private final double timeUnitUs;
  private final double wrap;
  private final Expression where;
  private final Expression tableType;
  private final Expression depot;
  private final Expression parts;
  private final Expression key;
  private final Expression weight;
  private final Expression work;
  private final Expression account;

  private Mapping(String name, String text) throws MalformedInputException {
    this.text = text;
    file = Toml.read(name, text);
    Toml.Table root = file.root();
    String layoutName = root.requiredText("layout");
    layout = Layouts.named(layoutName);
    if (layout == null && !layoutName.isEmpty()) {
      List<String> known = Layouts.all().stream().map(Layout::name).toList();
      String near = Toml.findNearest(layoutName, known);
      root.addFault(
          "layout",
          "unknown layout \""
              + layoutName
              + "\""
              + (near == null
                  ? "; known are " + String.join(", ", known)
                  : "; did you mean \"" + near + "\"?"));
    }
    depots = (int) root.integer("depots", DEPOTS_DEFAULT, 1, DEPOTS_MOST);
    nonReplayable = Set.copyOf(root.texts("non_replayable"));
    order = root.texts("order");
    renamed = root.table("columns").textsByKey();
    Toml.Table timeTable = root.table("time");
    time = expression(timeTable, "value", null);
    timeUnitUs =
        switch (timeTable.text("unit", "us")) {
          case "us" -> 1;
          case "ms" -> US_PER_MS;
          case "s" -> 1e6;
          case "min" -> 60e6;
          default -> {
            timeTable.addFault("unit", "wanted us, ms, s or min");
            yield 1;
          }
        };
    wrap = timeTable.number("wraps_at", 0, 0, 1e18);
    where = expression(root, "where", null);
    Toml.Table map = root.table("map");
    if (!map.has("table_type")) {
      map.addFault("table_type", "is missing, wanted an expression such as '\"depot-manifest\"'");
    }
    if (!map.has("depot")) {
      map.addFault("depot", "is missing, wanted an expression such as 'job_id'");
    }
    tableType = expression(map, "table_type", "\"\"");
    depot = expression(map, "depot", "0");
    parts = expression(map, "parts", "1");
    key = expression(map, "key", "\"\"");
    weight = expression(map, "weight", null);
    work = expression(map, "work_ms", String.valueOf(WORK_MS_DEFAULT));
    account = expression(map, "account", "\"\"");
  }

  private static Expression expression(Toml.Table table, String key, String absent) {
    String source = table.text(key, absent);
    String path = table.path().isEmpty() ? key : table.path() + "." + key;
    return source == null ? null : new Expression(path, source);
  }

  public static Mapping read(Path path) throws MalformedInputException {
    try {
      return read(path.toString(), java.nio.file.Files.readString(path));
    } catch (MalformedInputException fault) {
      throw fault;
    } catch (java.io.IOException fault) {
      throw new MalformedInputException(
          path + ": cannot be read: " + fault.getClass().getSimpleName());
    }
  }

  /**
   * Reads and checks a mapping as far as that needs no file: its keys and, for a layout of known
   * columns, all types.
   */
  public static Mapping read(String name, String text) throws MalformedInputException {
    Mapping mapping = new Mapping(name, text);
    if (mapping.layout != null && !mapping.layout.columns().isEmpty()) {
      mapping.bind(mapping.layout.columns(), false);
    }
    mapping.file.check();
    return mapping;
  }

  public static Mapping standard(Layout layout) throws MalformedInputException {
    return read("the default mapping of " + layout.name(), layout.defaultMapping());
  }

  public Layout layout() {
    return layout;
  }

  public int depots() {
    return depots;
  }

  public double wrapsAtUs() {
    return wrap * timeUnitUs;
  }

  /** Names this mapping, whatever file it stood in. */
  public String digest() {
    try {
      return HexFormat.of()
          .formatHex(
              MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException fault) {
      throw new IllegalStateException(fault);
    }
  }

  /**
   * A reader of a file whose header, if its layout has one, is this. Columns that mean something
   * else are renamed here.
   */
  public Layout.Reader open(List<String> header) throws MalformedInputException {
    List<String> names = header;
    if (!order.isEmpty()) {
      names = order;
    } else if (header != null) {
      names = new ArrayList<>();
      for (String name : header) {
        String ours = null;
        for (Map.Entry<String, String> entry : renamed.entrySet()) {
          ours = entry.getValue().equals(name.trim()) ? entry.getKey() : ours;
        }
        names.add(ours == null ? name : ours);
      }
    }
    try {
      return layout.open(names);
    } catch (RowException fault) {
      throw new MalformedInputException(
          "the file is not of layout "
              + layout.name()
              + ": "
              + fault.getMessage()
              + "; [columns] in the mapping names a column that is called otherwise");
    }
  }

  /**
   * The mapping for a file of these columns; every fault of an expression is named by key, line and
   * column.
   */
  public Bound bind(List<Column> columns) throws MalformedInputException {
    Bound bound = bind(columns, true);
    file.check();
    return bound;
  }

  private Bound bind(List<Column> columns, boolean all) throws MalformedInputException {
    List<Quantiles> quantiles = new ArrayList<>();
    Bound bound =
        new Bound(
            quantiles,
            (Value.Num) compile(time, columns, quantiles, Value.Type.NUMBER),
            (Value.Bool) compile(where, columns, quantiles, Value.Type.TRUTH),
            (Value.Txt) compile(tableType, columns, quantiles, Value.Type.TEXT),
            compile(depot, columns, quantiles, null),
            (Value.Num) compile(parts, columns, quantiles, Value.Type.NUMBER),
            compile(key, columns, quantiles, null),
            (Value.Num) compile(weight, columns, quantiles, Value.Type.NUMBER),
            (Value.Num) compile(work, columns, quantiles, Value.Type.NUMBER),
            (Value.Txt) compile(account, columns, quantiles, Value.Type.TEXT),
            namesItsTypes());
    return bound;
  }

  private boolean namesItsTypes() {
    try {
      return Compiler.named(tableType.source) != null;
    } catch (ExpressionException fault) {
      return false;
    }
  }

  private Value compile(
      Expression expression, List<Column> columns, List<Quantiles> quantiles, Value.Type wanted) {
    if (expression == null) {
      return null;
    }
    try {
      Value value = Compiler.compile(expression.source, columns, quantiles);
      if (wanted != null && value.type() != wanted
          || wanted == null && value.type() == Value.Type.TRUTH) {
        file.addFault(
            expression.key,
            "gives "
                + said(value.type())
                + ", wanted "
                + (wanted == null ? "a number or a text" : said(wanted)));
        return null;
      }
      return value;
    } catch (ExpressionException fault) {
      file.addFault(expression.key, fault.getMessage());
      return null;
    }
  }

  private static String said(Value.Type type) {
    return switch (type) {
      case NUMBER -> "a number";
      case TEXT -> "a text";
      case TRUTH -> "true or false";
    };
  }

  /** A mapping tied to a file's columns. */
  public final class Bound {
    private final List<Quantiles> quantiles;
    private final Value.Num timeOf;
    private final Value.Bool wanted;
    private final Value.Txt typeOf;
    private final Value depotOf;
    private final Value.Num partsOf;
    private final Value keyOf;
    private final Value.Num weightOf;
    private final Value.Num workOf;
    private final Value.Txt accountOf;
    private final boolean typesNamed;
    private final ConsistentBucketHasher jump =
        ConsistentHashing.jumpBackHash(PseudoRandomGeneratorProvider.splitMix64_V1());

    private Bound(
        List<Quantiles> quantiles,
        Value.Num timeOf,
        Value.Bool wanted,
        Value.Txt typeOf,
        Value depotOf,
        Value.Num partsOf,
        Value keyOf,
        Value.Num weightOf,
        Value.Num workOf,
        Value.Txt accountOf,
        boolean typesNamed) {
      this.quantiles = quantiles;
      this.timeOf = timeOf;
      this.wanted = wanted;
      this.typeOf = typeOf;
      this.depotOf = depotOf;
      this.partsOf = partsOf;
      this.keyOf = keyOf;
      this.weightOf = weightOf;
      this.workOf = workOf;
      this.accountOf = accountOf;
      this.typesNamed = typesNamed;
    }

    /** Whether a pass over the rows must come before {@link #map}. */
    public boolean learns() {
      return !quantiles.isEmpty();
    }

    public void learn(RawRow row) {
      quantiles.forEach(one -> one.learn(row));
    }

    public void learned() {
      quantiles.forEach(Quantiles::learned);
    }

    /** The arrival by the trace's clock, in microseconds. */
    public long timeUs(RawRow row) throws RowException {
      if (timeOf == null) {
        return row.timeUs();
      }
      double time = timeOf.of(row) * timeUnitUs;
      if (Double.isNaN(time)) {
        throw RowException.reject("no-number-time");
      }
      if (time < 0 || time > 9e17) {
        throw RowException.reject("negative-time");
      }
      return Math.round(time);
    }

    /** The request that a row stands for, at this time from the trace's start. */
    public TraceRow map(RawRow row, long timeUs) throws RowException {
      if (wanted != null && !wanted.of(row)) {
        throw RowException.leaveOut("not-wanted");
      }
      String type = typeOf.of(row);
      if (type == null || type.isEmpty()) {
        throw RowException.reject("no-table-type");
      }
      // A request that may not run twice comes from a word somebody wrote for it, never from a
      // column's content.
      if (!typesNamed && nonReplayable.contains(type)) {
        throw RowException.reject("non-replayable-not-named");
      }
      double partsWanted = partsOf.of(row);
      if (!(partsWanted >= 1)) {
        throw RowException.reject(Double.isNaN(partsWanted) ? "no-parts" : "parts-below-1");
      }
      int count = (int) Math.min(depots, Math.floor(partsWanted));
      double workMs = workOf.of(row);
      if (!(workMs >= 0) || workMs > WORK_MS_MOST) {
        throw RowException.reject(
            Double.isNaN(workMs) ? "no-work" : workMs < 0 ? "negative-work" : "work-out-of-range");
      }
      double share = weightOf == null ? 1.0 / count : weightOf.of(row);
      if (!(share > 0 && share <= 1)) {
        throw RowException.reject("weight-out-of-range");
      }
      String who = accountOf.of(row);
      return new TraceRow(
          timeUs,
          type,
          depot(row),
          count,
          text(keyOf, row),
          count == 1 ? 1 : share,
          Math.round(workMs * US_PER_MS),
          who == null ? "" : who);
    }

    private int depot(RawRow row) throws RowException {
      if (depotOf instanceof Value.Num number) {
        double value = number.of(row);
        if (Double.isNaN(value)) {
          throw RowException.reject("no-depot");
        }
        // A number that the mapping reckoned is the depot itself, taken round the ring.
        return (int) Math.floorMod((long) Math.floor(value), (long) depots);
      }
      String name = ((Value.Txt) depotOf).of(row);
      if (name == null) {
        throw RowException.reject("no-depot");
      }
      return jump.getBucket(HASHER.hashCharsToLong(name), depots);
    }

    private String text(Value of, RawRow row) {
      if (of instanceof Value.Txt text) {
        String value = text.of(row);
        return value == null ? "" : value;
      }
      double value = ((Value.Num) of).of(row);
      return Double.isNaN(value)
          ? ""
          : value == Math.rint(value) && Math.abs(value) < 1e15
              ? String.valueOf((long) value)
              : String.valueOf(value);
    }
  }
}
