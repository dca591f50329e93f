package tidebank.testbed.bench;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import tidebank.testbed.trace.expr.Compiler;
import tidebank.testbed.trace.expr.ExpressionBaseVisitor;
import tidebank.testbed.trace.expr.ExpressionLexer;
import tidebank.testbed.trace.expr.ExpressionParser;
import tidebank.testbed.trace.expr.Value;
import tidebank.testbed.trace.layout.Column;
import tidebank.testbed.trace.layout.RawRow;

/** Expressions made ready against walking the parse tree with boxed values, over the same rows. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Fork(1)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
public class ExpressionBench {
  private static final String SOURCE =
      "when class >= 2 then 6 + min(coalesce(cpu, 0), 0.5) * 400 when class = 1 then cpu * 2 else"
          + " -(1 + cpu)";
  private static final List<Column> COLUMNS =
      List.of(
          new Column("class", Column.Kind.NUMBER, "", false, ""),
          new Column("cpu", Column.Kind.NUMBER, "", false, ""));

  private final RawRow[] rows = new RawRow[1024];
  private Value.Num compiled;
  private ExpressionParser.ExprContext tree;
  private int at;

  @Setup
  public void setup() throws Exception {
    for (int i = 0; i < rows.length; i++) {
      rows[i] =
          new RawRow(
              i, "", new String[2], new double[] {i % 4, i % 10 == 0 ? Double.NaN : i / 2048.0});
    }
    compiled = (Value.Num) Compiler.compile(SOURCE, COLUMNS, new ArrayList<>());
    tree =
        new ExpressionParser(
                new CommonTokenStream(new ExpressionLexer(CharStreams.fromString(SOURCE))))
            .whole()
            .expr();
    for (RawRow row : rows) {
      double one = compiled.of(row);
      double other = (Double) new Walk(row).visit(tree);
      if (Double.compare(one, other) != 0) {
        throw new IllegalStateException(one + " and " + other);
      }
    }
  }

  @Benchmark
  public double compiled() {
    return compiled.of(rows[at++ & 1023]);
  }

  @Benchmark
  public Object walked() {
    return new Walk(rows[at++ & 1023]).visit(tree);
  }

  /** The plain way. */
  private static final class Walk extends ExpressionBaseVisitor<Object> {
    private final RawRow row;

    Walk(RawRow row) {
      this.row = row;
    }

    @Override
    public Object visitNumber(ExpressionParser.NumberContext number) {
      return Double.valueOf(number.getText());
    }

    @Override
    public Object visitColumn(ExpressionParser.ColumnContext column) {
      for (int i = 0; i < COLUMNS.size(); i++) {
        if (COLUMNS.get(i).name().equals(column.getText())) {
          return row.numbers()[i];
        }
      }
      throw new IllegalStateException();
    }

    @Override
    public Object visitInner(ExpressionParser.InnerContext inner) {
      return visit(inner.expr());
    }

    @Override
    public Object visitMinus(ExpressionParser.MinusContext minus) {
      return -(Double) visit(minus.expr());
    }

    @Override
    public Object visitArithmetic(ExpressionParser.ArithmeticContext sum) {
      double a = (Double) visit(sum.left);
      double b = (Double) visit(sum.right);
      return switch (sum.op.getText()) {
        case "+" -> a + b;
        case "-" -> a - b;
        default -> a * b;
      };
    }

    @Override
    public Object visitComparison(ExpressionParser.ComparisonContext comparison) {
      double a = (Double) visit(comparison.left);
      double b = (Double) visit(comparison.right);
      return comparison.op.getText().equals("=") ? a == b : a >= b;
    }

    @Override
    public Object visitChoice(ExpressionParser.ChoiceContext choice) {
      for (int i = 0; i < choice.cond.size(); i++) {
        if ((Boolean) visit(choice.cond.get(i))) {
          return visit(choice.value.get(i));
        }
      }
      return visit(choice.otherwise);
    }

    @Override
    public Object visitCall(ExpressionParser.CallContext call) {
      Double a = (Double) visit(call.expr(0));
      Double b = (Double) visit(call.expr(1));
      return call.NAME().getText().equals("min")
          ? Double.valueOf(Math.min(a, b))
          : a.isNaN() ? b : a;
    }
  }
}
