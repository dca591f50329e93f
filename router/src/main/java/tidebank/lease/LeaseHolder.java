package tidebank.lease;

import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;
import tidebank.errors.TidebankException;
import tidebank.lease.CommandResult.Grant;

/**
 * A member's side: what it should ask the stewards for next, and what it owns until when by its own
 * monotonic clock. It has one command out at a time, which it repeats unchanged until it is
 * answered. A lease counts from before its command was first sent: the stewards may have taken the
 * first copy. What may be done is asked for just before it is done; whoever stops in between is
 * caught at the resource, by the token.
 */
public class LeaseHolder {
  /** A duty that is owned: its token, and the end of the lease on the own clock. */
  public record HeldLease(long fencingToken, long expiresAt) {}

  private final String name;
  private final String session;
  private final SortedMap<String, HeldLease> owned = new TreeMap<>();
  private List<String> wanted = List.of();
  private long number;
  private long renewedAt;
  private long renewEvery;
  private boolean joined;
  private long joinAt = Long.MIN_VALUE;
  private boolean leaving;
  private boolean left;
  private LeaseCommand out;
  private long askedAt;

  /**
   * @param session a name that no other process and no earlier start ever had
   */
  public LeaseHolder(String name, String session) {
    this.name = name;
    this.session = session;
  }

  public LeaseHolder copy() {
    LeaseHolder copy = blank(name, session);
    copy.owned.putAll(owned);
    copy.wanted = wanted;
    copy.number = number;
    copy.renewedAt = renewedAt;
    copy.renewEvery = renewEvery;
    copy.joined = joined;
    copy.joinAt = joinAt;
    copy.leaving = leaving;
    copy.left = left;
    copy.out = out;
    copy.askedAt = askedAt;
    return copy;
  }

  protected LeaseHolder blank(String called, String in) {
    return new LeaseHolder(called, in);
  }

  /** The command to send now, or to send again; null if there is nothing to ask for. */
  public LeaseCommand nextCommand(long now) {
    askedAt = out == null ? now : askedFrom(askedAt, now);
    out = out == null ? next(now) : out;
    return out;
  }

  /** When there will be something to ask for, should nothing else happen. */
  public long nextCommandAt() {
    return left ? Long.MAX_VALUE : joined ? renewedAt + renewEvery : joinAt;
  }

  /**
   * There may be news for this member: it renews, and so hears them, as soon as it can. Leases last
   * as they did.
   */
  public void renewSoon(long now) {
    renewedAt = Math.min(renewedAt, now - renewEvery);
  }

  private LeaseCommand next(long now) {
    left |= leaving && !joined;
    if (left || !joined && now < joinAt) {
      return null;
    }
    if (!joined || leaving) {
      return LeaseCommand.of(
          joined ? LeaseCommand.Kind.LEAVE : LeaseCommand.Kind.JOIN, session, ++number, name);
    }
    if (now - renewedAt >= renewEvery) {
      return LeaseCommand.of(LeaseCommand.Kind.RENEW, session, ++number, name);
    }
    for (Map.Entry<String, HeldLease> one : owned.entrySet()) {
      if (!wanted.contains(one.getKey())) {
        LeaseCommand release =
            about(LeaseCommand.Kind.RELEASE, one.getKey(), one.getValue().fencingToken());
        letGo(one.getKey());
        return release;
      }
    }
    return wanted.stream()
        .filter(duty -> !owned.containsKey(duty))
        .findFirst()
        .map(duty -> about(LeaseCommand.Kind.CLAIM, duty, 0))
        .orElse(null);
  }

  private LeaseCommand about(LeaseCommand.Kind kind, String duty, long token) {
    return new LeaseCommand(kind, session, ++number, name, duty, token, 0, "", null);
  }

