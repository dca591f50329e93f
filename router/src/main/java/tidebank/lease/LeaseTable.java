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
   * A name that is or was a member, in the time of the term; {@code calmAt}: it is meant for no
   * duty before.
   */
  public record Member(
      String name,
      String session,
      long aliveUntil,
      long calmAt,
      int strikes,
      boolean draining,
      boolean retired,
      long number,
      CommandResult answer) {
    private Member until(long at, long calm) {
      return new Member(name, session, at, calm, strikes, draining, retired, number, answer);
    }

    private Member flagged(boolean drain, boolean retire) {
      return new Member(name, session, aliveUntil, calmAt, strikes, drain, retire, number, answer);
    }

    private Member answered(long call, CommandResult said) {
      return new Member(name, session, aliveUntil, calmAt, strikes, draining, retired, call, said);
    }
  }

  /**
   * A duty: the last token granted and to whom, until when; where it is meant to be and pinned;
   * what is published.
   */
  public record TaskLease(
      String name,
      long token,
      String owner,
      String session,
      long until,
      String meant,
      String pinned,
      long revision,
      long publishedBy,
      String value) {
    private TaskLease held(long by, String whose, String in, long end) {
      return new TaskLease(name, by, whose, in, end, meant, pinned, revision, publishedBy, value);
    }

    private TaskLease placed(String where, String pin) {
      return new TaskLease(name, token, owner, session, until, where, pin, revision, publishedBy, value);
    }

    private TaskLease published(String what) {
      return new TaskLease(name, token, owner, session, until, meant, pinned, revision + 1, token, what);
    }
  }

  /** The last call of an operator's session, and what it came to. */
  public record Operator(String session, long number, CommandResult answer) {}

  /** All of the state, to be kept. */
  public record State(
      LeaseConfig terms,
      long term,
      long now,
      long tokenFloor,
      List<Member> members,
      List<TaskLease> duties,
      List<Operator> operators) {
    /** Duties that nobody has, by the member that each is meant for. */
    public SortedMap<String, List<String>> unclaimed() {
      SortedMap<String, List<String>> free = new TreeMap<>();
      duties.stream()
          .filter(
              duty -> !duty.meant().isEmpty() && (duty.owner().isEmpty() || now >= duty.until()))
          .forEach(
              duty ->
                  free.computeIfAbsent(duty.meant(), member -> new ArrayList<>()).add(duty.name()));
      return free;
    }

    /** The same as seen at this time of its term; for whoever is shown it. */
    public State at(long time) {
      return new State(terms, term, Math.max(now, time), tokenFloor, members, duties, operators);
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
    this(state.terms());
    term = state.term();
    now = state.now();
    tokenFloor = state.tokenFloor();
    state.members().forEach(member -> members.put(member.name(), member));
    state.duties().forEach(duty -> duties.put(duty.name(), duty));
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
    String name = command.name();
    Member before = members.get(name);
    boolean known =
        command.ofMember() && before != null && before.session().equals(command.session());
    Operator operator = command.ofMember() ? null : operators.get(command.session());
    long last = known ? before.number() : operator != null ? operator.number() : 0;
    if (last > 0 && repeated(command.number(), last)) {
      return known ? before.answer() : operator.answer();
    }
    CommandResult answer;
    try {
      if (command.number() < last) {
        throw new TidebankException.StaleSequenceNumber(command.session(), command.number(), last);
      }
      long revision = command.ofMember() ? byMember(command, before) : byOperator(command);
      assign();
      answer = new CommandResult(null, grants(command.session()), wanted(command), terms, revision);
    } catch (TidebankException fault) {
      assign();
      return remember(
          command, new CommandResult(fault.told(), grants(command.session()), wanted(command), terms, 0));
    }
    return remember(command, answer);
  }

  private CommandResult remember(LeaseCommand command, CommandResult answer) {
    Member member = members.get(command.name());
    if (!command.ofMember()) {
      operators.remove(command.session());
      operators.put(command.session(), new Operator(command.session(), command.number(), answer));
      if (operators.size() > OPERATORS) {
        operators.remove(operators.keySet().iterator().next());
      }
    } else if (member != null
        && member.session().equals(command.session())
        && command.number() > member.number()) {
      members.put(member.name(), member.answered(command.number(), answer));
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
                member.aliveUntil() > now ? at + terms.leaseUs() : at,
                at + Math.max(0, member.calmAt() - now)));
    duties.replaceAll(
        (name, duty) ->
            duty.held(
                duty.token(),
                duty.owner(),
                duty.session(),
                over(duty) ? at : at + terms.leaseUs()));
    term = in;
    now = at;
  }

  protected boolean repeated(long number, long last) {
    return number == last;
  }

  protected boolean over(TaskLease duty) {
    return duty.owner().isEmpty() || now >= duty.until();
  }

  protected long nextToken(TaskLease duty) {
    return duty.token() + 1;
  }

  /**
   * Whether a command speaks for the duty's owner: by the last token there is, and by the session
   * it was granted to.
   */
  protected boolean current(TaskLease duty, LeaseCommand command) {
    return command.token() == duty.token() && duty.session().equals(command.session());
  }

  // ---- members

  private long byMember(LeaseCommand command, Member before) throws TidebankException {
    if (command.kind() == LeaseCommand.Kind.JOIN) {
      join(command, before);
      return 0;
    }
    if (before == null || !before.session().equals(command.session())) {
      throw new TidebankException.MemberUnknown(command.name());
    }
    if (before.retired()) {
      throw new TidebankException.MemberRetired(command.name());
    }
    switch (command.kind()) {
      case RENEW -> {
        members.put(command.name(), before.until(now + terms.leaseUs(), before.calmAt()));
        duties.replaceAll(
            (name, duty) ->
                duty.session().equals(command.session()) && !over(duty)
                    ? duty.held(duty.token(), duty.owner(), duty.session(), now + terms.leaseUs())
                    : duty);
      }
      case LEAVE -> {
        members.put(command.name(), before.until(now, before.calmAt()));
        duties.replaceAll(
            (name, duty) -> duty.session().equals(command.session()) ? free(duty) : duty);
      }
      case CLAIM -> claim(command);
      case RELEASE -> duties.put(command.duty(), free(owned(command)));
      case PUBLISH -> {
        return publish(command);
      }
      default -> throw new IllegalStateException("not a member's: " + command.kind());
    }
    return 0;
  }

  private void join(LeaseCommand command, Member before) throws TidebankException {
    text("name", command.name());
    boolean same = before != null && before.session().equals(command.session());
    if (before != null && before.retired()) {
      throw new TidebankException.MemberRetired(command.name());
    }
    if (before != null && !same && before.aliveUntil() > now) {
      throw new TidebankException.NameTaken(command.name(), before.aliveUntil() - now);
    }
    if (before == null) {
      makeRoom();
    }
    // Who keeps coming and going gets duties ever later; a long life in between is forgiven.
    boolean soon =
        before != null && !same && now - before.aliveUntil() < terms.leaseUs() << DOUBLINGS;
    int strikes = same ? before.strikes() : soon ? Math.min(DOUBLINGS, before.strikes() + 1) : 0;
    long calmAt =
        same ? before.calmAt() : strikes == 0 ? now : now + (terms.leaseUs() << strikes - 1);
    members.put(
        command.name(),
        new Member(
            command.name(),
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
    if (members.size() < terms.mostMembers()) {
      return;
    }
    Member gone =
        members.values().stream()
            .filter(member -> member.aliveUntil() <= now && !member.retired())
            .min(Comparator.comparingLong(Member::aliveUntil))
            .orElseThrow(() -> new TidebankException.MemberLimitReached(terms.mostMembers()));
    members.remove(gone.name());
  }

  private void claim(LeaseCommand command) throws TidebankException {
    assign();
    TaskLease duty = duty(command.duty());
    boolean own = duty.session().equals(command.session());
    if (!over(duty) && !own) {
      throw new TidebankException.LeaseHeldByOther(duty.name(), duty.owner(), duty.until() - now);
    }
    if (!duty.meant().equals(command.name())) {
      throw new TidebankException.TaskAssignedElsewhere(duty.name(), duty.meant(), command.name());
    }
    long token = over(duty) ? nextToken(duty) : duty.token();
    duties.put(
        duty.name(), duty.held(token, command.name(), command.session(), now + terms.leaseUs()));
  }

  private long publish(LeaseCommand command) throws TidebankException {
    TaskLease duty = owned(command);
    text("value", command.value());
    if (duty.revision() != command.revision()) {
      throw new TidebankException.RevisionConflict(duty.name(), command.revision(), duty.revision());
    }
    duties.put(duty.name(), duty.published(command.value()));
    return duty.revision() + 1;
  }

  /** The duty of a command that only its owner may give. */
  private TaskLease owned(LeaseCommand command) throws TidebankException {
    TaskLease duty = duty(command.duty());
    if (!current(duty, command)) {
      throw new TidebankException.StaleFencingToken(duty.name(), command.token(), duty.token());
    }
    if (over(duty)) {
      throw new TidebankException.LeaseExpired(duty.name(), duty.token());
    }
    return duty;
  }

  private static TaskLease free(TaskLease duty) {
    return duty.held(duty.token(), "", "", duty.until());
  }

  // ---- operators

  private long byOperator(LeaseCommand command) throws TidebankException {
    switch (command.kind()) {
      case MOVE -> {
        TaskLease duty = duty(command.duty());
        if (!command.name().isEmpty()) {
          member(command.name());
        }
        duties.put(duty.name(), duty.placed(duty.meant(), command.name()));
      }
      case DRAIN, ADMIT ->
          members.put(
              command.name(),
              member(command.name()).flagged(command.kind() == LeaseCommand.Kind.DRAIN, false));
      case RETIRE -> members.put(command.name(), member(command.name()).flagged(false, true));
      case PLAN -> {
        terms = command.plan().terms();
        duties
            .values()
            .removeIf(
                duty -> {
                  boolean out = !command.plan().duties().contains(duty.name());
                  tokenFloor = out ? Math.max(tokenFloor, duty.token()) : tokenFloor;
                  return out;
                });
        command
            .plan()
            .duties()
            .forEach(
                name ->
                    duties.computeIfAbsent(
                        name, absent -> new TaskLease(name, tokenFloor, "", "", now, "", "", 0, 0, "")));
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
    if (text.length() > terms.mostText()) {
      throw new TidebankException.ValueTooLarge(field, text.length(), terms.mostText());
    }
  }

  // ---- where duties are meant to be

  private void assign() {
    List<Member> alive =
        members.values().stream()
            .filter(member -> member.aliveUntil() > now && !member.draining() && !member.retired())
            .toList();
    List<String> calm =
        alive.stream().filter(member -> member.calmAt() <= now).map(Member::name).toList();
    // One that is held off is better than nobody.
    List<String> may = calm.isEmpty() ? alive.stream().map(Member::name).toList() : calm;
    Map<String, String> held = new HashMap<>();
    Map<String, String> pinned = new HashMap<>();
    for (TaskLease duty : duties.values()) {
      held.put(duty.name(), over(duty) ? duty.meant() : duty.owner());
      pinned.put(duty.name(), duty.pinned());
    }
    Map<String, String> meant = TaskAssignment.of(duties.keySet(), may, held, pinned);
    duties.replaceAll((name, duty) -> duty.placed(meant.getOrDefault(name, ""), duty.pinned()));
  }

  private List<Grant> grants(String session) {
    return duties.values().stream()
        .filter(duty -> duty.session().equals(session) && !over(duty))
        .map(duty -> new Grant(duty.name(), duty.token()))
        .toList();
  }

  /** Duties that are meant for the member and that it has, or that it could claim at once. */
  private List<String> wanted(LeaseCommand command) {
    return command.ofMember()
        ? duties.values().stream()
            .filter(
                duty ->
                    duty.meant().equals(command.name())
                        && (over(duty) || duty.session().equals(command.session())))
            .map(TaskLease::name)
            .toList()
        : List.of();
  }
}
