package tidebank.model;

/** How a dispatch or a probe ended. */
public enum Outcome {
  COMPLETED(false),
  ERROR(false),
  FULL(true),
  TIMED_OUT(false),
  UNREACHABLE(true),
  BROKEN(false),
  /** Its shard server sent something on its connection that no answer of this protocol is. */
  SPOILT(false),
  CANCELLED(false),
  NEVER_SENT(true);

  /** True where this end proves that the dispatch never ran. */
  public final boolean neverRan;

  Outcome(boolean neverRan) {
    this.neverRan = neverRan;
  }
}
