package tidebank.model;

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
public final class ListCalls {
  /** PROTOCOL: counts as told so long after discovery had it and could be reached. */
  private static final long TOLD_US = 6_000_000;

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

  /**
   * Where changes come unasked from an agent of our own, which counts what it has as told at once.
   */
  private static final double UNASKED = 1.0 / 24;

  private final long boundUs;
  private final long watchUs;
  private int failures;

  /**
   * Where the settings hold an instance to its list for less time than the protocol does, that is
   * the bound.
   */
  public ListCalls(Settings settings) {
    long askEvery = settings.rules().askEveryUs();
    boundUs = Math.min(TOLD_US, askEvery);
    long fleet = settings.limits().listOnRequest() ? settings.instances() * FLEET_CALL_US : 0;
    watchUs = Math.max(Math.round(boundUs * WATCH), Math.min(askEvery, fleet));
  }

  /**
   * How long a watch may wait for a change: {@code confirmed}, if it has been answered since it
   * began.
   */
  public long waitUs(boolean confirmed) {
    return confirmed ? watchUs : Math.round(boundUs * WATCH_FIRST);
  }

  /**
   * How long an answer may take beyond the wait that was asked for; silence beyond is a failure.
   */
  public long answerUs(boolean confirmed) {
    return Math.round(boundUs * (confirmed ? ANSWER : ANSWER_FIRST));
  }

  /** A call was answered, or discovery is elsewhere: the next failure is the first. */
  public void reset() {
    failures = 0;
  }

  /**
   * How long to wait after one more call that failed and took so long; {@code chance} from 0 to
   * under 1.
   */
  public long failedUs(long tookUs, double chance) {
    double grown = BACKOFF_FIRST * (1L << Math.min(failures, Long.SIZE / 2));
    failures++;
    double most = Math.max(BACKOFF_LEAST, Math.min(grown, FAILED_MOST - (double) tookUs / boundUs));
    return Math.round(boundUs * most * (1 + chance) / 2);
  }

  /** The same where the settings promise changes unasked. */
  public long failedUnaskedUs(double chance) {
    return Math.round(boundUs * UNASKED * (1 + chance) / 2);
  }
}
