package tidebank.testbed.replay;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32;
import tidebank.model.Idempotency;

/**
 * The retry policy of the emulated clients: decides whether and when a client retries a query. A
 * non-idempotent query is retried only if no attempt of it can have been executed. It has no clock:
 * callers pass the time. Jitter is derived from a seed and the query's name, so it is the same in
 * every run.
 */
public final class ClientRetryPolicy {
  /** The result of one client attempt. */
  public enum AttemptResult {
    ANSWERED,
    THROTTLED,
    FAILED,
    /** No connection was established, or it was lost before the request was written completely. */
    NOT_REACHED,
    /** The connection was lost after the request was written. */
    BROKEN_OFF,
    TIMED_OUT
  }

  private static final int MAX_DOUBLINGS = 6;

  private final int maxRetries;
  private final long baseDelayUs;
  private final long seed;

  /**
   * Creates a policy.
   *
   * @param maxRetries maximum number of retries of a query
   * @param baseDelayUs mean delay before the first retry
   * @param seed seed of the jitter
   */
  public ClientRetryPolicy(int maxRetries, long baseDelayUs, long seed) {
    this.maxRetries = maxRetries;
    this.baseDelayUs = baseDelayUs;
    this.seed = seed;
  }

  /**
   * Selects the router for an attempt, round robin over the available routers, or over all if none
   * is available.
   *
   * @param attemptNumber number of attempts that were sent before, to any router
   * @param available whether each router is available
   * @return the router's index
   */
  static int selectRouter(long attemptNumber, boolean[] available) {
    int count = 0;
    for (boolean isAvailable : available) {
      count += isAvailable ? 1 : 0;
    }
    if (count == 0) {
      return (int) (attemptNumber % available.length);
    }
    long skip = attemptNumber % count;
    for (int i = 0; ; i++) {
      if (available[i] && skip-- == 0) {
        return i;
      }
    }
  }

  /**
   * Returns whether a retry is needed and safe: the query was not executed, or may be executed
   * again. Never true after a timeout, which leaves no time for a retry.
   */
  static boolean isSafeToRetry(Idempotency idempotency, AttemptResult result) {
    return switch (result) {
      case ANSWERED, TIMED_OUT -> false;
      case THROTTLED, NOT_REACHED -> true;
      case FAILED, BROKEN_OFF -> idempotency == Idempotency.IDEMPOTENT;
    };
  }

  /**
   * Computes when to send the next attempt. The delay doubles with each attempt, with a jitter of
   * ±50%.
   *
   * @param name the query's name, from which its jitter is derived
   * @param attempts number of attempts so far
   * @param retryAfterUs least delay that the router asked for, or 0
   * @param deadlineUs the client's deadline
   * @return the time of the next attempt in microseconds, or -1 to give up
   */
  public long computeRetryTime(
      String name,
      Idempotency idempotency,
      AttemptResult result,
      int attempts,
      long nowUs,
      long retryAfterUs,
      long deadlineUs) {
    if (attempts > maxRetries || !isSafeToRetry(idempotency, result)) {
      return -1;
    }
    long meanDelay = baseDelayUs << Math.min(attempts - 1, MAX_DOUBLINGS);
    long delay =
        Math.max(retryAfterUs, meanDelay / 2 + (long) (randomFraction(name, attempts) * meanDelay));
    // Gives up if the attempt would have less time until the deadline than the base delay.
    return nowUs + delay + baseDelayUs > deadlineUs ? -1 : nowUs + delay;
  }

  private double randomFraction(String name, int attempts) {
    CRC32 crc = new CRC32();
    crc.update((seed + "/" + name + "/" + attempts).getBytes(StandardCharsets.UTF_8));
    return crc.getValue() / 0x1p32;
  }
}
