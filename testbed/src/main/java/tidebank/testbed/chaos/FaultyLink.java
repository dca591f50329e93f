package tidebank.testbed.chaos;

import tidebank.model.SeededRandom;

/**
 * The faults in effect on the link from one process to another; applies to all its connections.
 * Owned by the event loop of {@link FaultProxy}.
 */
final class FaultyLink {
  /** A fault that a script can put on a link. Scripts use these names in lower case. */
  public enum Fault {
    /** Ends all faults of the link. */
    HEAL,
    /** All bytes take {@code ms} longer, and up to {@code jitter_ms} more. */
    DELAY,
    /** Nothing arrives that the caller sends. */
    SILENT_UP,
    /** Nothing arrives that the called process sends. */
    SILENT_DOWN,
    /** Nothing arrives in either direction. */
    CUT,
    /** Open connections are reset; new ones are fine. */
    RESET,
    /** Open connections end at the called side unseen by the caller; new ones are fine. */
    HALF_OPEN,
    /** {@code bytes_s} bytes pass in a second, each way. */
    TRICKLE,
    /** Open connections are reset, and new ones at once. */
    REFUSE,
    /** Refused and healed in turn, for {@code ms} each. */
    FLAP;

    /** Returns whether this fault hits open connections once and leaves no state on the link. */
    boolean isMomentary() {
      return this == RESET || this == HALF_OPEN;
    }
  }

  /** Faults in effect in one direction. */
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

    private void setDelay(long fixedUs, long randomUs) {
      delayUs = fixedUs;
      jitterUs = randomUs;
    }

    /** Draws the latency of the next chunk, in microseconds. */
    long nextLatencyUs() {
      return delayUs + (long) (jitterUs == 0 ? 0 : jitterUs * random.nextDouble());
    }

    /** Returns the bandwidth in bytes a second; 0 for no bound. */
    long bytesPerS() {
      return bytesPerS;
    }

    /**
     * Returns whether nothing arrives for now. What was sent stays under way until the fault ends,
     * as with lost packets that are sent again.
     */
    boolean isSilent() {
      return silent;
    }
  }

  private final Direction up;
  private final Direction down;
  private boolean refusing;
  private long flapIntervalUs;

  /** Counts changes, by which a scheduled flap notices that it was ended. */
  private int generation;

  FaultyLink(long seed) {
    SeededRandom random = new SeededRandom(seed);
    up = new Direction(random);
    down = new Direction(random);
  }

  /** From the caller to the called process. */
  Direction up() {
    return up;
  }

  /** From the called process to the caller. */
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

  void setDelay(long fixedUs, long randomUs) {
    up.setDelay(fixedUs, randomUs);
    down.setDelay(fixedUs, randomUs);
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

  void setRefusing(boolean on) {
    refusing = on;
  }

  boolean isRefusing() {
    return refusing;
  }

  void setFlapInterval(long us) {
    flapIntervalUs = us;
  }

  long flapIntervalUs() {
    return flapIntervalUs;
  }

  int generation() {
    return generation;
  }
}
