package tidebank.frontend;

import tidebank.runtime.Clock;
import tidebank.runtime.TimerQueue;

/** The time limits of one client's connection, all of the same length. */
final class ConnectionTimers {
  private final TimerQueue timers;
  private final Clock clock;
  private final long limitUs;
  private final TimerQueue.Timer request;
  private final TimerQueue.Timer unreadResponses;
  private final TimerQueue.Timer linger;

  /** What to do when a limit has passed. */
  interface Listener {
    /** No complete request came in time. */
    void requestTimedOut();

    /** The client has not read its responses in time. */
    void responsesNotRead();

    /** The client has not ended its side in time after its final response. */
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

  /** Starts the limit of the first request, or of one that has begun. */
  void startRequest() {
    start(request);
  }

  void cancelRequest() {
    timers.cancel(request);
  }

  /** Starts the limit of responses that the client does not read. */
  void startUnreadResponses() {
    start(unreadResponses);
  }

  void cancelUnreadResponses() {
    timers.cancel(unreadResponses);
  }

  /** Starts the limit of a client that has its final response. */
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
