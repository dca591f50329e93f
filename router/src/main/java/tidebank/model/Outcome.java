package tidebank.model;

/** How an attempt or a health check ended. */
public enum Outcome {
  /** The server responded with a result. */
  COMPLETED(false),
  /** The server responded with an error. */
  ERROR(false),
  /** The server rejected it without executing it. */
  OVERLOADED(true),
  /** No response came before its deadline. */
  TIMED_OUT(false),
  /** No connection could be opened. */
  UNREACHABLE(true),
  /** Its connection ended before a response came. */
  CONNECTION_LOST(false),
  /** The server sent something on its connection that is no response of this protocol. */
  PROTOCOL_ERROR(false),
  /** It was cancelled. */
  CANCELLED(false),
  /** It was never sent. */
  NOT_SENT(true);

  private final boolean neverExecuted;

  Outcome(boolean neverExecuted) {
    this.neverExecuted = neverExecuted;
  }

  /** Returns whether this outcome proves that the attempt was never executed. */
  public boolean neverExecuted() {
    return neverExecuted;
  }
}
