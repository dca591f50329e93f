package tidebank.lease;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult.Grant;

/**
 * The stewards' side: who is a member, who owns which duty until when, and what is published. A
 * deterministic machine; the same commands in the same order give the same answers and the same
 * state. The leading steward stamps each command with its term and its monotonic clock. Clocks of
 * two leaders have nothing in common, so that with the first command of a new term all that was not
 * over lasts a whole lease from then: the old leader cannot have granted more.
 */
public class LeaseTable {
  /** Operators' sessions whose last answer is kept, those that asked last. */
  private static final int OPERATORS = 64;

  /** How often a member's hold-off doubles that keeps coming and going. */
  private static final int DOUBLINGS = 5;

  /**
   * A name that is or was a member, in the time of the term; {@code eligibleAt}: it is meant for no
   * duty before.
   */
  public record Member(
      String name,
      String session,
      long expiresAt,
      long eligibleAt,
      int flapCount,
      boolean draining,
      boolean retired,
      long lastSequence,
      CommandResult lastResult) {
    private Member until(long at, long calm) {
      return new Member(
          name, session, at, calm, flapCount, draining, retired, lastSequence, lastResult);
    }

    private Member flagged(boolean drain, boolean retire) {
      return new Member(
          name, session, expiresAt, eligibleAt, flapCount, drain, retire, lastSequence, lastResult);
    }

    private Member answered(long call, CommandResult said) {
      return new Member(
          name, session, expiresAt, eligibleAt, flapCount, draining, retired, call, said);
    }
  }

  /**
   * A duty: the last token granted and to whom, until when; where it is meant to be and pinned;
   * what is published.
   */
  public record TaskLease(
      String task,
      long fencingToken,
      String holder,
      String session,
      long expiresAt,
      String assignedMember,
      String stickyMember,
      long revision,
      long publishingToken,
      String value) {
    private TaskLease held(long by, String whose, String in, long end) {
      return new TaskLease(
          task, by, whose, in, end, assignedMember, stickyMember, revision, publishingToken, value);
    }

    private TaskLease placed(String where, String pin) {
      return new TaskLease(
          task,
          fencingToken,
          holder,
          session,
          expiresAt,
          where,
          pin,
          revision,
          publishingToken,
          value);
    }

    private TaskLease published(String what) {
      return new TaskLease(
          task,
          fencingToken,
          holder,
          session,
          expiresAt,
          assignedMember,
          stickyMember,
          revision + 1,
          fencingToken,
          what);
    }
  }

  /** The last call of an operator's session, and what it came to. */
  public record Operator(String session, long lastSequence, CommandResult lastResult) {}

  /** All of the state, to be kept. */
  public record State(
      LeaseConfig config,
      long term,
      long leaderClock,
      long tokenFloor,
      List<Member> members,
      List<TaskLease> tasks,
      List<Operator> operators) {
    /** Duties that nobody has, by the member that each is meant for. */
    public SortedMap<String, List<String>> unclaimed() {
      SortedMap<String, List<String>> free = new TreeMap<>();
      tasks.stream()
          .filter(
              duty ->
                  !duty.assignedMember().isEmpty()
                      && (duty.holder().isEmpty() || leaderClock >= duty.expiresAt()))
          .forEach(
              duty ->
                  free.computeIfAbsent(duty.assignedMember(), member -> new ArrayList<>())
                      .add(duty.task()));
      return free;
    }

    /** The same as seen at this time of its term; for whoever is shown it. */
    public State asOf(long time) {
      return new State(
          config, term, Math.max(leaderClock, time), tokenFloor, members, tasks, operators);
    }
  }

  private LeaseConfig terms;
  private long term;
  private long now;

  /**
   * The greatest token of any duty that was taken out: one that comes back under its name goes on
   * from there.
   */
  private long tokenFloor;

  private final SortedMap<String, Member> members = new TreeMap<>();
  private final SortedMap<String, TaskLease> duties = new TreeMap<>();
  private final Map<String, Operator> operators = new LinkedHashMap<>();

