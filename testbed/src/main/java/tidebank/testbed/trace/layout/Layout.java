package tidebank.testbed.trace.layout;

import java.util.List;
import java.util.function.Consumer;

/** One way in which traces are laid out as CSV. Pure: no input, no clock; the lines come in. */
public interface Layout {
  String name();

  /** What it is and where it is known from, one line. */
  String title();

  /** Whether the first line names the columns. */
  boolean header();

  /**
   * The columns as expressions see them. A layout that takes its columns from the header has them
   * after {@link #open}.
   */
  List<Column> columns();

  /**
   * A reader for one file.
   *
   * @param header the first line if {@link #header}, else null
   * @throws RowException if the header is not of this layout
   */
  Reader open(List<String> header) throws RowException;

  /** How well the first lines of a file fit. */
  Fit fit(List<List<String>> lines);

  /** The mapping used when none is given, as TOML. */
  String defaultMapping();

  /** Turns lines into requests. */
  interface Reader {
    /** The columns of this file, in the order of {@link RawRow#texts}. */
    List<Column> columns();

    /**
     * Hands on the requests a line stands for.
     *
     * @return how many they are
     */
    long read(List<String> line, Consumer<RawRow> to) throws RowException;
  }

  /**
   * How a file fits a layout.
   *
   * @param score from 0 (not at all) to 1
   * @param evidence what speaks for and against it
   */
  record Fit(double score, List<String> evidence) {}
}
