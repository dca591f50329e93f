package tidebank.testbed.trace.expr;

import com.dynatrace.hash4j.hashing.Hasher64;
import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.DoubleBinaryOperator;
import java.util.function.DoubleUnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.regex.PatternSyntaxException;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.ParserRuleContext;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;
import org.antlr.v4.runtime.misc.ParseCancellationException;
import tidebank.config.Toml;
import tidebank.testbed.trace.expr.ExpressionParser.ArithmeticContext;
import tidebank.testbed.trace.expr.ExpressionParser.CallContext;
import tidebank.testbed.trace.expr.ExpressionParser.ChoiceContext;
import tidebank.testbed.trace.expr.ExpressionParser.ColumnContext;
import tidebank.testbed.trace.expr.ExpressionParser.ComparisonContext;
import tidebank.testbed.trace.expr.ExpressionParser.ExprContext;
import tidebank.testbed.trace.expr.ExpressionParser.InnerContext;
import tidebank.testbed.trace.expr.ExpressionParser.LogicContext;
import tidebank.testbed.trace.expr.ExpressionParser.MinusContext;
import tidebank.testbed.trace.expr.ExpressionParser.NotContext;
import tidebank.testbed.trace.expr.ExpressionParser.NumberContext;
import tidebank.testbed.trace.expr.ExpressionParser.TextContext;
import tidebank.testbed.trace.expr.Value.Bool;
import tidebank.testbed.trace.expr.Value.Num;
import tidebank.testbed.trace.expr.Value.Txt;
import tidebank.testbed.trace.layout.Column;
import tidebank.testbed.trace.layout.RawRow;

/**
 * Reads an expression, checks its types against a layout's columns before a row is read, and makes
 * it ready: a tree of small functions over primitives, several times as quick as walking the parse
 * tree (docs/results.md).
 */
public final class Compiler extends ExpressionBaseVisitor<Value> {
  private static final Hasher64 HASHER = Hashing.xxh3_64();
  private static final int BUCKETS_MOST = 1000;
  private static final int DEPTH_MOST = 200;

  /** What each function takes and gives; the names are offered where one is misspelt. */
  static final Map<String, String> FUNCTIONS =
      new java.util.TreeMap<>(
          Map.ofEntries(
              Map.entry("abs", "abs(number): without its sign"),
              Map.entry("floor", "floor(number): the whole number at or below it"),
              Map.entry("round", "round(number): the nearest whole number"),
              Map.entry("log", "log(number): natural logarithm"),
              Map.entry("sqrt", "sqrt(number)"),
              Map.entry("min", "min(number, number, ...): the least"),
              Map.entry("max", "max(number, number, ...): the greatest"),
              Map.entry(
                  "hash",
                  "hash(value) or hash(value, n): a whole number from 0, below 2^53 or below n"),
              Map.entry(
                  "bucket",
                  "bucket(number, b1, b2, ...): how many of the rising bounds it has reached"),
              Map.entry(
                  "quantile",
                  "quantile(number, n): which of n buckets of equal share it lies in, from 0"),
              Map.entry("coalesce", "coalesce(a, b, ...): the first that is not missing"),
              Map.entry("missing", "missing(value): whether it is missing"),
              Map.entry("number", "number(text): the number it says, missing if none"),
              Map.entry("text", "text(number): as text"),
              Map.entry("matches", "matches(text, \"regex\"): whether all of it matches"),
              Map.entry(
                  "extract",
                  "extract(text, \"regex\"): its first group, missing if it does not match"),
              Map.entry("lower", "lower(text): in small letters"),
              Map.entry("length", "length(text): its characters"),
              Map.entry("join", "join(text, text, ...): one after the other")));

  private final Map<String, Integer> places = new HashMap<>();
  private final List<Column> columns;
  private final List<Quantiles> quantiles;
  private int depth;

  private Compiler(List<Column> columns, List<Quantiles> quantiles) {
    this.columns = columns;
    this.quantiles = quantiles;
    for (int i = 0; i < columns.size(); i++) {
      places.put(columns.get(i).name(), i);
    }
  }

  /** A fault on its way out of the visitor. */
  private static final class Found extends RuntimeException {
    private static final long serialVersionUID = 1L;
    final ExpressionException fault;

    Found(ExpressionException fault) {
      super(null, null, false, false);
      this.fault = fault;
    }
  }

