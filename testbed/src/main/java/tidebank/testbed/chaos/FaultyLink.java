package tidebank.testbed.chaos;

import tidebank.model.SeededRandom;

/**
 * The faults in effect on the link from one process to another. They apply to all connections of
 * the link. Confined to the event loop of {@link FaultProxy}.
 */
final class FaultyLink {
  /** A fault that a script can inject into a link. Scripts use these names in lower case. */
  public enum Fault {
    /** Ends all faults of the link. */
    HEAL,
    /** Delays all bytes by {@code ms} and a random jitter of up to {@code jitter_ms}. */
    DELAY,
    /** Holds back all bytes from the caller until the fault ends. */
    SILENT_UP,
    /** Holds back all bytes from the called process until the fault ends. */
    SILENT_DOWN,
    /** Holds back all bytes in both directions until the fault ends. */
    CUT,
    /** Resets open connections; new ones are not affected. */
    RESET,
    /**
     * Closes open connections on the called side only, so that the caller does not notice; new ones
     * are not affected.
     */
    HALF_OPEN,
    /** Limits the bandwidth to {@code bytes_s} bytes per second in each direction. */
    TRICKLE,
    /** Resets open connections, and new ones as soon as they are accepted. */
    REFUSE,
    /** Alternates between {@code REFUSE} and no fault, each for {@code ms}. */
    FLAP;

    /** Returns whether this fault affects open connections once and does not change the link. */
    boolean isMomentary() {
      return this == RESET || this == HALF_OPEN;
    }
  }

  /** The faults in effect in one direction. */
  static final class Direction {
    private final SeededRandom random;
    private long delayUs;
    private long jitterUs;
    private long bytesPerS;
    private boolean silent;

    private Direction(SeededRandom random) {
      this.random = random;
    }

    private void heal() {
      delayUs = 0;
      jitterUs = 0;
      bytesPerS = 0;
      silent = false;
    }

    private void setDelay(long newDelayUs, long newJitterUs) {
      delayUs = newDelayUs;
      jitterUs = newJitterUs;
    }

    /** Returns the latency of the next chunk, in microseconds, including random jitter. */
    long nextLatencyUs() {
      return delayUs + (long) (jitterUs == 0 ? 0 : jitterUs * random.nextDouble());
    }

    /** Returns the bandwidth in bytes per second; 0 if it is not limited. */
    long bytesPerS() {
      return bytesPerS;
    }

    /**
     * Returns whether all bytes are held back. They are delivered once the fault ends, as with TCP
     * retransmission after packet loss.
     */
    boolean isSilent() {
      return silent;
    }
  }

  private final Direction up;
  private final Direction down;
  private boolean refusing;
  private long flapIntervalUs;

  /**
   * Number of calls of {@link #heal}; a scheduled switch of a flapping link does nothing if it
   * changed.
   */
  private int generation;

  FaultyLink(long seed) {
    SeededRandom random = new SeededRandom(seed);
    up = new Direction(random);
    down = new Direction(random);
  }

  /** Returns the direction from the caller to the called process. */
  Direction up() {
    return up;
  }

  /** Returns the direction from the called process to the caller. */
  Direction down() {
    return down;
  }

  void heal() {
    up.heal();
    down.heal();
    refusing = false;
    flapIntervalUs = 0;
    generation++;
  }

  void setDelay(long newDelayUs, long newJitterUs) {
    up.setDelay(newDelayUs, newJitterUs);
    down.setDelay(newDelayUs, newJitterUs);
  }

  void limitBandwidth(long bytesPerS) {
    up.bytesPerS = bytesPerS;
    down.bytesPerS = bytesPerS;
  }

  void silenceUp() {
    up.silent = true;
  }

  void silenceDown() {
    down.silent = true;
  }

  void setRefusing(boolean newRefusing) {
    refusing = newRefusing;
  }

  boolean isRefusing() {
    return refusing;
  }

  void setFlapInterval(long intervalUs) {
    flapIntervalUs = intervalUs;
  }

  long flapIntervalUs() {
    return flapIntervalUs;
  }

  int generation() {
    return generation;
  }
}
