package tidebank.testbed.replay;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import tidebank.model.Idempotency;

/**
 * Decides what a client does after a try: ask again and when, or give up. A request that must not
 * run twice is asked again only if no try of it can have run. Pure: time comes in, chance comes
 * from a seed and the request's own name.
 */
public final class ClientRetryPolicy {
  /** How a try came back. */
  public enum AttemptResult {
    ANSWERED,
    THROTTLED,
    FAILED,
    /** The connection never came up, or broke before the request was written whole. */
    NOT_REACHED,
    /** It broke or ended afterwards. */
    BROKEN_OFF,
    TIMED_OUT
  }

  private static final int DOUBLINGS_MOST = 6;

  private final int retries;
  private final long waitUs;
  private final long seed;

  public ClientRetryPolicy(int retries, long waitUs, long seed) {
    this.retries = retries;
    this.waitUs = waitUs;
    this.seed = seed;
  }

  /**
   * Which gatherer a try goes to: those that are admitted in turn; if none is, all in turn, as a
   * front that knows no better.
   *
   * @param turn counts tries
   * @param admitted whether each gatherer is
   */
  static int selectRouter(long turn, boolean[] admitted) {
    int count = 0;
    for (boolean one : admitted) {
      count += one ? 1 : 0;
    }
    if (count == 0) {
      return (int) (turn % admitted.length);
    }
    long skip = turn % count;
    for (int i = 0; ; i++) {
      if (admitted[i] && skip-- == 0) {
        return i;
      }
    }
  }

  /** Whether trying again can do no harm: proved never to have run, or may run again. */
  static boolean isSafeToRetry(Idempotency repeat, AttemptResult came) {
    return switch (came) {
      case ANSWERED, TIMED_OUT -> false;
      case THROTTLED, NOT_REACHED -> true;
      case FAILED, BROKEN_OFF -> repeat == Idempotency.IDEMPOTENT;
    };
  }

  /**
   * When to try again, or -1 to give up.
   *
   * @param name of the request, for its chance
   * @param tries made so far
   * @param holdOffUs what the gatherer asked to wait, 0 if nothing
   * @param limitUs when the client's time is over
   */
  public long computeRetryTime(
      String name,
      Idempotency repeat,
      AttemptResult came,
      int tries,
      long nowUs,
      long holdOffUs,
      long limitUs) {
    if (tries > retries || !isSafeToRetry(repeat, came)) {
      return -1;
    }
    long doubled = waitUs << Math.min(tries - 1, DOUBLINGS_MOST);
    long wait = Math.max(holdOffUs, doubled / 2 + (long) (chance(name, tries) * doubled));
    // A try needs a moment of its own; without one it is no try.
    return nowUs + wait + waitUs > limitUs ? -1 : nowUs + wait;
  }

  private double chance(String name, int tries) {
    CRC32 crc = new CRC32();
    crc.update((seed + "/" + name + "/" + tries).getBytes(StandardCharsets.UTF_8));
    return crc.getValue() / 0x1p32;
  }
}