  public LeaseTable(LeaseConfig terms) {
    this.terms = terms;
  }

  public LeaseTable(State state) {
    this(state.config());
    term = state.term();
    now = state.leaderClock();
    tokenFloor = state.tokenFloor();
    state.members().forEach(member -> members.put(member.name(), member));
    state.tasks().forEach(duty -> duties.put(duty.task(), duty));
    state.operators().forEach(operator -> operators.put(operator.session(), operator));
  }

  public State state() {
    return new State(
        terms,
        term,
        now,
        tokenFloor,
        List.copyOf(members.values()),
        List.copyOf(duties.values()),
        List.copyOf(operators.values()));
  }

  /** Takes one command, stamped by the leader of that term at that time of its clock, in µs. */
  public CommandResult apply(long in, long at, LeaseCommand command) {
    if (in > term) {
      newLeader(in, at);
    }
    now = Math.max(now, at);
    String name = command.member();
    Member before = members.get(name);
    boolean known =
        command.sentByMember() && before != null && before.session().equals(command.session());
    Operator operator = command.sentByMember() ? null : operators.get(command.session());
    long last = known ? before.lastSequence() : operator != null ? operator.lastSequence() : 0;
    if (last > 0 && repeated(command.sequence(), last)) {
      return known ? before.lastResult() : operator.lastResult();
    }
    CommandResult answer;
    try {
      if (command.sequence() < last) {
        throw new TidebankException.StaleSequenceNumber(
            command.session(), command.sequence(), last);
      }
      long revision = command.sentByMember() ? byMember(command, before) : byOperator(command);
      assign();
      answer = new CommandResult(null, grants(command.session()), wanted(command), terms, revision);
    } catch (TidebankException fault) {
      assign();
      return remember(
          command,
          new CommandResult(fault.details(), grants(command.session()), wanted(command), terms, 0));
    }
    return remember(command, answer);
  }

  private CommandResult remember(LeaseCommand command, CommandResult answer) {
    Member member = members.get(command.member());
    if (!command.sentByMember()) {
      operators.remove(command.session());
      operators.put(command.session(), new Operator(command.session(), command.sequence(), answer));
      if (operators.size() > OPERATORS) {
        operators.remove(operators.keySet().iterator().next());
      }
    } else if (member != null
        && member.session().equals(command.session())
        && command.sequence() > member.lastSequence()) {
      members.put(member.name(), member.answered(command.sequence(), answer));
    }
    return answer;
  }

  // ---- rules that must hold, one method each

  /**
   * With a new leader, whatever the old one may have granted or renewed last lasts a whole lease
   * from now.
   */
  protected void newLeader(long in, long at) {
    members.replaceAll(
        (name, member) ->
            member.until(
                member.expiresAt() > now ? at + terms.leaseUs() : at,
                at + Math.max(0, member.eligibleAt() - now)));
    duties.replaceAll(
        (name, duty) ->
            duty.held(
                duty.fencingToken(),
                duty.holder(),
                duty.session(),
                over(duty) ? at : at + terms.leaseUs()));
    term = in;
    now = at;
  }

  protected boolean repeated(long number, long last) {
    return number == last;
  }

  protected boolean over(TaskLease duty) {
    return duty.holder().isEmpty() || now >= duty.expiresAt();
  }

  protected long nextToken(TaskLease duty) {
    return duty.fencingToken() + 1;
  }

  /**
   * Whether a command speaks for the duty's owner: by the last token there is, and by the session
   * it was granted to.
   */
  protected boolean current(TaskLease duty, LeaseCommand command) {
    return command.fencingToken() == duty.fencingToken()
        && duty.session().equals(command.session());
  }

  // ---- members

