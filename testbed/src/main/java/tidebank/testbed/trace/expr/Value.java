package tidebank.testbed.trace.expr;

import tidebank.testbed.trace.layout.RawRow;

/**
 * An expression made ready for rows: typed, with no look-up by name left in it. A missing number is
 * NaN, a text null.
 */
public sealed interface Value permits Value.Num, Value.Txt, Value.Bool {
  /** What an expression gives. */
  enum Type {
    NUMBER,
    TEXT,
    TRUTH
  }

  Type type();

  /** A number; NaN where it is missing, and whatever is reckoned with it then is missing too. */
  non-sealed interface Num extends Value {
    double of(RawRow row);

    @Override
    default Type type() {
      return Type.NUMBER;
    }
  }

  /** A text; null where it is missing. */
  non-sealed interface Txt extends Value {
    String of(RawRow row);

    @Override
    default Type type() {
      return Type.TEXT;
    }
  }

  /** True or false; a comparison with what is missing is false. */
  non-sealed interface Bool extends Value {
    boolean of(RawRow row);

    @Override
    default Type type() {
      return Type.TRUTH;
    }
  }
}
