package tidebank.testbed.scale;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.OptionalDouble;

/** The tables of the capacity page, from the lines of a run and the operators' target. */
final class CapacityTables {
  private static final String NOTHING = "-";
  private static final double LARGE = 1000;
  private static final double LEAST = 0.0005;
  private static final double PERCENT = 100;
  private static final double LEAST_PERCENT = 0.05;

  private final RunFacts run;
  private final List<Fit> fits;
  private final Target target;

  CapacityTables(RunFacts run, List<Fit> fits, Target target) {
    this.run = run;
    this.fits = fits;
    this.target = target;
  }

  /** All tables by the names of their markers. */
  Map<String, String> all() {
    Map<String, String> tables = new LinkedHashMap<>();
    tables.put("run", run());
    tables.put("gatherer", role(Role.GATHERER));
    tables.put("discovery", role(Role.DISCOVERY));
    tables.put("independence", independence());
    tables.put("not-measured", notMeasured());
    return tables;
  }

  private String run() {
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

  private String role(Role role) {
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
        .filter(fit -> fit.quantity().role() == role && fit.extrapolates())
        .sorted(Comparator.comparingDouble(this::breakingMultiple))
        .forEach(fit -> table.append(row(fit)));
    return table.toString();
  }

  private String row(Fit fit) {
    Size size = target.fleet().size();
    OptionalDouble budget = Budgets.of(fit.quantity(), target);
    return line(
        fit.quantity().label(),
        fit.quantity().unit(),
        slope(fit),
        number(fit.constant()),
        number(fit.residual()),
        percent(fit.spread()),
        measured(fit),
        number(fit.at(target.today())),
        number(fit.at(size)),
        budget.isPresent() ? number(budget.getAsDouble()) : "none stated",
        ratio(fit.driver().count(size) / fit.countHigh()),
        breaking(fit, budget));
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

  private static String measured(Fit fit) {
    return number(fit.countLow())
        + " to "
        + number(fit.countHigh())
        + " "
        + fit.driver().plural()
        + ", "
        + fit.points()
        + " points";
  }

  /** The multiple of today's fleet at which the budget is passed; infinite if that is not seen. */
  private double breakingMultiple(Fit fit) {
    OptionalDouble budget = Budgets.of(fit.quantity(), target);
    if (budget.isEmpty()) {
      return Double.POSITIVE_INFINITY;
    }
    if (!fit.grows()) {
      return fit.mean() > budget.getAsDouble() ? 0 : Double.MAX_VALUE;
    }
    double count = (budget.getAsDouble() - fit.constant()) / fit.slope();
    return fit.driver().multiple(Math.max(0, count), target.today());
  }

  private String breaking(Fit fit, OptionalDouble budget) {
    if (budget.isEmpty()) {
      return NOTHING;
    }
    double multiple = breakingMultiple(fit);
    return multiple == Double.MAX_VALUE ? "no growth seen" : ratio(multiple);
  }

  /** What a quantity does as the count grows that it is not taken to grow with. */
  private String independence() {
    StringBuilder table =
        new StringBuilder(
            "| role | quantity | over | slope (95% interval) | growth over that range, of the"
                + " mean |\n"
                + "| --- | --- | --- | --- | --- |\n");
    for (Fit fit : fits) {
      if (!fit.extrapolates() && fit.quantity().driver() != Driver.LIST_ENTRIES) {
        double growth = fit.slope() * (fit.countHigh() - fit.countLow());
        table.append(
            line(
                fit.quantity().role().name().toLowerCase(Locale.ROOT),
                fit.quantity().label(),
                measured(fit),
                slope(fit),
                fit.mean() == 0 ? NOTHING : percent(growth / fit.mean())));
      }
    }
    return table.toString();
  }

  private static String notMeasured() {
    StringBuilder table = new StringBuilder("| role | state |\n| --- | --- |\n");
    for (Role role : Role.notMeasured()) {
      table.append(line(role.label(), "not measured"));
    }
    return table.toString();
  }

  private static String line(String... cells) {
    return "| " + String.join(" | ", cells) + " |\n";
  }

  private static String ratio(double value) {
    return value > LARGE ? "over 1,000x" : String.format(Locale.ROOT, "%.2fx", value);
  }

  private static String percent(double share) {
    double percent = share * PERCENT;
    return Math.abs(percent) < LEAST_PERCENT ? "0" : String.format(Locale.ROOT, "%.1f%%", percent);
  }

  /** Three or four digits; what is below the rounding of sums is nothing. */
  private static String number(double value) {
    double size = Math.abs(value);
    if (size < LEAST) {
      return "0";
    }
    if (size >= LARGE || value == Math.rint(value)) {
      return String.format(Locale.ROOT, "%,.0f", value);
    }
    return String.format(Locale.ROOT, size >= 1 ? "%.1f" : "%.3f", value);
  }
}
