package tidebank.testbed.scale;

import java.nio.file.Path;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;

/**
 * The size to come and its budgets, as the operators state them; read from a file, never set here.
 */
public record Target(
    Size today, Fleet fleet, Configuration configuration, Control control, Faults faults) {
  /** The fleet to come and its load. */
  public record Fleet(
      Size size,
      double queriesPerS,
      int serversPerQuery,
      double answerMs,
      double answerShare,
      int regions,
      int zones) {}

  /** How often configuration changes, and by when it is in force everywhere. */
  public record Configuration(double changesPerDay, double inForceS) {}

  /** What control may cost: of each gatherer, and the machines set aside for the fleet. */
  public record Control(
      double coreShare, double memoryBytes, double bytesPerS, int machinesSetAside) {}

  /** What fails. */
  public record Faults(
      double machinesFailedPerDay,
      double restartsPerDay,
      double racksOrSwitchesPerWeek,
      double zonesPerYear) {}

  private static final double MB = 1e6;
  private static final double KB = 1e3;
  private static final double MOST = 1e9;

  public static Target read(Path path) throws MalformedInputException {
    return read(Toml.read(path));
  }

  static Target read(Toml file) throws MalformedInputException {
    Toml.Table root = file.root();
    Target target =
        new Target(
            size(root.table("today")),
            fleet(root.table("fleet")),
            configuration(root.table("configuration")),
            control(root.table("control")),
            faults(root.table("faults")));
    file.check();
    return target;
  }

  private static Fleet fleet(Toml.Table table) {
    return new Fleet(
        size(table),
        need(table, "queries_per_s"),
        (int) need(table, "shard_servers_per_query"),
        need(table, "answer_within_ms"),
        need(table, "answer_share"),
        (int) need(table, "regions"),
        (int) need(table, "zones"));
  }

  private static Configuration configuration(Toml.Table table) {
    return new Configuration(need(table, "changes_per_day"), need(table, "in_force_within_s"));
  }

  private static Control control(Toml.Table table) {
    return new Control(
        need(table, "core_share"),
        need(table, "memory_mb") * MB,
        need(table, "kb_per_s") * KB,
        (int) need(table, "machines_set_aside"));
  }

  private static Faults faults(Toml.Table table) {
    return new Faults(
        need(table, "machines_failed_per_day"),
        need(table, "restarts_per_day"),
        need(table, "racks_or_switches_per_week"),
        need(table, "zones_per_year"));
  }

  private static Size size(Toml.Table table) {
    return new Size((int) need(table, "gatherers"), (int) need(table, "shard_servers"));
  }

  /** A figure above 0; there is no default for what the operators state. */
  private static double need(Toml.Table table, String key) {
    if (!table.has(key)) {
      table.addFault(key, "is missing, wanted a number above 0");
      return 1;
    }
    return table.number(key, 1, Double.MIN_NORMAL, MOST);
  }
}
