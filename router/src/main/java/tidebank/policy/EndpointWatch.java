package tidebank.policy;

import tidebank.model.Event.ListUpdate;
import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/**
 * Keeps the endpoint list fresh: watches discovery where the settings ask for it, starts the watch
 * again with a growing backoff after it was lost, and at once when discovery has moved.
 */
final class EndpointWatch {
  private enum State {
    /** Not watching; the watch is started once its time has come. */
    INACTIVE,
    /** Started, nothing received yet. */
    STARTING,
    ACTIVE
  }

  private final boolean required;
  private final long pollIntervalUs;
  private final WatchTimings timings;
  private final SeededRandom random;
  private State state = State.INACTIVE;

  /** When the watch is to be started, or was. */
  private long startAt;

  /** When the call that is waiting was made. */
  private long calledAt;

  EndpointWatch(Settings settings, SeededRandom random) {
    this.required = settings.limits().watchOnRequest();
    this.pollIntervalUs = settings.rules().pollIntervalUs();
    this.timings = new WatchTimings(settings);
    this.random = random;
  }

  /** Records what came of the watch; a cached list is no sign of life. */
  void recordUpdate(ListUpdate update, long now) {
    switch (update) {
      case WATCH_LOST -> {
        state = State.INACTIVE;
        startAt = now + timings.backoffUs(now - calledAt, random.nextDouble());
      }
      case DISCOVERY_MOVED -> {
        state = State.INACTIVE;
        timings.reset();
        startAt = now;
      }
      case DELTA, SNAPSHOT -> {
        state = state == State.STARTING ? State.ACTIVE : state;
        calledAt = now;
        timings.reset();
      }
      case CACHED -> {
        // Handed over by the instance before; discovery did not answer.
      }
    }
  }

  /** Returns whether the watch is to be started now, or again as nothing came of it. */
  boolean startIfDue(long now) {
    if (!required || now < nextStartAt()) {
      return false;
    }
    state = State.STARTING;
    startAt = now;
    calledAt = now;
    return true;
  }

  /** Returns when the watch is to be started next, or {@link Long#MAX_VALUE}. */
  long nextStartAt() {
    if (!required || state == State.ACTIVE) {
      return Long.MAX_VALUE;
    }
    return state == State.INACTIVE ? startAt : startAt + pollIntervalUs;
  }
}
