package tidebank.testbed.chaos;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.annotation.JsonPropertyOrder;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseTableState;

/**
 * The recorded history of a run: commands, results and reads on the links of a cluster, and events
 * such as injected faults, all observed from outside the processes. Times are microseconds since
 * the history was created. Thread-safe: the proxy, the observer and the script write to it
 * concurrently; the checks read it after all of them have ended.
 */
public final class History {
  /** Codes of errors that a late copy of a command may get after another copy got a result. */
  private static final Set<String> ERRORS_OF_LATE_COPIES =
      Set.of("TB-1006", "TB-1007", "TB-1008", "TB-1010");

  /**
   * A command with all its copies. Stored as JSON with the property names given here.
   *
   * @param from process that sent the latest copy
   * @param calledAt time at which the first copy was sent
   * @param returnedAt time at which the first result was seen, or {@link Long#MAX_VALUE} if there
   *     is none
   * @param result first result, or null if there is none
   * @param copies number of times the command was sent
   */
  @JsonPropertyOrder({"from", "command", "call", "back", "answer", "copies"})
  public record RecordedCommand(
      String from,
      LeaseCommand command,
      @JsonProperty("call") long calledAt,
      @JsonProperty("back") long returnedAt,
      @JsonProperty("answer") CommandResult result,
      int copies) {
    private RecordedCommand withCopyFrom(String sender) {
      return new RecordedCommand(sender, command, calledAt, returnedAt, result, copies + 1);
    }

    private RecordedCommand withResult(long at, CommandResult firstResult) {
      return new RecordedCommand(from, command, calledAt, at, firstResult, copies);
    }
  }

  /**
   * A read of the coordinators' state. Stored as JSON with the property names given here.
   *
   * @param from process that read the state
   * @param calledAt time at which the read was sent
   * @param returnedAt time at which its result was seen
   * @param state state that was read
   */
  @JsonPropertyOrder({"from", "call", "back", "state"})
  public record RecordedRead(
      String from,
      @JsonProperty("call") long calledAt,
      @JsonProperty("back") long returnedAt,
      LeaseTableState state) {}

  /**
   * An event for the timeline and the report. Stored as JSON with the property names given here.
   *
   * @param at time of the event
   * @param process process or role that the event concerns
   * @param description description of the event
   */
  @JsonPropertyOrder({"at", "who", "what"})
  public record TimelineEvent(
      long at, @JsonProperty("who") String process, @JsonProperty("what") String description) {}

  private final long startedNs = System.nanoTime();
  private final Map<String, Integer> indexByCommandKey = new HashMap<>();
  private final List<RecordedCommand> commands = new ArrayList<>();
  private final List<RecordedRead> reads = new ArrayList<>();
  private final List<TimelineEvent> events = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final Map<String, Integer> copiesSentByProcess = new HashMap<>();

  /** Returns the current time, in microseconds since the history was created. */
  public long now() {
    return (System.nanoTime() - startedNs) / 1000;
  }

  private static String key(LeaseCommand command) {
    return command.session() + '#' + command.sequence();
  }

  /**
   * Records that a process sent a command or another copy of it. Two different commands with the
   * same session and sequence number are a violation.
   */
  public synchronized void recordSentCommand(String from, LeaseCommand command) {
    copiesSentByProcess.merge(from, 1, Integer::sum);
    Integer index = indexByCommandKey.putIfAbsent(key(command), commands.size());
    if (index == null) {
      commands.add(new RecordedCommand(from, command, now(), Long.MAX_VALUE, null, 1));
      return;
    }
    RecordedCommand recorded = commands.get(index);
    commands.set(index, recorded.withCopyFrom(from));
    if (!recorded.command().equals(command)) {
      violations.add(
          "same sequence number for two commands of a session: "
              + recorded.command()
              + " and "
              + command);
    }
  }

  /**
   * Records the result of a copy of a command. Must be called only with results that a leader
   * decided, not with errors that leave the command undecided. A result that differs from the first
   * one is a violation, unless it is an error that late copies may get.
   */
  public synchronized void recordResult(LeaseCommand command, CommandResult result) {
    int index = indexByCommandKey.get(key(command));
    RecordedCommand recorded = commands.get(index);
    if (recorded.result() == null) {
      commands.set(index, recorded.withResult(now(), result));
    } else if (!recorded.result().equals(result)
        && (result.error() == null || !ERRORS_OF_LATE_COPIES.contains(result.error().code()))) {
      violations.add(
          "two different results of " + command + ": " + recorded.result() + " and " + result);
    }
  }

  /** Records a read of the coordinators' state that returned now. */
  public synchronized void recordRead(String from, long calledAt, LeaseTableState state) {
    reads.add(new RecordedRead(from, calledAt, now(), state));
  }

  /** Records an event that happened now. */
  public synchronized void recordEvent(String process, String description) {
    events.add(new TimelineEvent(now(), process, description));
  }

  /** Returns how many commands a process has sent; each copy counts. */
  public synchronized int countCommandsSentBy(String process) {
    return copiesSentByProcess.getOrDefault(process, 0);
  }

  /** Returns how many renewals of a process succeeded. */
  public synchronized int countSuccessfulRenewalsBy(String process) {
    return count(
        recorded ->
            recorded.from().equals(process)
                && recorded.command().kind() == LeaseCommand.Kind.RENEW
                && recorded.result() != null
                && recorded.result().error() == null);
  }

  /** Returns how many claims of a task a process has sent, with or without a result. */
  public synchronized int countClaimsSentBy(String process, String task) {
    return count(
        recorded ->
            recorded.from().equals(process)
                && recorded.command().kind() == LeaseCommand.Kind.CLAIM
                && recorded.command().task().equals(task));
  }

  /** Returns how many publications of a task all processes sent, with or without a result. */
  public synchronized int countPublicationsSentFor(String task) {
    return count(
        recorded ->
            recorded.command().kind() == LeaseCommand.Kind.PUBLISH
                && recorded.command().task().equals(task));
  }

  private int count(Predicate<RecordedCommand> condition) {
    return (int) commands.stream().filter(condition).count();
  }

  /** Returns all commands, ordered by the time their first copies were sent. */
  public synchronized List<RecordedCommand> commands() {
    return List.copyOf(commands);
  }

  /** Returns all reads, ordered by the time they returned. */
  public synchronized List<RecordedRead> reads() {
    return List.copyOf(reads);
  }

  /** Returns all events, ordered by time. */
  public synchronized List<TimelineEvent> events() {
    return List.copyOf(events);
  }

  /** Returns the violations that were detected while recording. */
  public synchronized List<String> violations() {
    return List.copyOf(violations);
  }
}