  /**
   * Compiles an expression.
   *
   * @param quantiles takes the quantile buckets the expression needs; their first pass is the
   *     caller's to make
   */
  public static Value compile(String source, List<Column> columns, List<Quantiles> quantiles)
      throws ExpressionException {
    try {
      return new Compiler(columns, quantiles).visit(parse(source).expr());
    } catch (Found found) {
      throw found.fault;
    }
  }

  static ExpressionParser.WholeContext parse(String source) throws ExpressionException {
    BaseErrorListener listener =
        new BaseErrorListener() {
          @Override
          public void syntaxError(
              Recognizer<?, ?> recognizer,
              Object symbol,
              int line,
              int column,
              String text,
              RecognitionException cause) {
            throw new Found(new ExpressionException(line, column + 1, text));
          }
        };
    ExpressionLexer lexer = new ExpressionLexer(CharStreams.fromString(source));
    lexer.removeErrorListeners();
    lexer.addErrorListener(listener);
    ExpressionParser parser = new ExpressionParser(new CommonTokenStream(lexer));
    parser.removeErrorListeners();
    parser.addErrorListener(listener);
    try {
      return parser.whole();
    } catch (Found found) {
      throw found.fault;
    } catch (ParseCancellationException | StackOverflowError fault) {
      throw new ExpressionException(1, 1, "nested too deep");
    }
  }

  /**
   * The texts that an expression can give by naming them, or null if it can give one it does not
   * name (from a column, or put together).
   */
  public static Set<String> named(String source) throws ExpressionException {
    Set<String> names = new HashSet<>();
    return named(parse(source).expr(), names) ? names : null;
  }

  private static boolean named(ExprContext expr, Set<String> names) {
    if (expr instanceof TextContext text) {
      names.add(unquoted(text.TEXT().getText()));
      return true;
    }
    if (expr instanceof InnerContext inner) {
      return named(inner.expr(), names);
    }
    if (expr instanceof ChoiceContext choice) {
      boolean all = named(choice.otherwise, names);
      for (ExprContext value : choice.value) {
        all &= named(value, names);
      }
      return all;
    }
    return false;
  }

  private static Found fault(ParserRuleContext at, String text) {
    Token token = at.getStart();
    return new Found(
        new ExpressionException(token.getLine(), token.getCharPositionInLine() + 1, text));
  }

  private Value of(ExprContext expr) {
    if (++depth > DEPTH_MOST) {
      throw fault(expr, "nested too deep");
    }
    Value value = visit(expr);
    depth--;
    return value;
  }

  private Num num(ExprContext expr, String what) {
    Value value = of(expr);
    if (value instanceof Num num) {
      return num;
    }
    String hint = value.type() == Value.Type.TEXT ? "; number(...) reads a text as one" : "";
    throw fault(expr, what + ": found " + word(value) + ", wanted a number" + hint);
  }

  private Txt txt(ExprContext expr, String what) {
    Value value = of(expr);
    if (value instanceof Txt txt) {
      return txt;
    }
    throw fault(expr, what + ": found " + word(value) + ", wanted a text");
  }

  private Bool bool(ExprContext expr, String what) {
    Value value = of(expr);
    if (value instanceof Bool bool) {
      return bool;
    }
    throw fault(
        expr, what + ": found " + word(value) + ", wanted true or false, such as a comparison");
  }

  private static String word(Value value) {
    return switch (value.type()) {
      case NUMBER -> "a number";
      case TEXT -> "a text";
      case TRUTH -> "true or false";
    };
  }

  @Override
  public Value visitInner(InnerContext inner) {
    return of(inner.expr());
  }

  @Override
  public Value visitNumber(NumberContext number) {
    double value = Double.parseDouble(number.getText());
    return (Num) row -> value;
  }

  @Override
  public Value visitText(TextContext text) {
    String value = unquoted(text.getText());
    return (Txt) row -> value;
  }

  private static String unquoted(String text) {
    return text.substring(1, text.length() - 1).replaceAll("\\\\([\"\\\\])", "$1");
  }

  @Override
  public Value visitColumn(ColumnContext column) {
    String name = column.getText();
    Integer place = places.get(name);
    if (place == null) {
      throw fault(column, "unknown column \"" + name + "\"" + near(name, places.keySet()));
    }
    int at = place;
    return columns.get(at).kind() == Column.Kind.NUMBER
        ? (Num) row -> row.numbers()[at]
        : (Txt) row -> row.texts()[at];
  }

