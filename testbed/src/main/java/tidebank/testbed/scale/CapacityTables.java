package tidebank.testbed.scale;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;

/** The tables of the capacity page, computed from the fits of a run and the operators' target. */
final class CapacityTables {
  private static final String EMPTY_CELL = "-";
  private static final double THOUSAND = 1000;
  private static final double MIN_SHOWN = 0.0005;
  private static final double PERCENT = 100;
  private static final double MIN_SHOWN_PERCENT = 0.05;

  private final RunFacts run;
  private final List<Fit> fits;
  private final Target target;

  CapacityTables(RunFacts run, List<Fit> fits, Target target) {
    this.run = run;
    this.fits = fits;
    this.target = target;
  }

  /** Returns the text of each table, by the name of its markers. */
  Map<String, String> byMarker() {
    Map<String, String> tables = new LinkedHashMap<>();
    tables.put("run", runSummary());
    tables.put("gatherer", roleTable(Role.GATHERER));
    tables.put("discovery", roleTable(Role.DISCOVERY));
    tables.put("independence", independenceTable());
    tables.put("not-measured", notMeasuredTable());
    return tables;
  }

  private String runSummary() {
    Machine machine = run.machine();
    return "Run of `"
        + run.profile()
        + "`: seed "
        + run.seed()
        + ", "
        + run.repeats()
        + " repeats, "
        + run.listChanges()
        + " list changes a repeat, ladders through "
        + run.fixed()
        + " (gatherers x shard servers); "
        + machine.processors()
        + " processors, "
        + number(machine.memoryBytes() / 1e9)
        + " GB, "
        + machine.system()
        + " "
        + machine.architecture()
        + ", Java "
        + machine.java()
        + ".\n";
  }

  private String roleTable(Role role) {
    StringBuilder table =
        new StringBuilder(
            "| quantity | unit | slope (95% interval) | constant | residual | spread of repeats |"
                + " measured over |"
                + " model at today's "
                + target.today()
                + " | model at the target "
                + target.fleet().size()
                + " | budget | extrapolated by | breaks at |\n"
                + "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n");
    fits.stream()
        .filter(fit -> fit.quantity().role() == role && fit.usesQuantityDriver())
        .sorted(Comparator.comparingDouble(this::breakingMultiple))
        .forEach(fit -> table.append(fitRow(fit)));
    return table.toString();
  }

  private String fitRow(Fit fit) {
    Size size = target.fleet().size();
    OptionalDouble budget = Budgets.of(fit.quantity(), target);
    return row(
        fit.quantity().label(),
        fit.quantity().unit(),
        slope(fit),
        number(fit.constant()),
        number(fit.residual()),
        percent(fit.spread()),
        measuredRange(fit),
        number(fit.predict(target.today())),
        number(fit.predict(size)),
        budget.isPresent() ? number(budget.getAsDouble()) : "none stated",
        ratio(fit.driver().count(size) / fit.countHigh()),
        breaksAt(fit, budget));
  }

  private static String slope(Fit fit) {
    return number(fit.slope())
        + " a "
        + fit.driver().label()
        + " ("
        + number(fit.slopeLow())
        + " to "
        + number(fit.slopeHigh())
        + ")";
  }

  private static String measuredRange(Fit fit) {
    return number(fit.countLow())
        + " to "
        + number(fit.countHigh())
        + " "
        + fit.driver().plural()
        + ", "
        + fit.points()
        + " points";
  }

  /**
   * Returns the multiple of today's fleet at which the budget is reached: infinity without a
   * budget, and where no growth is seen 0 if the mean exceeds the budget, else {@link
   * Double#MAX_VALUE}.
   */
  private double breakingMultiple(Fit fit) {
    OptionalDouble budget = Budgets.of(fit.quantity(), target);
    if (budget.isEmpty()) {
      return Double.POSITIVE_INFINITY;
    }
    if (!fit.hasGrowth()) {
      return fit.mean() > budget.getAsDouble() ? 0 : Double.MAX_VALUE;
    }
    double count = (budget.getAsDouble() - fit.constant()) / fit.slope();
    return fit.driver().growthFactor(Math.max(0, count), target.today());
  }

  private String breaksAt(Fit fit, OptionalDouble budget) {
    if (budget.isEmpty()) {
      return EMPTY_CELL;
    }
    double multiple = breakingMultiple(fit);
    return multiple == Double.MAX_VALUE ? "no growth seen" : ratio(multiple);
  }

  /** Returns the table of the fits over counts that the quantities are assumed not to grow with. */
  private String independenceTable() {
    StringBuilder table =
        new StringBuilder(
            "| role | quantity | over | slope (95% interval) | growth over that range, of the"
                + " mean |\n"
                + "| --- | --- | --- | --- | --- |\n");
    for (Fit fit : fits) {
      if (!fit.usesQuantityDriver() && fit.quantity().driver() != Driver.LIST_ENTRIES) {
        double growth = fit.slope() * (fit.countHigh() - fit.countLow());
        table.append(
            row(
                fit.quantity().role().name().toLowerCase(Locale.ROOT),
                fit.quantity().label(),
                measuredRange(fit),
                slope(fit),
                fit.mean() == 0 ? EMPTY_CELL : percent(growth / fit.mean())));
      }
    }
    return table.toString();
  }

  private static String notMeasuredTable() {
    StringBuilder table = new StringBuilder("| role | state |\n| --- | --- |\n");
    for (Role role : Role.notMeasured()) {
      table.append(row(role.label(), "not measured"));
    }
    return table.toString();
  }

  private static String row(String... cells) {
    return "| " + String.join(" | ", cells) + " |\n";
  }

  private static String ratio(double value) {
    return value > THOUSAND ? "over 1,000x" : String.format(Locale.ROOT, "%.2fx", value);
  }

  private static String percent(double share) {
    double percent = share * PERCENT;
    return Math.abs(percent) < MIN_SHOWN_PERCENT
        ? "0"
        : String.format(Locale.ROOT, "%.1f%%", percent);
  }

  /**
   * Formats a number: without decimals from 1,000 and for whole numbers, else with one decimal from
   * 1 and three below. Values under 0.0005 are rounding errors of sums and shown as 0.
   */
  private static String number(double value) {
    double magnitude = Math.abs(value);
    if (magnitude < MIN_SHOWN) {
      return "0";
    }
    if (magnitude >= THOUSAND || value == Math.rint(value)) {
      return String.format(Locale.ROOT, "%,.0f", value);
    }
    return String.format(Locale.ROOT, magnitude >= 1 ? "%.1f" : "%.3f", value);
  }
}
