package tidebank.testbed.scale;

/** The content of a response of discovery. */
enum ExchangeKind {
  SNAPSHOT,
  DELTA,
  /** No change: the watch reached its wait limit. */
  EMPTY
}
