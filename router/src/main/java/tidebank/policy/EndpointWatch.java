package tidebank.policy;

import tidebank.model.Event.ListUpdate;
import tidebank.model.SeededRandom;
import tidebank.model.Settings;

/**
 * Keeps the endpoint list current: watches discovery if the settings require it. A lost watch is
 * started again after a backoff that grows with each failure, or at once if discovery has moved.
 */
final class EndpointWatch {
  private enum State {
    /** Not watching; the watch is started at {@link #startAt}. */
    INACTIVE,
    /** Started, but nothing has been received yet. */
    STARTING,
    ACTIVE
  }

  private final boolean required;
  private final long pollIntervalUs;
  private final WatchTimings timings;
  private final SeededRandom random;
  private State state = State.INACTIVE;

  /** When the watch is to be started, or was started. */
  private long startAt;

  /** When the pending call to discovery was made. */
  private long callStartedAt;

  EndpointWatch(Settings settings, SeededRandom random) {
    this.required = settings.limits().watchOnRequest();
    this.pollIntervalUs = settings.rules().pollIntervalUs();
    this.timings = new WatchTimings(settings);
    this.random = random;
  }

  /** Records a received update or a failure of the watch. */
  void recordUpdate(ListUpdate update, long now) {
    switch (update) {
      case WATCH_LOST -> {
        state = State.INACTIVE;
        startAt = now + timings.backoffUs(now - callStartedAt, random.nextDouble());
      }
      case DISCOVERY_MOVED -> {
        state = State.INACTIVE;
        timings.resetBackoff();
        startAt = now;
      }
      case DELTA, SNAPSHOT -> {
        state = state == State.STARTING ? State.ACTIVE : state;
        callStartedAt = now;
        timings.resetBackoff();
      }
      case CACHED -> {
        // Handed over by the previous instance: it does not show that discovery responds.
      }
    }
  }

  /** Starts the watch if it is due, also when a started one has received nothing; returns if so. */
  boolean startIfDue(long now) {
    if (!required || now < nextStartAt()) {
      return false;
    }
    state = State.STARTING;
    startAt = now;
    callStartedAt = now;
    return true;
  }

  /** Returns when the watch is to be started next, or {@link Long#MAX_VALUE} if it is not. */
  long nextStartAt() {
    if (!required || state == State.ACTIVE) {
      return Long.MAX_VALUE;
    }
    return state == State.INACTIVE ? startAt : startAt + pollIntervalUs;
  }
}
