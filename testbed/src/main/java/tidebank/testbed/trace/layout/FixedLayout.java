package tidebank.testbed.trace.layout;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/** A layout whose columns are known: by place where it has no header, by name where it has one. */
abstract class FixedLayout implements Layout {
  private final String name;
  private final String title;
  private final boolean header;
  private final List<Column> columns;

  FixedLayout(String name, String title, boolean header, List<Column> columns) {
    this.name = name;
    this.title = title;
    this.header = header;
    this.columns = columns;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public String title() {
    return title;
  }

  @Override
  public boolean header() {
    return header;
  }

  @Override
  public List<Column> columns() {
    return columns;
  }

  /** The request that this row stands for. */
  abstract RawRow request(Values values) throws RowException;

  /**
   * How a single value of a column of the right count of columns looks, from 0 to 1; more than a
   * check of its kind.
   */
  double looks(Column column, String value) {
    if (value.isEmpty()) {
      return column.needed() ? 0 : 1;
    }
    return column.kind() == Column.Kind.NUMBER
        ? (parsed(value) == null ? 0 : 1)
        : (parsed(value) == null ? 1 : 0.8);
  }

  /** Names that the header of this layout may use for a column beside its own. */
  List<String> aliases(String column) {
    return List.of();
  }

  @Override
  public Reader open(List<String> head) throws RowException {
    int[] places = new int[columns.size()];
    if (head != null) {
      Map<String, Integer> at = new HashMap<>();
      for (int i = 0; i < head.size(); i++) {
        at.putIfAbsent(plain(head.get(i)), i);
      }
      for (int i = 0; i < places.length; i++) {
        Column column = columns.get(i);
        Integer place = at.get(plain(column.name()));
        for (String alias : aliases(column.name())) {
          place = place == null ? at.get(plain(alias)) : place;
        }
        if (place == null && column.needed()) {
          throw RowException.reject("the header has no column " + column.name());
        }
        places[i] = place == null ? -1 : place;
      }
    } else {
      for (int i = 0; i < places.length; i++) {
        places[i] = i;
      }
    }
    return new FixedReader(places, head == null ? columns.size() : head.size());
  }

  static String plain(String headerName) {
    return headerName.trim().toLowerCase(Locale.ROOT).replace(' ', '_').replace('-', '_');
  }

  @Override
  public Fit fit(List<List<String>> lines) {
    List<String> evidence = new ArrayList<>();
    if (lines.isEmpty()) {
      return new Fit(0, List.of("no line"));
    }
    double score = 1;
    List<List<String>> rows = lines;
    int[] places = new int[columns.size()];
    for (int i = 0; i < places.length; i++) {
      places[i] = i;
    }
    if (header) {
      try {
        places = ((FixedReader) open(lines.get(0))).places;
        evidence.add("the header names its columns");
      } catch (RowException fault) {
        return new Fit(0, List.of(fault.getMessage()));
      }
      rows = lines.subList(1, lines.size());
    } else {
      long right = lines.stream().filter(line -> line.size() == columns.size()).count();
      score *= (double) right / lines.size();
      evidence.add(right + " of " + lines.size() + " lines have " + columns.size() + " columns");
    }
    double sum = 0;
    int seen = 0;
    for (List<String> row : rows) {
      for (int i = 0; i < places.length; i++) {
        if (places[i] >= 0 && places[i] < row.size()) {
          double looks = looks(columns.get(i), row.get(places[i]).trim());
          if (looks == 0 && evidence.size() < 6) {
            evidence.add(
                "column " + columns.get(i).name() + " holds \"" + row.get(places[i]) + "\"");
          }
          sum += looks;
          seen++;
        }
      }
    }
    if (seen > 0) {
      // Squared: one column in ten that does not fit speaks louder than nine that do.
      score *= Math.pow(sum / seen, 2);
      evidence.add(Math.round(100 * sum / seen) + "% of the values look right");
    }
    return new Fit(score, evidence);
  }

  static Double parsed(String text) {
    try {
      double value = Double.parseDouble(text);
      return Double.isFinite(value) ? value : null;
    } catch (NumberFormatException fault) {
      return null;
    }
  }

  private final class FixedReader implements Reader {
    private final int[] places;
    private final int most;
    private final Map<String, Integer> index = new HashMap<>();

    FixedReader(int[] places, int most) {
      this.places = places;
      this.most = most;
      for (int i = 0; i < columns.size(); i++) {
        index.put(columns.get(i).name(), i);
      }
    }

    @Override
    public List<Column> columns() {
      return columns;
    }

    @Override
    public long read(List<String> line, Consumer<RawRow> to) throws RowException {
      for (int i = 0; i < places.length; i++) {
        // Some published files leave empty columns at the end away.
        if (places[i] >= line.size() && columns.get(i).needed()) {
          throw RowException.reject("columns-missing");
        }
      }
      if (line.size() > most) {
        throw RowException.reject("columns-too-many");
      }
      to.accept(request(Values.of(columns, places, line, index)));
      return 1;
    }
  }

  /** The values of a line, checked against their columns' kinds. */
  static final class Values {
    final String[] texts;
    final double[] numbers;
    private final Map<String, Integer> index;

    private Values(String[] texts, double[] numbers, Map<String, Integer> index) {
      this.texts = texts;
      this.numbers = numbers;
      this.index = index;
    }

    static Values of(
        List<Column> columns, int[] places, List<String> line, Map<String, Integer> index)
        throws RowException {
      String[] texts = new String[columns.size()];
      double[] numbers = new double[columns.size()];
      for (int i = 0; i < texts.length; i++) {
        String text = places[i] < 0 || places[i] >= line.size() ? "" : line.get(places[i]).trim();
        texts[i] = text.isEmpty() ? null : text;
        numbers[i] = Double.NaN;
        Column column = columns.get(i);
        if (text.isEmpty()) {
          if (column.needed()) {
            throw RowException.reject("empty-" + column.name());
          }
        } else if (column.kind() == Column.Kind.NUMBER) {
          Double number = parsed(text);
          if (number == null) {
            throw RowException.reject("no-number-" + column.name());
          }
          numbers[i] = number;
        }
      }
      return new Values(texts, numbers, index);
    }

    String text(String column) {
      return texts[index.get(column)];
    }

    double number(String column) {
      return numbers[index.get(column)];
    }

    /** A whole number as it is written, beyond the 53 bits of a double. */
    long whole(String column) throws RowException {
      String text = texts[index.get(column)];
      try {
        return Long.parseLong(text);
      } catch (NumberFormatException fault) {
        double number = numbers[index.get(column)];
        if (Math.abs(number) < 9e15) {
          return Math.round(number);
        }
        throw RowException.reject("no-number-" + column);
      }
    }

    RawRow row(long timeUs, String identity) {
      return new RawRow(timeUs, identity, texts, numbers);
    }
  }
}
