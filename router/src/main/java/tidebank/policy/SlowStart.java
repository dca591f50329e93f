package tidebank.policy;

import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/**
 * Slow start of one shard server: limits the requests that this router sends to a server that has
 * just started. A warm server is assumed to sustain the load of as many cores as its listed
 * capacity, and of one core at least. A starting server gets the initial share of that load, and
 * the share rises linearly to 1. The routers divide the load evenly, over any overload window.
 *
 * <p>If one router's part is less than one batch, the routers take turns: each may send one batch
 * in its slot, in the order of the router indexes, and a slot lasts until the router's next one.
 * Without turns the fleet could exceed its budget by chance. A restarted router does not know
 * whether it has already sent in the current slot, so only slots that begin after the notification
 * of the server's start count.
 */
final class SlowStart {
  /** The safety margin of the slots, in standard deviations of the number of batches. */
  private static final double SAFETY_DEVIATIONS = 4;

  private static final double MIN_INITIAL_BATCHES = 0.00005;

  private final String serverId;
  private final Settings settings;
  private final Settings.Rules rules;
  private final SlidingWindow sends = new SlidingWindow();

  /** When the slow start began by this router's clock, or 0 if the server started long ago. */
  private long startedAt;

  /**
   * The number of batches per overload window that the server can sustain once it is warm, as
   * estimated when it started.
   */
  private double warmBatches;

  /** The offset of this router's slots, as a share of one round over all routers. */
  private double phase;

  /** The last slot that was used, or the slot in which the start was notified. */
  private long lastSlot;

  SlowStart(String serverId, Settings settings) {
    this.serverId = serverId;
    this.settings = settings;
    this.rules = settings.rules();
  }

  /** Returns when the server started, or 0 if it started long ago. */
  long startedAt() {
    return startedAt;
  }

  /**
   * Begins a slow start.
   *
   * @param serverStartedAt when the server started
   * @param capacity the server's listed capacity, in cores
   * @param batchUs how long one batch keeps a core busy, in microseconds
   */
  void begin(long serverStartedAt, double capacity, double batchUs, SeededRandom random, long now) {
    startedAt = serverStartedAt;
    double cores = Math.max(1, capacity);
    warmBatches = rules.overloadMultiple() * cores * rules.overloadWindowUs() / batchUs;
    double indexedPhase =
        SeededRandom.mixedHash(serverId) + settings.routerIndex() / (double) settings.routers();
    phase =
        settings.routerIndex() < 0 ? random.nextDouble() : indexedPhase - Math.floor(indexedPhase);
    lastSlot = slot(now);
  }

  /** Returns whether one more request may be sent to the server now. */
  boolean allowsSend(long now) {
    long ageUs = now - startedAt;
    if (startedAt == 0 || ageUs >= rules.slowStartUs()) {
      return true;
    }
    // The share at the start of the window that ends now applies: it is the lowest of the window.
    double windowStartProgress =
        Math.max(0, ageUs - rules.overloadWindowUs()) / (double) rules.slowStartUs();
    double initialShare = rules.slowStartInitialShare();
    double allowedBatches =
        (initialShare + (1 - initialShare) * windowStartProgress)
            * warmBatches
            / settings.routers();
    return sends.count(now, rules.overloadWindowUs()) + 1 <= Math.max(1, allowedBatches)
        && (allowedBatches >= 1 || slot(now) > lastSlot);
  }

  /** Records that a request was sent to the server. */
  void recordSend(long now) {
    sends.add(now, rules.overloadWindowUs());
    lastSlot = startedAt == 0 ? 0 : slot(now);
  }

  /**
   * Returns the number of this router's current slot, derived from the number of batches that the
   * fleet has been allowed since the server's start. The number of batches that are really sent
   * varies at random, and its standard deviation is the square root of its mean. The mean is
   * therefore kept below the budget. At the start, {@code mean + 4 * sqrt(mean)} equals {@code
   * budget + 2 * sqrt(budget) + 2}, with all numbers in batches per overload window.
   */
  private long slot(long now) {
    double initialShare = rules.slowStartInitialShare();
    double ageUs = Math.max(0, now - startedAt);
    // The integral of the allowed share over the time since the start.
    double fullShareUs =
        initialShare * ageUs + (1 - initialShare) * ageUs * ageUs / 2 / rules.slowStartUs();
    double initialBatches = Math.max(MIN_INITIAL_BATCHES, initialShare * warmBatches);
    double sqrtMean =
        Math.sqrt(
                Math.pow(Math.sqrt(initialBatches) + 1, 2)
                    + 1
                    + SAFETY_DEVIATIONS * SAFETY_DEVIATIONS / 4)
            - SAFETY_DEVIATIONS / 2;
    double fleetBatches =
        fullShareUs
            / rules.overloadWindowUs()
            * warmBatches
            * sqrtMean
            * sqrtMean
            / Math.max(1, initialBatches);
    return (long) Math.floor(fleetBatches / settings.routers() - phase);
  }
}
