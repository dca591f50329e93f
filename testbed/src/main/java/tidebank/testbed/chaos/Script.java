package tidebank.testbed.chaos;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import tidebank.config.MalformedInputException;
import tidebank.config.Toml;
import tidebank.errors.TestbedException;

/**
 * A fault injection script: a list of operations on the processes and links of a test cluster. Each
 * operation is carried out once its condition is met. Scripts are stored as TOML, in which enum
 * constants are written in lower case and with hyphens.
 *
 * @param name name of the script
 * @param description what the script tests, in one sentence
 * @param coordinators number of coordinators
 * @param members number of members
 * @param leaseMs lease duration, in milliseconds
 * @param maxClockDrift clock drift bound in the coordinators' configuration; 0.05 allows clock
 *     rates from 0.95 to 1.05
 * @param clockRates clock rates by process name, for processes that start with a skewed clock; all
 *     others have rate 1
 * @param steps steps in the order in which they run
 */
public record Script(
    String name,
    String description,
    int coordinators,
    int members,
    long leaseMs,
    double maxClockDrift,
    Map<String, Double> clockRates,
    List<Step> steps) {

  /** A condition that must be met before a step runs. Counts start at the previous step. */
  public enum Condition {
    /** Always met. */
    NOTHING,
    /** {@code count} more reports were published. */
    PUBLICATIONS,
    /** {@code count} more renewals of the observed processes succeeded. */
    RENEWALS,
    /** The observed processes sent {@code count} more commands; a retransmission counts again. */
    CALLS,
    /** The observed processes sent {@code count} more claims of the report task. */
    CLAIMS,
    /** Any process sent {@code count} more removal lists for publication. */
    LISTS,
    /** The report task was granted under a newer fencing token. */
    GRANT,
    /** A report was published under a newer fencing token. */
    SUCCESSOR,
    /** The report task has no holder, or its lease has expired. */
    EXPIRED,
    /** Every task has a holder with an unexpired lease. */
    OWNED,
    /** At least {@code count} members have an unexpired session with the coordinators. */
    ALIVE,
    /** A coordinator other than the previous leader is the leader. */
    LEADER,
    /** No coordinator answers as the leader. */
    LEADERLESS,
    /** All observed processes have ended. */
    ENDED;

    private static final Set<Condition> ABOUT_PROCESSES =
        EnumSet.of(RENEWALS, CALLS, CLAIMS, ENDED);

    /** Returns whether the condition depends on the step's observed processes. */
    boolean observesProcesses() {
      return ABOUT_PROCESSES.contains(this);
    }
  }

  /** An operation that a step carries out. */
  public enum Operation {
    /** Does nothing. */
    NOTHING,
    /** Sends SIGSTOP. */
    STOP,
    /** Sends SIGCONT. */
    WAKE,
    /** Sends SIGKILL. */
    KILL,
    /** Sends SIGTERM. */
    TERM,
    /** Restarts a process that has ended, under the same name and with its data directory. */
    START,
    /** Injects a fault into the links from the target to the link target. */
    LINK,
    /** Backs up the data directory of a coordinator that is not running, for OLDER_DISK. */
    COPY_DISK,
    /** Deletes the data directory of a coordinator that is not running. */
    EMPTY_DISK,
    /** Restores the backed-up data directory of a coordinator that is not running. */
    OLDER_DISK,
    /** Truncates each snapshot of a coordinator that is not running to half its length. */
    DAMAGED_DISK,
    /** Sends {@code queries} queries to each member that is running and not suspended. */
    SCANS,
    /** Creates {@code queries} expired files and as many unexpired ones in the shared folder. */
    LITTER,
    /** Drains a member by an operator command. */
    DRAIN,
    /** Admits a drained member by an operator command. */
    ADMIT,
    /** Assigns the report task to a member by an operator command. */
    MOVE,
    /** Removes the assignment of the report task, so that any member may hold it. */
    MOVE_ANYWHERE;

    private static final Set<Operation> WITHOUT_TARGET =
        EnumSet.of(NOTHING, SCANS, LITTER, MOVE_ANYWHERE);

    /** Returns whether a step with this operation must name its target. */
    boolean needsTarget() {
      return !WITHOUT_TARGET.contains(this);
    }
  }

  /**
   * A step of a script. It names processes by process name, by an alias from an earlier step, or by
   * a role that is resolved when it is used:
   *
   * <ul>
   *   <li>{@code owner}: the holder of the report task
   *   <li>{@code remover}: the holder of the retention task
   *   <li>{@code other}: the first member that does not hold the report task
   *   <li>{@code leader}: the leading coordinator
   *   <li>{@code follower}: the first coordinator that does not lead
   *   <li>{@code members}, {@code stewards}, {@code all}: all members, all coordinators, or both
   * </ul>
   *
   * @param condition condition that must be met before the operation
   * @param count number of events that the condition requires
   * @param queries number of queries to send; for LITTER, number of files to create
   * @param observed processes that the condition depends on
   * @param operation operation to carry out
   * @param target processes that the operation applies to
   * @param alias name under which later steps refer to the target, or empty
   * @param linkTarget processes at the other end of the links
   * @param fault fault to inject into the links, or null
   * @param ms delay or period of the fault, in milliseconds
   * @param jitterMs maximum random addition to the delay, in milliseconds
   * @param bytesPerS bandwidth limit of the fault, in bytes per second
   * @param clockRate clock rate of a started process
   */
  public record Step(
      Condition condition,
      int count,
      int queries,
      String observed,
      Operation operation,
      String target,
      String alias,
      String linkTarget,
      FaultyLink.Fault fault,
      long ms,
      long jitterMs,
      long bytesPerS,
      double clockRate) {
    static final int DEFAULT_BYTES_PER_S = 400;

    /** Clears the components that the condition or the fault does not use. */
    public Step {
      observed = condition.observesProcesses() ? observed : "";
      ms = fault == null ? 0 : ms;
      jitterMs = fault == null ? 0 : jitterMs;
      bytesPerS = fault == null ? 0 : bytesPerS;
    }

    /** Creates a step with an operation on processes. */
    static Step of(
        Condition condition, int count, Operation operation, String target, String alias) {
      return new Step(
          condition, count, 1, "members", operation, target, alias, "", null, 0, 0, 0, 1);
    }

    /** Creates a step that injects a fault into links, with a jitter of half the delay. */
    static Step link(
        Condition condition, int count, String from, String to, FaultyLink.Fault fault, long ms) {
      return new Step(
          condition,
          count,
          1,
          "members",
          Operation.LINK,
          from,
          "",
          to,
          fault,
          ms,
          ms / 2,
          DEFAULT_BYTES_PER_S,
          1);
    }

    /**
     * Returns a description of the operation for the timeline and the report. {@link
     * UnownedIntervals} matches it.
     */
    public String describe() {
      return operation == Operation.LINK ? describeLink() : describeOperation();
    }

    private String describeLink() {
      return "link "
          + target
          + " to "
          + linkTarget
          + ": "
          + toWords(fault)
          + (ms > 0 ? " " + ms + " ms" : "");
    }

    private String describeOperation() {
      boolean hasQuantity = operation == Operation.SCANS || operation == Operation.LITTER;
      return toWords(operation)
          + (target.isEmpty() ? "" : " " + target)
          + (alias.isEmpty() ? "" : " as " + alias)
          + (hasQuantity ? " " + queries : "")
          + (clockRate == 1 ? "" : " with a clock at " + clockRate);
    }

    private static String toWords(Enum<?> constant) {
      return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
  }

  /**
   * Returns the names of the built-in scripts.
   *
   * @throws IOException if the list of scripts can't be read
   */
  public static List<String> builtInNames() throws IOException {
    return readResource("index.txt").lines().filter(line -> !line.isBlank()).toList();
  }

  /**
   * Reads a built-in script by name, or a script file by path.
   *
   * @throws TestbedException.ScriptUnknown if the argument is neither a built-in script nor a file
   * @throws IOException if the script can't be read or is invalid
   */
  public static Script read(String nameOrFile) throws IOException {
    if (builtInNames().contains(nameOrFile)) {
      String file = nameOrFile + ".toml";
      return read(Toml.read(file, readResource(file)), nameOrFile);
    }
    Path file = Path.of(nameOrFile);
    if (!Files.isRegularFile(file)) {
      throw new TestbedException.ScriptUnknown(nameOrFile, builtInNames());
    }
    return read(Toml.read(file), file.getFileName().toString().replace(".toml", ""));
  }

  private static String readResource(String name) throws IOException {
    try (InputStream in = Script.class.getResourceAsStream(name)) {
      if (in == null) {
        throw new IOException(
            "built-in script resource " + name + " is missing from the class path");
      }
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }

  static Script read(Toml file, String name) throws MalformedInputException {
    return new ScriptReader(file).read(name);
  }

  /** Returns the script as a TOML file that {@link #read(String)} accepts. */
  public String toToml() {
    return ScriptWriter.toToml(this);
  }
}