  private long byMember(LeaseCommand command, Member before) throws TidebankException {
    if (command.kind() == LeaseCommand.Kind.JOIN) {
      join(command, before);
      return 0;
    }
    if (before == null || !before.session().equals(command.session())) {
      throw new TidebankException.MemberUnknown(command.member());
    }
    if (before.retired()) {
      throw new TidebankException.MemberRetired(command.member());
    }
    switch (command.kind()) {
      case RENEW -> {
        members.put(command.member(), before.until(now + terms.leaseUs(), before.eligibleAt()));
        duties.replaceAll(
            (name, duty) ->
                duty.session().equals(command.session()) && !over(duty)
                    ? duty.held(
                        duty.fencingToken(), duty.holder(), duty.session(), now + terms.leaseUs())
                    : duty);
      }
      case LEAVE -> {
        members.put(command.member(), before.until(now, before.eligibleAt()));
        duties.replaceAll(
            (name, duty) -> duty.session().equals(command.session()) ? free(duty) : duty);
      }
      case CLAIM -> claim(command);
      case RELEASE -> duties.put(command.task(), free(owned(command)));
      case PUBLISH -> {
        return publish(command);
      }
      default -> throw new IllegalStateException("not a member's: " + command.kind());
    }
    return 0;
  }

  private void join(LeaseCommand command, Member before) throws TidebankException {
    text("name", command.member());
    boolean same = before != null && before.session().equals(command.session());
    if (before != null && before.retired()) {
      throw new TidebankException.MemberRetired(command.member());
    }
    if (before != null && !same && before.expiresAt() > now) {
      throw new TidebankException.NameTaken(command.member(), before.expiresAt() - now);
    }
    if (before == null) {
      makeRoom();
    }
    // Who keeps coming and going gets duties ever later; a long life in between is forgiven.
    boolean soon =
        before != null && !same && now - before.expiresAt() < terms.leaseUs() << DOUBLINGS;
    int strikes =
        same ? before.flapCount() : soon ? Math.min(DOUBLINGS, before.flapCount() + 1) : 0;
    long calmAt =
        same ? before.eligibleAt() : strikes == 0 ? now : now + (terms.leaseUs() << strikes - 1);
    members.put(
        command.member(),
        new Member(
            command.member(),
            command.session(),
            now + terms.leaseUs(),
            calmAt,
            strikes,
            before != null && before.draining(),
            false,
            0,
            null));
  }

  /** Forgets one that is long gone where there are as many as may be. */
  private void makeRoom() throws TidebankException {
    if (members.size() < terms.maxMembers()) {
      return;
    }
    Member gone =
        members.values().stream()
            .filter(member -> member.expiresAt() <= now && !member.retired())
            .min(Comparator.comparingLong(Member::expiresAt))
            .orElseThrow(() -> new TidebankException.MemberLimitReached(terms.maxMembers()));
    members.remove(gone.name());
  }

  private void claim(LeaseCommand command) throws TidebankException {
    assign();
    TaskLease duty = duty(command.task());
    boolean own = duty.session().equals(command.session());
    if (!over(duty) && !own) {
      throw new TidebankException.LeaseHeldByOther(
          duty.task(), duty.holder(), duty.expiresAt() - now);
    }
    if (!duty.assignedMember().equals(command.member())) {
      throw new TidebankException.TaskAssignedElsewhere(
          duty.task(), duty.assignedMember(), command.member());
    }
    long token = over(duty) ? nextToken(duty) : duty.fencingToken();
    duties.put(
        duty.task(), duty.held(token, command.member(), command.session(), now + terms.leaseUs()));
  }

  private long publish(LeaseCommand command) throws TidebankException {
    TaskLease duty = owned(command);
    text("value", command.value());
    if (duty.revision() != command.revision()) {
      throw new TidebankException.RevisionConflict(
          duty.task(), command.revision(), duty.revision());
    }
    duties.put(duty.task(), duty.published(command.value()));
    return duty.revision() + 1;
  }