  /** A command of the holder's own, such as to publish; only where none is out. */
  public LeaseCommand publish(String duty, long revision, String value, long now) {
    if (out == null && owned.containsKey(duty)) {
      out =
          new LeaseCommand(
              LeaseCommand.Kind.PUBLISH,
              session,
              ++number,
              name,
              duty,
              owned.get(duty).fencingToken(),
              revision,
              value,
              null);
      askedAt = now;
    }
    return out;
  }

  /** The answer to a command. One that is not awaited any more changes nothing. */
  public void handleResult(long call, CommandResult answer, long now) {
    if (out == null || !awaited(call)) {
      return;
    }
    LeaseCommand command = out;
    out = null;
    TidebankException.Details fault = answer.error();
    boolean retired = fault != null && fault.is(TidebankException.MemberRetired.class);
    boolean gone = retired || fault != null && fault.is(TidebankException.MemberUnknown.class);
    joined = !gone && (joined || fault == null);
    left = retired || command.kind() == LeaseCommand.Kind.LEAVE;
    renewEvery = answer.config().renewIntervalUs();
    renewedAt =
        command.kind() == LeaseCommand.Kind.RENEW || command.kind() == LeaseCommand.Kind.JOIN
            ? askedAt
            : renewedAt;
    joinAt = command.kind() == LeaseCommand.Kind.JOIN ? askedAt + renewEvery : joinAt;
    // A claim or a renewal sets the end of a lease; any other answer only tells what is owned
    // still.
    owned
        .keySet()
        .removeIf(duty -> answer.leases().stream().noneMatch(grant -> grant.task().equals(duty)));
    for (Grant grant : answer.leases()) {
      boolean renewed =
          command.kind() == LeaseCommand.Kind.RENEW
              || command.kind() == LeaseCommand.Kind.CLAIM && command.task().equals(grant.task());
      HeldLease before = owned.get(grant.task());
      if (renewed) {
        owned.put(
            grant.task(),
            new HeldLease(grant.fencingToken(), countsFrom(askedAt, now) + lasts(answer.config())));
      } else if (before == null || before.fencingToken() != grant.fencingToken()) {
        // Owned, as it seems, by an answer that was never heard: of no use before it is renewed.
        owned.put(grant.task(), new HeldLease(grant.fencingToken(), Long.MIN_VALUE / 2));
      }
    }
    wanted = leaving ? List.of() : answer.assignedTasks();
    if (command.kind() == LeaseCommand.Kind.CLAIM && fault != null) {
      // Refused: to be looked at again with the next renewal.
      wanted =
          wanted.stream()
              .filter(duty -> !duty.equals(command.task()) || owned.containsKey(duty))
              .toList();
    }
  }

  /**
   * The token by which something may be done for a duty now, or 0; with this much time left at the
   * least.
   */
  public long tokenIfHeld(String duty, long now, long margin) {
    HeldLease one = owned.get(duty);
    return one != null && !leaving && inTime(one, now, margin) ? one.fencingToken() : 0;
  }

  /** No duty is begun any more, and all that is owned is let go of at the next call. */
  public void leave() {
    leaving = true;
  }

  public boolean hasLeft() {
    return left;
  }

  // ---- rules that must hold, one method each

  /**
   * What is let go of may not be acted for from the moment that this is asked: a successor hears of
   * it first.
   */
  protected void letGo(String duty) {
    owned.remove(duty);
  }

  protected long askedFrom(long first, long again) {
    return first;
  }

  protected long lasts(LeaseConfig terms) {
    return terms.holderLeaseUs();
  }

  protected long countsFrom(long asked, long answered) {
    return asked;
  }

  protected boolean inTime(HeldLease one, long now, long margin) {
    return now + margin < one.expiresAt();
  }

  protected boolean awaited(long call) {
    return out.sequence() == call;
  }

  /** All of the state, for whoever compares two of them. */
  @Override
  public String toString() {
    return name
        + session
        + owned
        + wanted
        + number
        + ' '
        + renewedAt
        + ' '
        + joinAt
        + joined
        + leaving
        + left
        + (out == null ? "" : out.kind() + out.task() + askedAt);
  }
}
