package tidebank.policy;

import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/**
 * Slow start of one shard server: limits what this router sends to a server that has just started.
 * A warm server is taken to bear what one core can, or as many cores as it is listed with, and a
 * starting one the initial share of that, rising evenly. This router's share is one part of as many
 * as there are routers, over any window.
 *
 * <p>Where that is under one batch, the fleet's batches go round by router index, each slot lasting
 * until the next: chance alone lets a fleet exceed its budget, and so does a restarted router,
 * which forgot whether it sent. So only slots that begin after the notification of the start count.
 */
final class SlowStart {
  /** How many standard deviations of chance a server's batches stay under what it bears. */
  private static final double DEVIATIONS = 4;

  private static final double MIN_BATCHES = 0.00005;

  private final String serverId;
  private final Settings settings;
  private final Settings.Rules rules;
  private final SlidingWindow sends = new SlidingWindow();

  /** When the server started, or 0 where that is long past. */
  private long startedAt;

  /** How many batches it bears warm within the overload window, as known when it started. */
  private double warmBatches;

  /** The share of a round among the routers by which this router's slots come later. */
  private double phase;

  /** The latest slot that was used, or that ran when the start was notified. */
  private long lastSlot;

  SlowStart(String serverId, Settings settings) {
    this.serverId = serverId;
    this.settings = settings;
    this.rules = settings.rules();
  }

  long startedAt() {
    return startedAt;
  }

  /**
   * Begins a slow start.
   *
   * @param at when the server started
   * @param capacity its cores as listed
   * @param batchUs what one batch keeps a core busy for
   */
  void begin(long at, double capacity, double batchUs, SeededRandom random, long now) {
    startedAt = at;
    double cores = Math.max(1, capacity);
    warmBatches = rules.overloadMultiple() * cores * rules.overloadWindowUs() / batchUs;
    double turn =
        SeededRandom.mixedHash(serverId) + settings.routerIndex() / (double) settings.routers();
    phase = settings.routerIndex() < 0 ? random.nextDouble() : turn - Math.floor(turn);
    lastSlot = slot(now);
  }

  /** Returns whether one more request may be sent to the server now. */
  boolean admits(long now) {
    long ageUs = now - startedAt;
    if (startedAt == 0 || ageUs >= rules.slowStartUs()) {
      return true;
    }
    // The window that ends now began when less was allowed.
    double windowStart =
        Math.max(0, ageUs - rules.overloadWindowUs()) / (double) rules.slowStartUs();
    double initial = rules.slowStartInitialShare();
    double fairShare = (initial + (1 - initial) * windowStart) * warmBatches / settings.routers();
    return sends.count(now, rules.overloadWindowUs()) + 1 <= Math.max(1, fairShare)
        && (fairShare >= 1 || slot(now) > lastSlot);
  }

  /** Records that a request is sent to the server. */
  void recordSend(long now) {
    sends.add(now, rules.overloadWindowUs());
    lastSlot = startedAt == 0 ? 0 : slot(now);
  }

  /**
   * Returns the number of this router's slot, by the batches that the fleet has been allowed since
   * the start. When batches come is chance: their mean is kept so low that four deviations still
   * lie under the budget and two of its own.
   */
  private long slot(long now) {
    double initial = rules.slowStartInitialShare();
    double ageUs = Math.max(0, now - startedAt);
    double grownUs = initial * ageUs + (1 - initial) * ageUs * ageUs / 2 / rules.slowStartUs();
    double least = Math.max(MIN_BATCHES, initial * warmBatches);
    double root =
        Math.sqrt(Math.pow(Math.sqrt(least) + 1, 2) + 1 + DEVIATIONS * DEVIATIONS / 4)
            - DEVIATIONS / 2;
    double batches =
        grownUs / rules.overloadWindowUs() * warmBatches * root * root / Math.max(1, least);
    return (long) Math.floor(batches / settings.routers() - phase);
  }
}
