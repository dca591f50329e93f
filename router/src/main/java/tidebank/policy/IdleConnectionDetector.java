package tidebank.policy;

import tidebank.model.Outcome;

/**
 * Detects that idle connections are dropped unseen on their way, by a firewall or a peer. Silence
 * on connections that were idle is then stronger evidence than silence on busy ones, and tells
 * nothing about the server.
 */
final class IdleConnectionDetector {
  private static final double SMOOTHING = 1.0 / 16;
  private static final double UNREACHABLE_FACTOR = 0.5;

  /** The least evidence at which idle connections are held to be dropped. */
  private static final double MIN_IDLE_SILENCE = 0.1;

  private static final double IDLE_TO_BUSY_RATIO = 2;

  // Evidence of silence on connections without and with recent use: it grows up to 1.
  private double idleSilence;
  private double busySilence;

  /**
   * Records an attempt that timed out or whose connection failed. While responses queue, an attempt
   * without a response tells of the queue instead; a refused connection never does.
   */
  void recordSilence(Attempt attempt, boolean responsesAreQueueing) {
    boolean unreachable = attempt.outcome() == Outcome.UNREACHABLE;
    if (unreachable || (!responsesAreQueueing && attempt.outcome() != Outcome.PROTOCOL_ERROR)) {
      if (attempt.onIdleConnection()) {
        idleSilence += (1 - idleSilence) * SMOOTHING;
      } else {
        busySilence += (1 - busySilence) * SMOOTHING;
      }
    }
  }

  /** Records a server that could not be reached anew: its connections did not fall silent. */
  void recordUnreachable() {
    idleSilence *= UNREACHABLE_FACTOR;
  }

  /**
   * Returns whether the attempt was sent on an idle connection that was probably dropped. Such
   * connections are replaced before use.
   */
  boolean isProbablyDropped(Attempt attempt) {
    return attempt.onIdleConnection()
        && idleSilence >= MIN_IDLE_SILENCE
        && idleSilence >= IDLE_TO_BUSY_RATIO * busySilence;
  }
}