  private static String near(String name, Collection<String> known) {
    String near = Toml.findNearest(name, known);
    return near == null
        ? "; known are " + String.join(", ", known.stream().sorted().toList())
        : "; did you mean \"" + near + "\"?";
  }

  @Override
  public Value visitMinus(MinusContext minus) {
    Num of = num(minus.expr(), "minus");
    return (Num) row -> -of.of(row);
  }

  @Override
  public Value visitNot(NotContext not) {
    Bool of = bool(not.expr(), "not");
    return (Bool) row -> !of.of(row);
  }

  @Override
  public Value visitArithmetic(ArithmeticContext sum) {
    String op = sum.op.getText();
    Num left = num(sum.left, op);
    Num right = num(sum.right, op);
    return switch (op) {
      case "+" -> (Num) row -> left.of(row) + right.of(row);
      case "-" -> (Num) row -> left.of(row) - right.of(row);
      case "*" -> (Num) row -> left.of(row) * right.of(row);
      // Division by 0 gives nothing to go on with, so it counts as missing.
      case "/" -> (Num) row -> finite(left.of(row) / right.of(row));
      default -> (Num) row -> finite(left.of(row) % right.of(row));
    };
  }

  private static double finite(double value) {
    return Double.isFinite(value) ? value : Double.NaN;
  }

  @Override
  public Value visitLogic(LogicContext logic) {
    Bool left = bool(logic.left, logic.op.getText());
    Bool right = bool(logic.right, logic.op.getText());
    return logic.op.getText().equals("and")
        ? (Bool) row -> left.of(row) && right.of(row)
        : (Bool) row -> left.of(row) || right.of(row);
  }

  @Override
  public Value visitComparison(ComparisonContext comparison) {
    String op = comparison.op.getText();
    Value left = of(comparison.left);
    Value right = of(comparison.right);
    if (left instanceof Num a && right instanceof Num b) {
      return switch (op) {
        case "=" -> (Bool) row -> a.of(row) == b.of(row);
        case "!=" -> (Bool) row -> a.of(row) < b.of(row) || a.of(row) > b.of(row);
        case "<" -> (Bool) row -> a.of(row) < b.of(row);
        case "<=" -> (Bool) row -> a.of(row) <= b.of(row);
        case ">" -> (Bool) row -> a.of(row) > b.of(row);
        default -> (Bool) row -> a.of(row) >= b.of(row);
      };
    }
    if (left instanceof Txt a && right instanceof Txt b && (op.equals("=") || op.equals("!="))) {
      boolean wanted = op.equals("=");
      return (Bool)
          row -> {
            String one = a.of(row);
            String other = b.of(row);
            return one != null && other != null && one.equals(other) == wanted;
          };
    }
    throw fault(
        comparison,
        op
            + " between "
            + word(left)
            + " and "
            + word(right)
            + (left.type() == right.type() ? ", only = and != are known for it" : ""));
  }

  @Override
  public Value visitChoice(ChoiceContext choice) {
    int count = choice.cond.size();
    Bool[] conditions = new Bool[count];
    Value[] values = new Value[count + 1];
    for (int i = 0; i < count; i++) {
      conditions[i] = bool(choice.cond.get(i), "when");
      values[i] = of(choice.value.get(i));
    }
    values[count] = of(choice.otherwise);
    for (int i = 1; i <= count; i++) {
      if (values[i].type() != values[0].type()) {
        throw fault(
            i < count ? choice.value.get(i) : choice.otherwise,
            "the branches of when differ: " + word(values[0]) + " and " + word(values[i]));
      }
    }
    return switch (values[0].type()) {
      case NUMBER -> (Num) row -> ((Num) values[taken(conditions, row)]).of(row);
      case TEXT -> (Txt) row -> ((Txt) values[taken(conditions, row)]).of(row);
      case TRUTH -> (Bool) row -> ((Bool) values[taken(conditions, row)]).of(row);
    };
  }

  private static int taken(Bool[] conditions, RawRow row) {
    for (int i = 0; i < conditions.length; i++) {
      if (conditions[i].of(row)) {
        return i;
      }
    }
    return conditions.length;
  }

