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
 * A script: operations on the processes and links of a cluster, each carried out once its condition
 * is met. Stored as TOML, where the constants of the enums here are written in lower case.
 *
 * @param name of the script
 * @param description one sentence
 * @param coordinators number of coordinators
 * @param members number of members
 * @param leaseMs duration of a lease, in milliseconds
 * @param maxClockDrift by which clocks may be wrong, as the coordinators are configured
 * @param clockRates of processes whose clocks run fast or slow; the others have 1
 * @param steps in order
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

  /** What has to be observed before a step is taken, counted from the step before. */
  public enum Condition {
    /** Nothing. */
    NOTHING,
    /** So many more reports published. */
    PUBLICATIONS,
    /** So many more successful renewals of the observed processes. */
    RENEWALS,
    /** So many more commands sent by the observed processes. */
    CALLS,
    /** So many more claims of the report sent by the observed processes. */
    CLAIMS,
    /** So many more lists of removals sent to be published, by any process. */
    LISTS,
    /** A newer grant of the report. */
    GRANT,
    /** A publication of the report under a newer token. */
    SUCCESSOR,
    /** The last lease of the report has expired, and nobody holds it. */
    EXPIRED,
    /** Every task has a holder that is alive. */
    OWNED,
    /** So many members are alive, as the coordinators see it. */
    ALIVE,
    /** Another coordinator leads. */
    LEADER,
    /** No coordinator can decide anything. */
    LEADERLESS,
    /** The observed processes have ended. */
    ENDED;

    private static final Set<Condition> ABOUT_PROCESSES =
        EnumSet.of(RENEWALS, CALLS, CLAIMS, ENDED);

    /** Returns whether the condition is about the processes that the step observes. */
    boolean observesProcesses() {
      return ABOUT_PROCESSES.contains(this);
    }
  }

  /** What a step does. */
  public enum Operation {
    /** Nothing. */
    NOTHING,
    /** Sends SIGSTOP. */
    STOP,
    /** Sends SIGCONT. */
    WAKE,
    /** Sends SIGKILL. */
    KILL,
    /** Sends SIGTERM. */
    TERM,
    /** Starts a process that has ended, with its name and disk. */
    START,
    /** Puts a fault on the links from the target to the link target. */
    LINK,
    /** Copies the disk of a coordinator that is down, for OLDER_DISK. */
    COPY_DISK,
    /** Empties the disk of a coordinator that is down. */
    EMPTY_DISK,
    /** Restores the copied disk of a coordinator that is down. */
    OLDER_DISK,
    /** Cuts the snapshots of a coordinator that is down in half. */
    DAMAGED_DISK,
    /** Sends so many queries to each member that can answer. */
    SCANS,
    /** Puts so many expired files, and as many that are not, into the shared folder. */
    LITTER,
    /** Drains a member, as an operator. */
    DRAIN,
    /** Admits a drained member, as an operator. */
    ADMIT,
    /** Moves the report to a member, as an operator. */
    MOVE,
    /** Lets any member have the report, as an operator. */
    MOVE_ANYWHERE;

    private static final Set<Operation> WITHOUT_TARGET =
        EnumSet.of(NOTHING, SCANS, LITTER, MOVE_ANYWHERE);

    /** Returns whether a step with this operation must name its target. */
    boolean needsTarget() {
      return !WITHOUT_TARGET.contains(this);
    }
  }

  /**
   * A step. Processes are given by name, by an alias of an earlier step, or by role: {@code owner}
   * (holder of the report), {@code remover} (holder of the retention task) and {@code leader} at
   * that moment, {@code other} and {@code follower} the first process that is not, {@code members},
   * {@code stewards} and {@code all}.
   *
   * @param condition awaited first
   * @param count how much of the condition
   * @param queries how many queries, or files of LITTER
   * @param observed the processes that the condition is about
   * @param operation carried out then
   * @param target of the operation
   * @param alias for the target, by which later steps can name it
   * @param linkTarget the other end of the links
   * @param fault put on the links, or null
   * @param ms delay or period of the fault, in milliseconds
   * @param jitterMs random part of the delay, in milliseconds
   * @param bytesPerS bandwidth of the fault
   * @param clockRate of a started process
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

    /** Clears what has no meaning for the condition and the operation. */
    public Step {
      observed = condition.observesProcesses() ? observed : "";
      ms = fault == null ? 0 : ms;
      jitterMs = fault == null ? 0 : jitterMs;
      bytesPerS = fault == null ? 0 : bytesPerS;
    }

    /** A step with an operation on processes. */
    static Step of(
        Condition condition, int count, Operation operation, String target, String alias) {
      return new Step(
          condition, count, 1, "members", operation, target, alias, "", null, 0, 0, 0, 1);
    }

    /** A step with a fault, whose jitter is half of its delay. */
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

    /** Returns a description of the operation for people. */
    public String describe() {
      return operation == Operation.LINK ? describeLink() : describeOperation();
    }

    private String describeLink() {
      return "link "
          + target
          + " to "
          + linkTarget
          + ": "
          + words(fault)
          + (ms > 0 ? " " + ms + " ms" : "");
    }

    private String describeOperation() {
      boolean counts = operation == Operation.SCANS || operation == Operation.LITTER;
      return words(operation)
          + (target.isEmpty() ? "" : " " + target)
          + (alias.isEmpty() ? "" : " as " + alias)
          + (counts ? " " + queries : "")
          + (clockRate == 1 ? "" : " with a clock at " + clockRate);
    }

    private static String words(Enum<?> constant) {
      return constant.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }
  }

  /**
   * Returns the names of the built-in scripts.
   *
   * @throws IOException if their list can't be read
   */
  public static List<String> builtInNames() throws IOException {
    return readResource("index.txt").lines().filter(line -> !line.isBlank()).toList();
  }

  /**
   * Reads a built-in script by its name, or any file.
   *
   * @throws TestbedException.ScriptUnknown if it is neither
   * @throws IOException if it can't be read, or is no valid script
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
        throw new IOException("the program lacks its script " + name);
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
