package tidebank.model;

/**
 * All waits of an instance's calls to discovery, in whole microseconds: how long a call may wait for a change, how long
 * it may take to be answered, and how long to back off after one that failed. They hang together by one bound (PROTOCOL:
 * whatever discovery has to tell counts as told 6 s after discovery had it and could be reached, whatever call failed):
 *
 * <ul>
 * <li>a watch that fell silent: its wait, the time to answer and the first backoff are 10/12 of the bound;
 * <li>a call that hung while discovery came back: the first wait, the time to answer and the longest backoff are 10/12.
 * </ul>
 *
 * <p>The rest is for the call that tells the change and for our own processor. Costs: every instance renews an idle watch
 * each 2.5 s, and tries a discovery that is down each 1.25 to 2.5 s; half of each backoff is drawn by chance, so that a
 * fleet does not call in step.
 */
public final class ListCalls {
  /** PROTOCOL: counts as told so long after discovery had it and could be reached. */
  private static final long TOLD_US = 6_000_000;
  // Shares of the bound.
  private static final double WATCH = 5.0 / 12;
  /** A first wait, or one after a loss, tells soon that the watch is on; it follows the longest backoff. */
  private static final double WATCH_FIRST = 1.0 / 12;
  /** Discovery turns away what waited for 2 s; who gives up before that has it work for nothing. */
  private static final double ANSWER = 1.0 / 3;
  private static final double BACKOFF_FIRST = 1.0 / 12;
  private static final double BACKOFF_MOST = 5.0 / 12;
  /** Where changes come unasked from an agent of our own, which counts what it has as told at once. */
  private static final double UNASKED = 1.0 / 24;

  private final long boundUs;
  private int failures;

  /** Where the settings hold an instance to its list for less time than the protocol does, that is the bound. */
  public ListCalls(Settings.Rules rules) {
    boundUs = Math.min(TOLD_US, rules.askEveryUs());
  }

  /** How long a watch may wait for a change: {@code confirmed}, if it has been answered since it began. */
  public long waitUs(boolean confirmed) {
    return Math.round(boundUs * (confirmed ? WATCH : WATCH_FIRST));
  }

  /** How long an answer may take beyond the wait that was asked for; silence beyond is a failure. */
  public long answerUs() {
    return Math.round(boundUs * ANSWER);
  }

  /** A call was answered, or discovery is elsewhere: the next failure is the first. */
  public void reset() {
    failures = 0;
  }

  /** How long to wait after one more failed call; {@code chance} from 0 to under 1. */
  public long failedUs(double chance) {
    double most = Math.min(BACKOFF_MOST, BACKOFF_FIRST * (1L << Math.min(failures, Long.SIZE / 2)));
    failures++;
    return Math.round(boundUs * most * (1 + chance) / 2);
  }

  /** The same where the settings promise changes unasked. */
  public long failedUnaskedUs(double chance) {
    return Math.round(boundUs * UNASKED * (1 + chance) / 2);
  }
}
