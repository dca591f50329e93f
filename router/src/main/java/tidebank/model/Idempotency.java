package tidebank.model;

/** Whether the shard requests of a query class may be executed more than once. */
public enum Idempotency {
  /** May be executed any number of times. */
  IDEMPOTENT,
  /** Servers ignore repetitions with the same key within the class's idempotency window. */
  WITH_KEY,
  /** Must not be executed again once it may have been executed. */
  NON_IDEMPOTENT
}
