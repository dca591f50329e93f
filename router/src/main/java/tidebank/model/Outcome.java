package tidebank.model;

/** How a dispatch or a probe ended. */
public enum Outcome {
  COMPLETED(false),
  ERROR(false),
  OVERLOADED(true),
  TIMED_OUT(false),
  UNREACHABLE(true),
  CONNECTION_LOST(false),
  /** Its shard server sent something on its connection that no answer of this protocol is. */
  PROTOCOL_ERROR(false),
  CANCELLED(false),
  NOT_SENT(true);

  /** True where this end proves that the dispatch never ran. */
  public final boolean neverExecuted;

  Outcome(boolean neverRan) {
    this.neverExecuted = neverRan;
  }
}
