package tidebank.frontend;

import tidebank.runtime.Clock;
import tidebank.runtime.TimerQueue;

/** The time limits of a client's connection, all of the same duration. */
final class ConnectionTimers {
  private final TimerQueue timers;
  private final Clock clock;
  private final long limitUs;
  private final TimerQueue.Timer request;
  private final TimerQueue.Timer unreadResponses;
  private final TimerQueue.Timer linger;

  /** Is notified when a time limit has expired. */
  interface Listener {
    /** Called when no complete request arrived in time. */
    void requestTimedOut();

    /** Called when the client has not read its responses in time. */
    void responsesNotRead();

    /** Called when the client has not closed its side in time after the final response. */
    void lingeredTooLong();
  }

  ConnectionTimers(FrontendContext context, Listener listener) {
    this.timers = context.timers();
    this.clock = context.clock();
    this.limitUs = context.config().transport().requestTimeoutUs();
    this.request = TimerQueue.timer(listener::requestTimedOut);
    this.unreadResponses = TimerQueue.timer(listener::responsesNotRead);
    this.linger = TimerQueue.timer(listener::lingeredTooLong);
  }

  /** Starts the time limit of the first request, or of one that has begun. */
  void startRequest() {
    start(request);
  }

  void cancelRequest() {
    timers.cancel(request);
  }

  /** Starts the time limit for reading the responses. */
  void startUnreadResponses() {
    start(unreadResponses);
  }

  void cancelUnreadResponses() {
    timers.cancel(unreadResponses);
  }

  /** Starts the time limit for closing the client's side after the final response. */
  void startLinger() {
    start(linger);
  }

  void cancelAll() {
    timers.cancel(request);
    timers.cancel(unreadResponses);
    timers.cancel(linger);
  }

  private void start(TimerQueue.Timer timer) {
    timers.schedule(timer, clock.now() + limitUs);
  }
}
