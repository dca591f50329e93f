package tidebank.model;

/** Whether a part of a table type may run more than once. */
public enum Idempotency {
  IDEMPOTENT,
  WITH_KEY,
  NON_IDEMPOTENT
}
