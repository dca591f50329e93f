package tidebank.testbed.scale;

import java.nio.file.Path;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;

/**
 * The planned size of the fleet and its budgets, as stated by the operators in a file. The code has
 * no defaults for them.
 *
 * @param today present size of the fleet
 */
public record Target(
    Size today, Fleet fleet, Configuration configuration, Control control, Faults faults) {
  /**
   * The planned fleet and its load.
   *
   * @param size planned counts of routers and shard servers
   * @param queriesPerS queries per second
   * @param serversPerQuery number of shard servers that a query goes to
   * @param answerWithinMs time in milliseconds within which queries have to be answered
   * @param answerShare share of the queries that this holds for
   * @param regions number of regions
   * @param zones number of zones
   */
  public record Fleet(
      Size size,
      double queriesPerS,
      int serversPerQuery,
      double answerWithinMs,
      double answerShare,
      int regions,
      int zones) {}

  /**
   * The rate of configuration changes, and the time within which a change has to take effect.
   *
   * @param effectiveWithinS time in seconds until a change has to be in effect in the whole fleet
   */
  public record Configuration(double changesPerDay, double effectiveWithinS) {}

  /**
   * The budget of the control plane.
   *
   * @param coreShare share of a processor core of each router
   * @param memoryBytes memory of each router
   * @param bytesPerS bytes per second of each router
   * @param machinesSetAside machines reserved for the control plane of the fleet
   */
  public record Control(
      double coreShare, double memoryBytes, double bytesPerS, int machinesSetAside) {}

  /** The expected rates of failures and restarts. */
  public record Faults(
      double machinesFailedPerDay,
      double restartsPerDay,
      double racksOrSwitchesPerWeek,
      double zonesPerYear) {}

  private static final double MB = 1e6;
  private static final double KB = 1e3;
  private static final double MAX_NUMBER = 1e9;

  /**
   * Reads a target from a file.
   *
   * @throws MalformedInputException if the file cannot be read or has faults; the message names all
   *     of them
   */
  public static Target read(Path path) throws MalformedInputException {
    return read(Toml.read(path));
  }

  static Target read(Toml file) throws MalformedInputException {
    Toml.Table root = file.root();
    Target target =
        new Target(
            readSize(root.table("today")),
            readFleet(root.table("fleet")),
            readConfiguration(root.table("configuration")),
            readControl(root.table("control")),
            readFaults(root.table("faults")));
    file.check();
    return target;
  }

  private static Fleet readFleet(Toml.Table table) {
    return new Fleet(
        readSize(table),
        requiredNumber(table, "queries_per_s"),
        (int) requiredNumber(table, "shard_servers_per_query"),
        requiredNumber(table, "answer_within_ms"),
        requiredNumber(table, "answer_share"),
        (int) requiredNumber(table, "regions"),
        (int) requiredNumber(table, "zones"));
  }

  private static Configuration readConfiguration(Toml.Table table) {
    return new Configuration(
        requiredNumber(table, "changes_per_day"), requiredNumber(table, "in_force_within_s"));
  }

  private static Control readControl(Toml.Table table) {
    return new Control(
        requiredNumber(table, "core_share"),
        requiredNumber(table, "memory_mb") * MB,
        requiredNumber(table, "kb_per_s") * KB,
        (int) requiredNumber(table, "machines_set_aside"));
  }

  private static Faults readFaults(Toml.Table table) {
    return new Faults(
        requiredNumber(table, "machines_failed_per_day"),
        requiredNumber(table, "restarts_per_day"),
        requiredNumber(table, "racks_or_switches_per_week"),
        requiredNumber(table, "zones_per_year"));
  }

  private static Size readSize(Toml.Table table) {
    return new Size(
        (int) requiredNumber(table, "gatherers"), (int) requiredNumber(table, "shard_servers"));
  }

  /** Returns a number above 0, and reports a missing key, because there are no defaults. */
  private static double requiredNumber(Toml.Table table, String key) {
    if (!table.has(key)) {
      table.addFault(key, "is missing, wanted a number above 0");
      return 1;
    }
    return table.number(key, 1, Double.MIN_NORMAL, MAX_NUMBER);
  }
}
