package tidebank.frontend;

import tidebank.runtime.PolicyExecutor;

/**
 * When the requests of one connection arrive: since when bytes that are read may have waited, and
 * whether a request has begun that is not complete.
 */
final class RequestArrival {
  /** No request has begun; times are far above. */
  private static final long NONE = 0;

  private final PolicyExecutor executor;
  private final long acceptedInPass;
  private final long acceptedSince;
  private long beganAt = NONE;
  private boolean received;

  /**
   * Called in the pass of the event loop that accepts the connection; {@code acceptedSince} is when
   * it may have been established at the earliest.
   */
  RequestArrival(PolicyExecutor executor, long acceptedSince) {
    this.executor = executor;
    this.acceptedInPass = executor.passNumber();
    this.acceptedSince = acceptedSince;
  }

  /** Returns whether a request has begun that is not complete. */
  boolean hasIncompleteRequest() {
    return beganAt != NONE;
  }

  /** Returns whether any complete request has come. */
  boolean hasReceivedRequest() {
    return received;
  }

  /** Notes that a complete request has come. */
  void received() {
    received = true;
  }

  /** Notes that the first bytes of a request have come. */
  void begin() {
    beganAt = arrivedSince();
  }

  /** Notes that the request is complete or given up, and returns when it began. */
  long end() {
    long began = beganAt;
    beganAt = NONE;
    return began;
  }

  /**
   * Returns since when bytes that are read now may have waited: a connection may have been
   * established, and its first request sent, before the pass that accepted it.
   */
  long arrivedSince() {
    boolean justAccepted = !received && executor.passNumber() <= acceptedInPass + 1;
    return justAccepted ? acceptedSince : executor.arrivedSince();
  }
}
