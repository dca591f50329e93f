package tidebank.testbed.trace.expr;

/** An expression that can't be used, with where in it: line and column from 1. */
public final class ExpressionException extends Exception {
  private static final long serialVersionUID = 1L;
  private final int line;
  private final int column;

  ExpressionException(int line, int column, String text) {
    super("line " + line + ", column " + column + ": " + text);
    this.line = line;
    this.column = column;
  }

  public int line() {
    return line;
  }

  public int column() {
    return column;
  }
}
