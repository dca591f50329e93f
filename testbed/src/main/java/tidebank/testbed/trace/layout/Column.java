package tidebank.testbed.trace.layout;

/**
 * A column of a layout.
 *
 * @param name how expressions call it
 * @param kind what stands in it
 * @param unit its unit, "" for none
 * @param needed whether a row without it is rejected
 * @param meaning one line for a person
 */
public record Column(String name, Kind kind, String unit, boolean needed, String meaning) {
  /** What stands in a column. */
  public enum Kind {
    NUMBER,
    TEXT
  }

  static Column number(String name, String unit, String meaning) {
    return new Column(name, Kind.NUMBER, unit, false, meaning);
  }

  static Column text(String name, String meaning) {
    return new Column(name, Kind.TEXT, "", false, meaning);
  }

  Column must() {
    return new Column(name, kind, unit, true, meaning);
  }
}