  @Override
  public Value visitCall(CallContext call) {
    String name = call.NAME().getText();
    List<ExprContext> of = call.expr();
    if (!FUNCTIONS.containsKey(name)) {
      throw fault(call, "unknown function \"" + name + "\"" + near(name, FUNCTIONS.keySet()));
    }
    return switch (name) {
      case "abs" -> one(call, Math::abs);
      case "floor" -> one(call, Math::floor);
      case "round" -> one(call, Math::rint);
      case "log" -> one(call, x -> finite(Math.log(x)));
      case "sqrt" -> one(call, Math::sqrt);
      case "min" -> fold(call, Math::min);
      case "max" -> fold(call, Math::max);
      case "hash" -> hash(call);
      case "bucket" -> bucket(call);
      case "quantile" -> quantile(call);
      case "coalesce" -> coalesce(call);
      case "missing" -> missing(call);
      case "number" -> {
        takes(call, 1, 1);
        Value inner = of(of.get(0));
        if (inner instanceof Num num) {
          yield num;
        }
        Txt text = txt(of.get(0), name);
        yield (Num) row -> read(text.of(row));
      }
      case "text" -> {
        takes(call, 1, 1);
        Value inner = of(of.get(0));
        if (inner instanceof Txt text) {
          yield text;
        }
        Num number = num(of.get(0), name);
        yield (Txt) row -> write(number.of(row));
      }
      case "matches" -> {
        takes(call, 2, 2);
        Txt text = txt(of.get(0), name);
        Pattern pattern = pattern(of.get(1), name);
        yield (Bool)
            row -> {
              String value = text.of(row);
              return value != null && pattern.matcher(value).matches();
            };
      }
      case "extract" -> {
        takes(call, 2, 2);
        Txt text = txt(of.get(0), name);
        Pattern pattern = pattern(of.get(1), name);
        if (pattern.matcher("").groupCount() < 1) {
          throw fault(of.get(1), "extract: the expression has no group in parentheses");
        }
        yield (Txt)
            row -> {
              String value = text.of(row);
              Matcher found = value == null ? null : pattern.matcher(value);
              return found != null && found.find() ? found.group(1) : null;
            };
      }
      case "lower" -> {
        takes(call, 1, 1);
        Txt text = txt(of.get(0), name);
        yield (Txt) row -> text.of(row) == null ? null : text.of(row).toLowerCase(Locale.ROOT);
      }
      case "length" -> {
        takes(call, 1, 1);
        Txt text = txt(of.get(0), name);
        yield (Num) row -> text.of(row) == null ? Double.NaN : text.of(row).length();
      }
      default -> {
        takes(call, 1, 20);
        List<Txt> texts = new ArrayList<>();
        for (ExprContext one : of) {
          texts.add(txt(one, name));
        }
        yield (Txt)
            row -> {
              StringBuilder all = new StringBuilder();
              for (Txt text : texts) {
                String value = text.of(row);
                if (value == null) {
                  return null;
                }
                all.append(value);
              }
              return all.toString();
            };
      }
    };
  }

  private static void takes(CallContext call, int least, int most) {
    int found = call.expr().size();
    if (found < least || found > most) {
      throw fault(
          call, "found " + found + " values, wanted " + FUNCTIONS.get(call.NAME().getText()));
    }
  }

  private Value one(CallContext call, DoubleUnaryOperator function) {
    takes(call, 1, 1);
    Num of = num(call.expr(0), call.NAME().getText());
    return (Num) row -> function.applyAsDouble(of.of(row));
  }

  private Value fold(CallContext call, DoubleBinaryOperator function) {
    takes(call, 2, 20);
    Num all = num(call.expr(0), call.NAME().getText());
    for (int i = 1; i < call.expr().size(); i++) {
      Num before = all;
      Num next = num(call.expr(i), call.NAME().getText());
      all = row -> function.applyAsDouble(before.of(row), next.of(row));
    }
    return all;
  }

