package tidebank.testbed.trace;

import java.util.Map;
import java.util.TreeMap;

/**
 * Where every row of a source went. Nothing is dropped silently: lines in, plus what a line expands
 * to beyond itself, equal rows out, plus rejects and rows left out on purpose, both by cause.
 * {@link #check} holds that.
 */
public final class RowAccounting {
  private long in;
  private long expanded;
  private long out;
  private final Map<String, Long> rejected = new TreeMap<>();
  private final Map<String, Long> leftOut = new TreeMap<>();

  public void in() {
    in++;
  }

  /** A line stands for so many requests, possibly none. */
  public void expands(long requests) {
    expanded += requests - 1;
  }

  public void out() {
    out++;
  }

  /** A row that is no good, by the cause that says why. */
  public void reject(String cause) {
    rejected.merge(cause, 1L, Long::sum);
  }

  /**
   * A good row that is no request (an event of another kind, or one that the mapping does not
   * want).
   */
  public void leaveOut(String cause) {
    leftOut.merge(cause, 1L, Long::sum);
  }

  public long linesIn() {
    return in;
  }

  public long rowsOut() {
    return out;
  }

  public long expandedRows() {
    return expanded;
  }

  public Map<String, Long> rejected() {
    return rejected;
  }

  public Map<String, Long> leftOut() {
    return leftOut;
  }

  public long rejectedRows() {
    return rejected.values().stream().mapToLong(Long::longValue).sum();
  }

  public long leftOutRows() {
    return leftOut.values().stream().mapToLong(Long::longValue).sum();
  }

  /** Throws where a row is unaccounted for. */
  public void check() {
    long accounted = out + rejectedRows() + leftOutRows();
    if (in + expanded != accounted) {
      throw new IllegalStateException(
          "rows are unaccounted for: "
              + in
              + " lines and "
              + expanded
              + " expanded, but "
              + out
              + " out, "
              + rejected
              + " rejected, "
              + leftOut
              + " left out");
    }
  }
}
