package tidebank.lease;

import java.util.List;

/**
 * A command that a member, an operator or a leader sends to the {@link LeaseTable}. The session and
 * the sequence number make a command take effect only once: a repeated command gets the result of
 * the first.
 *
 * @param kind the action to perform
 * @param session the sender's session, a name that no other process ever uses
 * @param sequence a number that increases by one with each new command of the session
 * @param member the name of the member that the command concerns
 * @param task the name of the singleton task that the command concerns
 * @param fencingToken the fencing token that the sender holds the task's lease with
 * @param revision the revision of the published value that the sender read last
 * @param value the value to publish
 * @param plan the configuration to apply, or null if the kind is not {@link Kind#PLAN}
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
   * The lease configuration and the names of all singleton tasks. It goes through the replicated
   * log, because all replicas must switch to it at the same position in the log.
   */
  public record Plan(LeaseConfig config, List<String> tasks) {}

  /** The action of a command. The fields that it needs are given in parentheses. */
  public enum Kind {
    /** Registers the member (member). */
    JOIN,
    /** Renews the membership and all leases of the session (member). */
    RENEW,
    /** Ends the membership and releases all leases of the session at once (member). */
    LEAVE,
    /** Acquires a task's lease (member, task). */
    CLAIM,
    /** Releases a task's lease (member, task, fencingToken). */
    RELEASE,
    /** Replaces the value published for a task (member, task, fencingToken, revision, value). */
    PUBLISH,
    /**
     * Assigns a task to a member, or to any member if the name is empty; sent by operators (task,
     * member).
     */
    MOVE,
    /** Moves all tasks off a member and assigns no more to it; sent by operators (member). */
    DRAIN,
    /** Allows tasks to be assigned to a drained member again; sent by operators (member). */
    ADMIT,
    /** Bars a name from being used by a member ever again; sent by operators (member). */
    RETIRE,
    /**
     * Applies the configuration file of a new leader; sent if it differs from the configuration in
     * force (plan).
     */
    PLAN
  }

  /** Returns a command that needs only a member's name. */
  public static LeaseCommand of(Kind kind, String session, long sequence, String member) {
    return new LeaseCommand(kind, session, sequence, member, "", 0, 0, "", null);
  }

  /**
   * Returns whether members send this kind of command, which are all kinds before {@link
   * Kind#MOVE}.
   */
  public boolean sentByMember() {
    return kind.compareTo(Kind.MOVE) < 0;
  }
}
