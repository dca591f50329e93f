package tidebank.testbed.scale;

/** The content of a response of discovery. */
enum ExchangeKind {
  WHOLE_LIST,
  CHANGES,
  /** No change: the watch reached its wait limit. */
  NOTHING
}
