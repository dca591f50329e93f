package tidebank.lease;

import java.util.Comparator;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;
import tidebank.errors.MembershipException;
import tidebank.errors.TidebankException;

/**
 * The members of a {@link LeaseTable}: joins, renewals, leaves, and the flags that operators set.
 */
final class MemberTable {
  /**
   * The greatest flap count. A flapping member is held off for one lease, and for twice as long
   * with each further flap. An absence of 2^MAX_FLAP_COUNT leases or more is no flap and resets the
   * count.
   */
  private static final int MAX_FLAP_COUNT = 5;

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

  /**
   * Returns the member that sent a command. Throws if the command's session is not the one that
   * joined last under the name, or if the member is retired.
   */
  Member requireSender(LeaseCommand command) throws TidebankException {
    Member member = find(command.member());
    if (member == null || !member.isJoinedBy(command.session())) {
      throw new MembershipException.MemberUnknown(command.member());
    }
    return requireNotRetired(member);
  }

  /**
   * Returns the member that an operator's command names. Throws if it does not exist or is retired.
   */
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
    Member existing = find(command.member());
    if (existing == null) {
      evictIfFull(leaderClock, config);
      put(createMember(command, leaderClock, config, 0, leaderClock, false));
      return;
    }
    requireNotRetired(existing);
    if (existing.isJoinedBy(command.session())) {
      put(
          createMember(
              command,
              leaderClock,
              config,
              existing.flapCount(),
              existing.eligibleAt(),
              existing.draining()));
      return;
    }
    if (existing.isAliveAt(leaderClock)) {
      throw new MembershipException.NameTaken(command.member(), existing.expiresAt() - leaderClock);
    }
    // Each flap doubles the time before the member gets tasks; a long absence resets the count.
    long absentUs = leaderClock - existing.expiresAt();
    boolean flapped = absentUs < (config.leaseUs() << MAX_FLAP_COUNT);
    int flapCount = flapped ? Math.min(MAX_FLAP_COUNT, existing.flapCount() + 1) : 0;
    long holdOffUs = flapCount == 0 ? 0 : config.leaseUs() << (flapCount - 1);
    put(
        createMember(
            command, leaderClock, config, flapCount, leaderClock + holdOffUs, existing.draining()));
  }

  private static Member createMember(
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

  /**
   * Removes the member that expired longest ago if the table is full. Throws if every member is
   * alive or retired.
   */
  private void evictIfFull(long leaderClock, LeaseConfig config) throws TidebankException {
    if (members.size() < config.maxMembers()) {
      return;
    }
    Member expiredLongest =
        members.values().stream()
            .filter(member -> !member.isAliveAt(leaderClock) && !member.retired())
            .min(Comparator.comparingLong(Member::expiresAt))
            .orElseThrow(() -> new MembershipException.MemberLimitReached(config.maxMembers()));
    members.remove(expiredLongest.name());
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

  void recordResult(Member member, long sequence, CommandResult result) {
    put(member.withLastCommand(sequence, result));
  }

  /** Adjusts all times to the clock of a new leader. */
  void startTerm(long oldClock, long newClock, LeaseConfig config) {
    members.replaceAll(
        (name, member) ->
            member.withTimes(
                rules.expiryInNewTerm(!member.isAliveAt(oldClock), newClock, config),
                newClock + Math.max(0, member.eligibleAt() - oldClock)));
  }

  /**
   * Returns the names of the members that tasks may be assigned to. If all of them are held off,
   * returns them all, because a held-off member is better than none.
   */
  List<String> eligibleNames(long leaderClock) {
    List<Member> alive =
        members.values().stream()
            .filter(
                member -> member.isAliveAt(leaderClock) && !member.draining() && !member.retired())
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
