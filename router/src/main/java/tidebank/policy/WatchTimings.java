package tidebank.policy;

import tidebank.model.Settings;

/**
 * All waits of an instance's calls to discovery, in whole microseconds: how long a call may wait
 * for a change, how long it may take to be answered, and how long to back off after one that
 * failed. They hang together by one bound (PROTOCOL: whatever discovery has to tell counts as told
 * 6 s after discovery had it and could be reached, whatever call failed): what a failed call took
 * and the backoff behind it are 10/12 of that at the most, the rest is for the call that tells the
 * change and for our own processor.
 *
 * <p>Discovery is shared, and its capacity goes with the size of the fleet: what it costs a fleet
 * to watch is bounded too. Above 25 instances a watch that has been answered waits for longer than
 * the bound leaves it, and one that falls silent is given up 2 s behind its wait, as FLEET has it
 * for a call that may wait. Half of each backoff is drawn by chance, so that a fleet does not call
 * in step.
 */
public final class WatchTimings {
  /** PROTOCOL: counts as told so long after discovery had it and could be reached. */
  private static final long NOTIFICATION_BOUND_US = 6_000_000;

  /** What a fleet's idle watches may cost: ten calls a second of all instances together. */
  private static final long FLEET_CALL_US = 100_000;

  // Shares of the bound.
  private static final double WATCH = 5.0 / 12;

  /** A first wait, or one after a loss, tells soon that the watch is on. */
  private static final double WATCH_FIRST = 1.0 / 12;

  /**
   * Discovery turns away what waited for 2 s. Who gives up before that is told, as FLEET has it,
   * what was written and not read.
   */
  private static final double ANSWER = 4.5 / 12;

  /** Before the wait of a first call is begun it queues as well. */
  private static final double ANSWER_FIRST = 8.0 / 12;

  private static final double BACKOFF_FIRST = 1.0 / 12;
  private static final double BACKOFF_LEAST = 1.0 / 24;
  private static final double FAILED_MOST = 10.0 / 12;

  /** An answer before this share of its wait came early. */
  private static final double HASTY = 1.0 / 2;

  /** The longest pause between calls that discovery answers at once and without news. */
  private static final double PAUSE_MOST = 1.0 / 2;

  /**
   * Where changes come unasked from an agent of our own, which counts what it has as told at once.
   */
  private static final double UNASKED = 1.0 / 24;

  /** The share of the drain grace that such an agent's news may wait for the next call. */
  private static final double PAUSE_UNASKED = 1.0 / 8;

  private final long boundUs;
  private final long watchUs;
  private final long pauseMostUs;
  private int failures;
  private int hastyAnswers;

  /**
   * Where the settings hold an instance to its list for less time than the protocol does, that is
   * the bound.
   */
  public WatchTimings(Settings settings) {
    long askEvery = settings.rules().pollIntervalUs();
    boundUs = Math.min(NOTIFICATION_BOUND_US, askEvery);
    long fleet = settings.limits().watchOnRequest() ? settings.routers() * FLEET_CALL_US : 0;
    watchUs = Math.max(Math.round(boundUs * WATCH), Math.min(askEvery, fleet));
    pauseMostUs =
        settings.limits().watchOnRequest()
            ? Math.round(boundUs * PAUSE_MOST)
            : Math.round(settings.rules().drainGraceUs() * PAUSE_UNASKED);
  }

  /**
   * How long a watch may wait for a change: {@code confirmed}, if it has been answered since it
   * began.
   */
  public long watchTimeoutUs(boolean confirmed) {
    return confirmed ? watchUs : Math.round(boundUs * WATCH_FIRST);
  }

  /**
   * How long an answer may take beyond the wait that was asked for; silence beyond is a failure.
   */
  public long responseTimeoutUs(boolean confirmed) {
    return Math.round(boundUs * (confirmed ? ANSWER : ANSWER_FIRST));
  }

  /** A call was answered, or discovery is elsewhere: the next failure is the first. */
  public void reset() {
    failures = 0;
  }

  /**
   * How long to wait before the next call of a watch that was answered after {@code tookUs}, where
   * it might have waited for {@code watchTimeoutUs}; {@code chance} from 0 to under 1. Answers with
   * news and answers that used up half of their wait are renewed at once. An answer that came
   * earlier and told nothing new is followed by a pause, which doubles with each such answer in a
   * row up to half of the bound, so that a change in the pause is still known within the bound.
   * Where changes come unasked the pause is a small share of the drain grace.
   */
  public long renewalDelayUs(boolean news, long tookUs, long waitUs, double chance) {
    if (news || tookUs >= waitUs * HASTY) {
      hastyAnswers = 0;
      return 0;
    }
    double grown = boundUs * BACKOFF_LEAST * (1L << Math.min(hastyAnswers, Long.SIZE / 2));
    hastyAnswers++;
    return Math.round(Math.min(pauseMostUs, grown) * (1 + chance) / 2);
  }

  /**
   * How long to wait after one more call that failed and took so long; {@code chance} from 0 to
   * under 1.
   */
  public long backoffUs(long tookUs, double chance) {
    double grown = BACKOFF_FIRST * (1L << Math.min(failures, Long.SIZE / 2));
    failures++;
    double most = Math.max(BACKOFF_LEAST, Math.min(grown, FAILED_MOST - (double) tookUs / boundUs));
    return Math.round(boundUs * most * (1 + chance) / 2);
  }

  /** The same where the settings promise changes unasked. */
  public long pushedBackoffUs(double chance) {
    return Math.round(boundUs * UNASKED * (1 + chance) / 2);
  }
}