  private Value hash(CallContext call) {
    takes(call, 1, 2);
    Value of = of(call.expr(0));
    double below = call.expr().size() == 2 ? constant(call.expr(1), "hash") : 0x1p53;
    if (!(below >= 1 && below <= 0x1p53)) {
      throw fault(call.expr(1), "hash: wanted a number from 1 to 2^53");
    }
    return (Num)
        row -> {
          if (of instanceof Num number) {
            double value = number.of(row);
            return Double.isNaN(value)
                ? Double.NaN
                : reduced(HASHER.hashStream().putDouble(value).getAsLong(), below);
          }
          if (of instanceof Txt text) {
            String value = text.of(row);
            return value == null ? Double.NaN : reduced(HASHER.hashCharsToLong(value), below);
          }
          return ((Bool) of).of(row) ? 1 : 0;
        };
  }

  private static double reduced(long hash, double below) {
    return Math.floor((hash >>> 11) * 0x1p-53 * below);
  }

  private double constant(ExprContext expr, String what) {
    if (expr instanceof NumberContext number) {
      return Double.parseDouble(number.getText());
    }
    if (expr instanceof MinusContext minus && minus.expr() instanceof NumberContext number) {
      return -Double.parseDouble(number.getText());
    }
    throw fault(expr, what + ": wanted a plain number here");
  }

  private Value bucket(CallContext call) {
    takes(call, 2, BUCKETS_MOST);
    Num of = num(call.expr(0), "bucket");
    double[] bounds = new double[call.expr().size() - 1];
    for (int i = 0; i < bounds.length; i++) {
      bounds[i] = constant(call.expr(i + 1), "bucket");
      if (i > 0 && bounds[i] <= bounds[i - 1]) {
        throw fault(call.expr(i + 1), "bucket: the bounds must rise");
      }
    }
    return (Num)
        row -> {
          double value = of.of(row);
          if (Double.isNaN(value)) {
            return value;
          }
          int bucket = 0;
          while (bucket < bounds.length && value >= bounds[bucket]) {
            bucket++;
          }
          return bucket;
        };
  }

  private Value quantile(CallContext call) {
    takes(call, 2, 2);
    Num of = num(call.expr(0), "quantile");
    double buckets = constant(call.expr(1), "quantile");
    if (!(buckets >= 2 && buckets <= BUCKETS_MOST && buckets == Math.rint(buckets))) {
      throw fault(call.expr(1), "quantile: wanted a whole number from 2 to " + BUCKETS_MOST);
    }
    Quantiles learned = new Quantiles(of, (int) buckets);
    quantiles.add(learned);
    return (Num) learned::bucket;
  }

  private Value coalesce(CallContext call) {
    takes(call, 2, 20);
    List<Value> values = new ArrayList<>();
    for (ExprContext expr : call.expr()) {
      values.add(of(expr));
      if (values.get(0).type() != values.get(values.size() - 1).type()) {
        throw fault(
            expr,
            "coalesce: found "
                + word(values.get(values.size() - 1))
                + " after "
                + word(values.get(0)));
      }
    }
    return switch (values.get(0).type()) {
      case NUMBER ->
          (Num)
              row -> {
                double found = Double.NaN;
                for (int i = 0; i < values.size() && Double.isNaN(found); i++) {
                  found = ((Num) values.get(i)).of(row);
                }
                return found;
              };
      case TEXT ->
          (Txt)
              row -> {
                String found = null;
                for (int i = 0; i < values.size() && found == null; i++) {
                  found = ((Txt) values.get(i)).of(row);
                }
                return found;
              };
      case TRUTH -> throw fault(call, "coalesce: true or false is never missing");
    };
  }

  private Value missing(CallContext call) {
    takes(call, 1, 1);
    Value of = of(call.expr(0));
    return (Bool)
        row ->
            of instanceof Num num
                ? Double.isNaN(num.of(row))
                : of instanceof Txt txt && txt.of(row) == null;
  }

  private Pattern pattern(ExprContext expr, String what) {
    if (!(expr instanceof TextContext text)) {
      throw fault(expr, what + ": the regular expression must be written out");
    }
    try {
      return Pattern.compile(unquoted(text.getText()));
    } catch (PatternSyntaxException fault) {
      throw fault(expr, what + ": no regular expression: " + fault.getDescription());
    }
  }

  private static double read(String text) {
    try {
      return text == null ? Double.NaN : finite(Double.parseDouble(text));
    } catch (NumberFormatException fault) {
      return Double.NaN;
    }
  }

  private static String write(double value) {
    return Double.isNaN(value)
        ? null
        : value == Math.rint(value) && Math.abs(value) < 1e15
            ? String.valueOf((long) value)
            : String.valueOf(value);
  }
}
