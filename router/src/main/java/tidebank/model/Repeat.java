package tidebank.model;

/** Whether a part of a table type may run more than once. */
public enum Repeat {
  REPLAYABLE,
  KEYED,
  NON_REPLAYABLE
}
