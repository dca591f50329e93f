package tidebank.lease;

import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tidebank.errors.MembershipException;
import tidebank.errors.TidebankException;

/** The members of a {@link LeaseTable}: joining, renewing, leaving, and operators' flags. */
final class MemberTable {
  /** How often the hold-off of a member that keeps coming and going doubles. */
  private static final int MAX_HOLD_OFF_DOUBLINGS = 5;

  private final SortedMap<String, Member> members = new TreeMap<>();
  private final GrantRules rules;

  MemberTable(GrantRules rules) {
    this.rules = rules;
  }

  void restore(List<Member> stored) {
    stored.forEach(this::put);
  }

  List<Member> all() {
    return List.copyOf(members.values());
  }

  /** Returns the member of this name, or null. */
  Member find(String name) {
    return members.get(name);
  }

  /** Returns the member that a command comes from. */
  Member requireSender(LeaseCommand command) throws TidebankException {
    Member member = find(command.member());
    if (member == null || !member.joinedBy(command.session())) {
      throw new MembershipException.MemberUnknown(command.member());
    }
    return requireNotRetired(member);
  }

  /** Returns the member that an operator's command names. */
  Member requireNamed(String name) throws TidebankException {
    Member member = find(name);
    if (member == null) {
      throw new MembershipException.MemberNotFound(name);
    }
    return requireNotRetired(member);
  }

  private static Member requireNotRetired(Member member) throws TidebankException {
    if (member.retired()) {
      throw new MembershipException.MemberRetired(member.name());
    }
    return member;
  }

  void join(LeaseCommand command, long leaderClock, LeaseConfig config) throws TidebankException {
    config.checkTextLength("name", command.member());
    Member before = find(command.member());
    if (before == null) {
      makeRoom(leaderClock, config);
      put(joined(command, leaderClock, config, 0, leaderClock, false));
      return;
    }
    requireNotRetired(before);
    if (before.joinedBy(command.session())) {
      put(
          joined(
              command,
              leaderClock,
              config,
              before.flapCount(),
              before.eligibleAt(),
              before.draining()));
      return;
    }
    if (before.aliveAt(leaderClock)) {
      throw new MembershipException.NameTaken(command.member(), before.expiresAt() - leaderClock);
    }
    // A member that keeps coming and going gets tasks ever later; a long absence is forgiven.
    long absentUs = leaderClock - before.expiresAt();
    boolean cameBackSoon = absentUs < (config.leaseUs() << MAX_HOLD_OFF_DOUBLINGS);
    int flapCount = cameBackSoon ? Math.min(MAX_HOLD_OFF_DOUBLINGS, before.flapCount() + 1) : 0;
    long holdOffUs = flapCount == 0 ? 0 : config.leaseUs() << (flapCount - 1);
    put(
        joined(
            command, leaderClock, config, flapCount, leaderClock + holdOffUs, before.draining()));
  }

  private static Member joined(
      LeaseCommand command,
      long leaderClock,
      LeaseConfig config,
      int flapCount,
      long eligibleAt,
      boolean draining) {
    return new Member(
        command.member(),
        command.session(),
        leaderClock + config.leaseUs(),
        eligibleAt,
        flapCount,
        draining,
        false,
        0,
        null);
  }

  /** Forgets the member that has been gone longest where there are as many as there may be. */
  private void makeRoom(long leaderClock, LeaseConfig config) throws TidebankException {
    if (members.size() < config.maxMembers()) {
      return;
    }
    Member longestGone =
        members.values().stream()
            .filter(member -> !member.aliveAt(leaderClock) && !member.retired())
            .min(Comparator.comparingLong(Member::expiresAt))
            .orElseThrow(() -> new MembershipException.MemberLimitReached(config.maxMembers()));
    members.remove(longestGone.name());
  }

  void renew(Member member, long expiresAt) {
    put(member.withTimes(expiresAt, member.eligibleAt()));
  }

  void leave(Member member, long leaderClock) {
    put(member.withTimes(leaderClock, member.eligibleAt()));
  }

  void setDraining(Member member, boolean draining) {
    put(member.withFlags(draining, false));
  }

  void retire(Member member) {
    put(member.withFlags(false, true));
  }

  void rememberResult(Member member, long sequence, CommandResult result) {
    put(member.withLastCommand(sequence, result));
  }

  /** Moves all times to the clock of a new leader. */
  void startTerm(long oldClock, long newClock, LeaseConfig config) {
    members.replaceAll(
        (name, member) ->
            member.withTimes(
                rules.expiryInNewTerm(!member.aliveAt(oldClock), newClock, config),
                newClock + Math.max(0, member.eligibleAt() - oldClock)));
  }

  /**
   * Returns the members that tasks may be assigned to. If all of them are held off, they are better
   * than nobody.
   */
  List<String> eligible(long leaderClock) {
    List<Member> alive =
        members.values().stream()
            .filter(
                member -> member.aliveAt(leaderClock) && !member.draining() && !member.retired())
            .toList();
    List<String> eligible =
        alive.stream()
            .filter(member -> member.eligibleAt() <= leaderClock)
            .map(Member::name)
            .toList();
    return eligible.isEmpty() ? alive.stream().map(Member::name).toList() : eligible;
  }

  private void put(Member member) {
    members.put(member.name(), member);
  }
}
