package tidebank.testbed.chaos;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;
import tidebank.lease.CommandResult;
import tidebank.lease.LeaseCommand;
import tidebank.lease.LeaseTable;

/**
 * What went over the links, and what was done to whom, as seen from outside of all processes; in
 * microseconds since the run began. Written to by relays, the observer and the script, each under
 * this object's lock, and read once they have ended.
 */
public final class History {
  /** An answer that came as the answer to another call of its command already. */
  private static final TreeSet<String> LATE =
      new TreeSet<>(List.of("TB-1006", "TB-1007", "TB-1008", "TB-1010"));

  /**
   * A command of one session, however often it was sent.
   *
   * @param call when the first copy came by
   * @param back when the first answer came by, or {@link Long#MAX_VALUE}
   * @param copies how often it was sent
   */
  public record Asked(
      String from, LeaseCommand command, long call, long back, CommandResult answer, int copies) {}

  /** A state that somebody was told. */
  public record Read(String from, long call, long back, LeaseTable.State state) {}

  /** Something that was done or seen, for people. */
  public record Event(long at, String who, String what) {}

  private final long began = System.nanoTime();
  private final Map<String, Integer> rows = new HashMap<>();
  private final List<Asked> asked = new ArrayList<>();
  private final List<Read> reads = new ArrayList<>();
  private final List<Event> events = new ArrayList<>();
  private final List<String> faults = new ArrayList<>();
  private final Map<String, Integer> sent = new HashMap<>();

  /** The time of this history, in microseconds. */
  public long now() {
    return (System.nanoTime() - began) / 1000;
  }

  private static String key(LeaseCommand command) {
    return command.session() + '#' + command.sequence();
  }

  public synchronized void asked(String from, LeaseCommand command) {
    sent.merge(from, 1, Integer::sum);
    Integer row = rows.putIfAbsent(key(command), asked.size());
    if (row == null) {
      asked.add(new Asked(from, command, now(), Long.MAX_VALUE, null, 1));
      return;
    }
    Asked before = asked.get(row);
    asked.set(
        row,
        new Asked(
            from,
            before.command(),
            before.call(),
            before.back(),
            before.answer(),
            before.copies() + 1));
    if (!before.command().equals(command)) {
      faults.add(
          "one number for two commands of a session: " + before.command() + " and " + command);
    }
  }

  /** A decided answer. What only kept a call from being decided is none. */
  public synchronized void answered(LeaseCommand command, CommandResult answer) {
    int row = rows.get(key(command));
    Asked before = asked.get(row);
    if (before.answer() == null) {
      asked.set(
          row, new Asked(before.from(), command, before.call(), now(), answer, before.copies()));
    } else if (!before.answer().equals(answer)
        && (answer.error() == null || !LATE.contains(answer.error().code()))) {
      faults.add("two answers to " + command + ": " + before.answer() + " and " + answer);
    }
  }

  /** Commands that somebody sent so far, each copy counted. */
  public synchronized int sent(String from) {
    return sent.getOrDefault(from, 0);
  }

  /** Renewals that somebody has had answered so far. */
  public synchronized int renewals(String from) {
    return (int)
        asked.stream()
            .filter(
                one ->
                    one.from().equals(from)
                        && one.command().kind() == LeaseCommand.Kind.RENEW
                        && one.answer() != null
                        && one.answer().error() == null)
            .count();
  }

  /** Claims of a duty that somebody sent so far, answered or not. */
  public synchronized int claims(String from, String duty) {
    return (int)
        asked.stream()
            .filter(
                one ->
                    one.from().equals(from)
                        && one.command().kind() == LeaseCommand.Kind.CLAIM
                        && one.command().task().equals(duty))
            .count();
  }

  /** What was sent to be published under a duty so far, answered or not. */
  public synchronized int published(String duty) {
    return (int)
        asked.stream()
            .filter(
                one ->
                    one.command().kind() == LeaseCommand.Kind.PUBLISH
                        && one.command().task().equals(duty))
            .count();
  }

  public synchronized void read(String from, long call, LeaseTable.State state) {
    reads.add(new Read(from, call, now(), state));
  }

  public synchronized void event(String who, String what) {
    events.add(new Event(now(), who, what));
  }

  public synchronized List<Asked> asked() {
    return List.copyOf(asked);
  }

  public synchronized List<Read> reads() {
    return List.copyOf(reads);
  }

  public synchronized List<Event> events() {
    return List.copyOf(events);
  }

  /** What could be told to be wrong as it came by. */
  public synchronized List<String> faults() {
    return List.copyOf(faults);
  }
}
