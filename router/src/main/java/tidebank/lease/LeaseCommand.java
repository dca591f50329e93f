package tidebank.lease;

import java.util.List;

/**
 * What a member or an operator wants of the stewards. Session and number make it take effect once:
 * a repeated one gets the first one's answer.
 *
 * @param session who asks: a name that no other process ever has
 * @param sequence grows by one with each new command of a session
 * @param member the member it is about
 * @param task the duty it is about
 * @param fencingToken the token its sender holds the duty by
 * @param revision what is published, as its sender last saw it
 * @param value what is to be published
 * @param plan what the stewards are to go by, in a command of that kind only, else null
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
   * Terms and the names of all duties. In the log, as all stewards must go by the same at the same
   * place in it.
   */
  public record Plan(LeaseConfig config, List<String> tasks) {}

  /** What is wanted, and the fields that say more. */
  public enum Kind {
    /** To be a member (name). */
    JOIN,
    /** To stay one and keep all leases (name). */
    RENEW,
    /** To be none any more, and to let go of all leases at once (name). */
    LEAVE,
    /** To own a duty (name, duty). */
    CLAIM,
    /** To own it no longer (name, duty, token). */
    RELEASE,
    /** To replace what is published under a duty (name, duty, token, revision, value). */
    PUBLISH,
    /**
     * An operator's: the duty is to be at this member, or anywhere if no name is given (duty,
     * name).
     */
    MOVE,
    /** An operator's: the member is to get no duty and to lose those it has (name). */
    DRAIN,
    /** An operator's: the member may get duties again (name). */
    ADMIT,
    /** An operator's: the name may never be a member again (name). */
    RETIRE,
    /** A leading steward's, where its file says other than what holds (plan). */
    PLAN
  }

  /** One that needs no more than a member's name. */
  public static LeaseCommand of(Kind kind, String session, long number, String name) {
    return new LeaseCommand(kind, session, number, name, "", 0, 0, "", null);
  }

  public boolean sentByMember() {
    return kind.compareTo(Kind.MOVE) < 0;
  }
}
