package tidebank.frontend;

import tidebank.runtime.PolicyExecutor;

/**
 * Tracks the arrival of the requests of one connection: whether a request is incomplete, and since
 * when bytes may have waited to be read. Times are in microseconds.
 */
final class RequestArrival {
  /** Stands for no incomplete request; actual times are far above 0. */
  private static final long NOT_BEGUN = 0;

  private static final long NEVER = Long.MAX_VALUE;

  private final PolicyExecutor executor;
  private final long acceptedInPass;
  private final long earliestConnectTime;
  private long beganAt = NOT_BEGUN;
  private boolean requestReceived;

  /** Since when input may have been left unread, or {@link #NEVER}. */
  private long unreadSince = NEVER;

  /**
   * Creates a tracker; called in the event loop pass that accepts the connection.
   *
   * @param earliestConnectTime the earliest time at which the connection may have been established
   */
  RequestArrival(PolicyExecutor executor, long earliestConnectTime) {
    this.executor = executor;
    this.acceptedInPass = executor.passNumber();
    this.earliestConnectTime = earliestConnectTime;
  }

  /** Returns whether a request has begun but is not complete. */
  boolean hasIncompleteRequest() {
    return beganAt != NOT_BEGUN;
  }

  /** Returns whether a complete request has been received. */
  boolean hasReceivedRequest() {
    return requestReceived;
  }

  /** Records that a complete request has been received. */
  void markRequestReceived() {
    requestReceived = true;
  }

  /** Records that the first bytes of a request have arrived. */
  void beginRequest() {
    beganAt = earliestArrivalTime();
  }

  /** Records that the request is complete or dropped, and returns when it began. */
  long endRequest() {
    long lastBeganAt = beganAt;
    beganAt = NOT_BEGUN;
    return lastBeganAt;
  }

  /**
   * Returns the earliest time at which bytes read now may have arrived. The first request may have
   * arrived before the pass that accepted its connection, if the connection waited to be accepted.
   * Input may have waited since a pass that left some unread.
   */
  long earliestArrivalTime() {
    boolean justAccepted = !requestReceived && executor.passNumber() <= acceptedInPass + 1;
    long arrivalTime = justAccepted ? earliestConnectTime : executor.earliestArrivalTime();
    return Math.min(arrivalTime, unreadSince);
  }

  /** Records that all input of the connection was read. */
  void markDrained() {
    unreadSince = NEVER;
  }

  /** Records that input was left unread, or read but not parsed. */
  void markLeftUnread() {
    unreadSince = earliestArrivalTime();
  }
}
