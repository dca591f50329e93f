package tidebank.model;

/** How an attempt or a health check ended. */
public enum Outcome {
  /** The server responded with a result. */
  COMPLETED(false),
  /** The server responded with an error. */
  ERROR(false),
  /** The server rejected the attempt without executing it. */
  OVERLOADED(true),
  /** No response arrived before the deadline. */
  TIMED_OUT(false),
  /** No connection could be opened. */
  UNREACHABLE(true),
  /** The connection ended before a response arrived. */
  CONNECTION_LOST(false),
  /** The server sent data that violates the protocol. */
  PROTOCOL_ERROR(false),
  /** The attempt was cancelled. */
  CANCELLED(false),
  /** The attempt was never sent. */
  NOT_SENT(true);

  private final boolean provesNotExecuted;

  Outcome(boolean provesNotExecuted) {
    this.provesNotExecuted = provesNotExecuted;
  }

  /** Returns whether this outcome proves that the server did not execute the attempt. */
  public boolean provesNotExecuted() {
    return provesNotExecuted;
  }
}
