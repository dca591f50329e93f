package tidebank.lease;

import java.util.List;

/**
 * A command of a member, an operator or a leader to the {@link LeaseTable}. Session and sequence
 * number make it take effect once: a repeated one gets the first one's result.
 *
 * @param kind what is to be done
 * @param session who sends it: a name that no other process ever has
 * @param sequence grows by one with each new command of a session
 * @param member the member it is about
 * @param task the singleton task it is about
 * @param fencingToken the fencing token that its sender holds the task's lease with
 * @param revision the revision of the published value that its sender has last seen
 * @param value the value to publish
 * @param plan the configuration, in a command of that kind only, else null
 */
public record LeaseCommand(
    Kind kind,
    String session,
    long sequence,
    String member,
    String task,
    long fencingToken,
    long revision,
    String value,
    Plan plan) {
  /**
   * The configuration of leases and the names of all singleton tasks. It goes through the log, as
   * all replicas must change over at the same place in it.
   */
  public record Plan(LeaseConfig config, List<String> tasks) {}

  /** What is to be done, and the fields that the kind needs. */
  public enum Kind {
    /** Become a member (member). */
    JOIN,
    /** Stay a member and renew all leases (member). */
    RENEW,
    /** Stop being a member and release all leases at once (member). */
    LEAVE,
    /** Acquire a task's lease (member, task). */
    CLAIM,
    /** Release a task's lease (member, task, fencingToken). */
    RELEASE,
    /** Replace the value published under a task (member, task, fencingToken, revision, value). */
    PUBLISH,
    /** An operator's: assign a task to a member, or to any if none is named (task, member). */
    MOVE,
    /** An operator's: assign no task to the member and move those it has (member). */
    DRAIN,
    /** An operator's: let a drained member have tasks again (member). */
    ADMIT,
    /** An operator's: never accept the name as a member's again (member). */
    RETIRE,
    /** A new leader's, where its file differs from the configuration in force (plan). */
    PLAN
  }

  /** Returns a command that needs no more than a member's name. */
  public static LeaseCommand of(Kind kind, String session, long sequence, String member) {
    return new LeaseCommand(kind, session, sequence, member, "", 0, 0, "", null);
  }

  /** Returns whether this is a kind of command that members send. */
  public boolean sentByMember() {
    return kind.compareTo(Kind.MOVE) < 0;
  }
}
