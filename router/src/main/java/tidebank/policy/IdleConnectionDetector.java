package tidebank.policy;

import tidebank.model.Outcome;

/**
 * Detects that a firewall or a peer drops idle connections without closing them. Missing responses
 * are then more frequent on connections that were idle than on busy ones, and say nothing about the
 * health of the server.
 */
final class IdleConnectionDetector {
  private static final double SMOOTHING = 1.0 / 16;
  private static final double UNREACHABLE_FACTOR = 0.5;

  /** The least evidence at which idle connections count as dropped. */
  private static final double MIN_IDLE_EVIDENCE = 0.1;

  /** The least ratio of idle to busy evidence at which idle connections count as dropped. */
  private static final double IDLE_TO_BUSY_RATIO = 2;

  // Evidence of missing responses on connections without and with recent use, from 0 to 1.
  private double idleEvidence;
  private double busyEvidence;

  /**
   * Records an attempt that timed out or lost its connection. It is ignored while responses queue,
   * as the queue may be the reason then, unless the server was unreachable, which a queue can't
   * cause. A protocol error is never evidence.
   */
  void recordMissingResponse(Attempt attempt, boolean responsesAreQueueing) {
    boolean unreachable = attempt.outcome() == Outcome.UNREACHABLE;
    if (unreachable || (!responsesAreQueueing && attempt.outcome() != Outcome.PROTOCOL_ERROR)) {
      if (attempt.usesIdleConnection()) {
        idleEvidence += (1 - idleEvidence) * SMOOTHING;
      } else {
        busyEvidence += (1 - busyEvidence) * SMOOTHING;
      }
    }
  }

  /** Records an unreachable server: its connections did not fail for having been idle. */
  void recordUnreachable() {
    idleEvidence *= UNREACHABLE_FACTOR;
  }

  /**
   * Returns whether the attempt uses an idle connection that was probably dropped. Such connections
   * are replaced before use.
   */
  boolean isProbablyDropped(Attempt attempt) {
    return attempt.usesIdleConnection()
        && idleEvidence >= MIN_IDLE_EVIDENCE
        && idleEvidence >= IDLE_TO_BUSY_RATIO * busyEvidence;
  }
}
