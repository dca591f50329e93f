package tidebank.testbed.chaos;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.regex.Pattern;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;
import tidebank.testbed.chaos.Script.Condition;
import tidebank.testbed.chaos.Script.Operation;
import tidebank.testbed.chaos.Script.Step;

/** Parses scripts from TOML. Reports all errors of a file together, each with its line number. */
final class ScriptReader {
  private static final Pattern PROCESS_NAME = Pattern.compile("[gs]\\d{1,2}");
  private static final Pattern ALIAS = Pattern.compile("[a-z][a-z-]*");
  private static final Pattern CLOCK_RATE = Pattern.compile("(0\\.[5-9]\\d*|1(\\.\\d+)?)");
  private static final Set<String> ROLES =
      Set.of("owner", "remover", "other", "leader", "follower", "members", "stewards", "all");
  private static final int MAX_COUNT = 1000;
  private static final int MAX_FAULT_MS = 60_000;
  private static final int MAX_BYTES_PER_S = 1 << 30;

  private final Toml file;

  /** The roles, and the aliases defined so far. */
  private final Set<String> knownNames = new HashSet<>(ROLES);

  ScriptReader(Toml file) {
    this.file = file;
  }

  /**
   * Parses the script.
   *
   * @param name name of the script
   * @throws MalformedInputException if the file has errors
   */
  Script read(String name) throws MalformedInputException {
    Toml.Table root = file.root();
    Map<String, Double> clockRates = readClockRates(root);
    List<Step> steps = new ArrayList<>();
    for (Toml.Table table : root.tables("steps")) {
      steps.add(readStep(table));
    }
    Script script =
        new Script(
            name,
            root.text("about", ""),
            (int) root.integer("stewards", 3, 1, 5),
            (int) root.integer("members", 3, 1, 12),
            root.integer("lease_ms", 1000, 200, 60_000),
            root.number("drift", 0.05, 0, 0.2),
            clockRates,
            steps);
    if (script.coordinators() % 2 == 0) {
      root.addFault("stewards", "found " + script.coordinators() + ", wanted an odd number");
    }
    file.check();
    return script;
  }

  private Map<String, Double> readClockRates(Toml.Table root) {
    Map<String, Double> rates = new TreeMap<>();
    root.table("clocks")
        .textsByKey()
        .forEach(
            (process, rate) -> {
              if (PROCESS_NAME.matcher(process).matches() && CLOCK_RATE.matcher(rate).matches()) {
                rates.put(process, Double.parseDouble(rate));
              } else {
                file.addFault(
                    "clocks." + process,
                    "found "
                        + rate
                        + ", wanted a rate from 0.5 to under 2 for a process such as g0 or s1");
              }
            });
    return rates;
  }

  private Step readStep(Toml.Table table) {
    Step step =
        new Step(
            table.choice("await", Condition.NOTHING, Condition.class),
            (int) table.integer("count", 1, 1, MAX_COUNT),
            (int) table.integer("scans", 1, 1, MAX_COUNT),
            table.text("of", "owner"),
            table.choice("do", Operation.NOTHING, Operation.class),
            table.text("who", ""),
            table.text("as", ""),
            table.text("to", ""),
            table.choice("fault", null, FaultyLink.Fault.class),
            table.integer("ms", 0, 0, MAX_FAULT_MS),
            table.integer("jitter_ms", 0, 0, MAX_FAULT_MS),
            table.integer("bytes_s", Step.DEFAULT_BYTES_PER_S, 1, MAX_BYTES_PER_S),
            table.number("clock", 1, 0.5, 2));
    boolean link = step.operation() == Operation.LINK;
    if (link && (step.fault() == null || step.linkTarget().isEmpty())) {
      table.addFault("do", "a link needs `to` and `fault`");
    }
    if (step.operation().needsTarget() || !step.target().isEmpty()) {
      checkProcessName(table, "who", step.target());
    }
    if (!step.observed().isEmpty()) {
      checkProcessName(table, "of", step.observed());
    }
    if (link) {
      checkProcessName(table, "to", step.linkTarget());
    }
    checkAlias(table, step.alias());
    knownNames.add(step.alias());
    return step;
  }

  private void checkAlias(Toml.Table table, String alias) {
    if (!alias.isEmpty() && (!ALIAS.matcher(alias).matches() || ROLES.contains(alias))) {
      table.addFault(
          "as",
          "found '"
              + alias
              + "', wanted lower-case letters and hyphens, and none of the reserved names "
              + String.join(", ", new TreeSet<>(ROLES)));
    }
  }

  private void checkProcessName(Toml.Table table, String key, String name) {
    if (PROCESS_NAME.matcher(name).matches() || knownNames.contains(name)) {
      return;
    }
    String suggestion = Toml.findNearest(name, knownNames);
    table.addFault(
        key,
        "found '"
            + name
            + "', wanted a process such as g0 or s1, an alias set by `as` in an earlier step, or"
            + " one of "
            + String.join(", ", new TreeSet<>(ROLES))
            + (suggestion == null ? "" : "; did you mean \"" + suggestion + "\"?"));
  }
}
