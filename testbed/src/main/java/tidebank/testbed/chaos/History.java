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
 * What went over the links of a cluster and what was done to its processes, as seen from outside of
 * them. Times are microseconds since the history began. Thread-safe: written by the proxy, the
 * observer and the script, and read once they have ended.
 */
public final class History {
  /**
   * Errors of a result that a copy of a command may get after another copy was answered otherwise.
   */
  private static final Set<String> ERRORS_OF_LATE_COPIES =
      Set.of("TB-1006", "TB-1007", "TB-1008", "TB-1010");

  /**
   * A command, however often it was sent. Stored as JSON under the names given here.
   *
   * @param from the process that sent its latest copy
   * @param calledAt when the first copy was sent
   * @param returnedAt when the first result was seen, or {@link Long#MAX_VALUE}
   * @param result the first, or null
   * @param copies how often it was sent
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

    private RecordedCommand withResult(long at, CommandResult first) {
      return new RecordedCommand(from, command, calledAt, at, first, copies);
    }
  }

  /**
   * A read of the coordinators' state. Stored as JSON under the names given here.
   *
   * @param from the process that read it
   * @param calledAt when it was asked for
   * @param returnedAt when it was seen
   */
  @JsonPropertyOrder({"from", "call", "back", "state"})
  public record RecordedRead(
      String from,
      @JsonProperty("call") long calledAt,
      @JsonProperty("back") long returnedAt,
      LeaseTableState state) {}

  /**
   * Something that was done or seen, for people. Stored as JSON under the names given here.
   *
   * @param process or role that it concerns
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

  /** Returns the time of this history, in microseconds. */
  public long now() {
    return (System.nanoTime() - startedNs) / 1000;
  }

  private static String key(LeaseCommand command) {
    return command.session() + '#' + command.sequence();
  }

  /** Records that a process sent a command, or another copy of it. */
  public synchronized void recordSentCommand(String from, LeaseCommand command) {
    copiesSentByProcess.merge(from, 1, Integer::sum);
    Integer index = indexByCommandKey.putIfAbsent(key(command), commands.size());
    if (index == null) {
      commands.add(new RecordedCommand(from, command, now(), Long.MAX_VALUE, null, 1));
      return;
    }
    RecordedCommand first = commands.get(index);
    commands.set(index, first.withCopyFrom(from));
    if (!first.command().equals(command)) {
      violations.add(
          "one number for two commands of a session: " + first.command() + " and " + command);
    }
  }

  /** Records a decided result of a command. An error that only kept it undecided is none. */
  public synchronized void recordResult(LeaseCommand command, CommandResult result) {
    int index = indexByCommandKey.get(key(command));
    RecordedCommand recorded = commands.get(index);
    if (recorded.result() == null) {
      commands.set(index, recorded.withResult(now(), result));
    } else if (!recorded.result().equals(result)
        && (result.error() == null || !ERRORS_OF_LATE_COPIES.contains(result.error().code()))) {
      violations.add("two answers to " + command + ": " + recorded.result() + " and " + result);
    }
  }

  /** Records that a process read the coordinators' state. */
  public synchronized void recordRead(String from, long calledAt, LeaseTableState state) {
    reads.add(new RecordedRead(from, calledAt, now(), state));
  }

  /** Records an event for people. */
  public synchronized void recordEvent(String process, String description) {
    events.add(new TimelineEvent(now(), process, description));
  }

  /** Returns how many commands a process has sent, each copy counted. */
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

  /** Returns how many claims of a task a process has sent, answered or not. */
  public synchronized int countClaimsSentBy(String process, String task) {
    return count(
        recorded ->
            recorded.from().equals(process)
                && recorded.command().kind() == LeaseCommand.Kind.CLAIM
                && recorded.command().task().equals(task));
  }

  /** Returns how many publications of a task were sent by any process, answered or not. */
  public synchronized int countPublicationsSentFor(String task) {
    return count(
        recorded ->
            recorded.command().kind() == LeaseCommand.Kind.PUBLISH
                && recorded.command().task().equals(task));
  }

  private int count(Predicate<RecordedCommand> condition) {
    return (int) commands.stream().filter(condition).count();
  }

  /** Returns all commands, in the order of their first copies. */
  public synchronized List<RecordedCommand> commands() {
    return List.copyOf(commands);
  }

  /** Returns all reads, in the order in which they returned. */
  public synchronized List<RecordedRead> reads() {
    return List.copyOf(reads);
  }

  /** Returns all events for people, in order. */
  public synchronized List<TimelineEvent> events() {
    return List.copyOf(events);
  }

  /** Returns the violations that were seen while recording. */
  public synchronized List<String> violations() {
    return List.copyOf(violations);
  }
}