  /** The duty of a command that only its owner may give. */
  private TaskLease owned(LeaseCommand command) throws TidebankException {
    TaskLease duty = duty(command.task());
    if (!current(duty, command)) {
      throw new TidebankException.StaleFencingToken(
          duty.task(), command.fencingToken(), duty.fencingToken());
    }
    if (over(duty)) {
      throw new TidebankException.LeaseExpired(duty.task(), duty.fencingToken());
    }
    return duty;
  }

  private static TaskLease free(TaskLease duty) {
    return duty.held(duty.fencingToken(), "", "", duty.expiresAt());
  }

  // ---- operators

  private long byOperator(LeaseCommand command) throws TidebankException {
    switch (command.kind()) {
      case MOVE -> {
        TaskLease duty = duty(command.task());
        if (!command.member().isEmpty()) {
          member(command.member());
        }
        duties.put(duty.task(), duty.placed(duty.assignedMember(), command.member()));
      }
      case DRAIN, ADMIT ->
          members.put(
              command.member(),
              member(command.member()).flagged(command.kind() == LeaseCommand.Kind.DRAIN, false));
      case RETIRE -> members.put(command.member(), member(command.member()).flagged(false, true));
      case PLAN -> {
        terms = command.plan().config();
        duties
            .values()
            .removeIf(
                duty -> {
                  boolean out = !command.plan().tasks().contains(duty.task());
                  tokenFloor = out ? Math.max(tokenFloor, duty.fencingToken()) : tokenFloor;
                  return out;
                });
        command
            .plan()
            .tasks()
            .forEach(
                name ->
                    duties.computeIfAbsent(
                        name,
                        absent -> new TaskLease(name, tokenFloor, "", "", now, "", "", 0, 0, "")));
      }
      default -> throw new IllegalStateException("not an operator's: " + command.kind());
    }
    return 0;
  }

  private TaskLease duty(String name) throws TidebankException {
    TaskLease duty = duties.get(name);
    if (duty == null) {
      throw new TidebankException.TaskNotFound(name);
    }
    return duty;
  }

  private Member member(String name) throws TidebankException {
    Member member = members.get(name);
    if (member == null) {
      throw new TidebankException.MemberNotFound(name);
    }
    if (member.retired()) {
      throw new TidebankException.MemberRetired(name);
    }
    return member;
  }

  private void text(String field, String text) throws TidebankException {
    if (text.length() > terms.maxTextLength()) {
      throw new TidebankException.ValueTooLarge(field, text.length(), terms.maxTextLength());
    }
  }

  // ---- where duties are meant to be

  private void assign() {
    List<Member> alive =
        members.values().stream()
            .filter(member -> member.expiresAt() > now && !member.draining() && !member.retired())
            .toList();
    List<String> calm =
        alive.stream().filter(member -> member.eligibleAt() <= now).map(Member::name).toList();
    // One that is held off is better than nobody.
    List<String> may = calm.isEmpty() ? alive.stream().map(Member::name).toList() : calm;
    Map<String, String> held = new HashMap<>();
    Map<String, String> pinned = new HashMap<>();
    for (TaskLease duty : duties.values()) {
      held.put(duty.task(), over(duty) ? duty.assignedMember() : duty.holder());
      pinned.put(duty.task(), duty.stickyMember());
    }
    Map<String, String> meant = TaskAssignment.of(duties.keySet(), may, held, pinned);
    duties.replaceAll(
        (name, duty) -> duty.placed(meant.getOrDefault(name, ""), duty.stickyMember()));
  }

  private List<Grant> grants(String session) {
    return duties.values().stream()
        .filter(duty -> duty.session().equals(session) && !over(duty))
        .map(duty -> new Grant(duty.task(), duty.fencingToken()))
        .toList();
  }

  /** Duties that are meant for the member and that it has, or that it could claim at once. */
  private List<String> wanted(LeaseCommand command) {
    return command.sentByMember()
        ? duties.values().stream()
            .filter(
                duty ->
                    duty.assignedMember().equals(command.member())
                        && (over(duty) || duty.session().equals(command.session())))
            .map(TaskLease::task)
            .toList()
        : List.of();
  }
}
