package tidebank.testbed.chaos;

import tidebank.model.SeededRandom;

/**
 * The state of the way from one process to another: what is done to all its connections. Belongs to
 * the relays' event loop.
 */
final class FaultyLink {
  /** What happens in one direction. */
  static final class Way {
    long delayUs;
    long jitterUs;

    /** 0 for no bound. */
    long bytesPerS;

    /**
     * What is sent stays on the way until the silence ends, as with lost packets that are sent
     * again.
     */
    boolean silent;

    private void heal() {
      delayUs = 0;
      jitterUs = 0;
      bytesPerS = 0;
      silent = false;
    }
  }

  /** What can be done to a link. */
  public enum Fault {
    /** Nothing any more. */
    HEAL,
    /** All takes {@code ms} longer, and up to {@code jitter_ms} more. */
    DELAY,
    /** Nothing arrives that the caller sends. */
    SILENT_UP,
    /** Nothing arrives that is answered. */
    SILENT_DOWN,
    /** Nothing arrives at all. */
    CUT,
    /** All connections there are break with a reset; new ones are fine. */
    RESET,
    /**
     * All connections there are end at the called side, and the caller hears nothing of it; new
     * ones are fine.
     */
    HALF_OPEN,
    /** {@code bytes_s} pass in a second, each way. */
    TRICKLE,
    /** New connections are reset at once, and so are those there are. */
    REFUSE,
    /** Refused and healed in turn, for {@code ms} each. */
    FLAP
  }

  final Way up = new Way();
  final Way down = new Way();
  final SeededRandom chance;
  boolean refusing;
  long flapUs;

  /** Counts what was done, so that a flapping that was ended knows it. */
  int turn;

  FaultyLink(long seed) {
    chance = new SeededRandom(seed);
  }

  void heal() {
    up.heal();
    down.heal();
    refusing = false;
    flapUs = 0;
    turn++;
  }
}
