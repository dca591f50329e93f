package tidebank.testbed.scale;

/** What discovery answered a call with. */
enum ExchangeKind {
  WHOLE_LIST,
  CHANGES,
  /** Nothing had changed when the wait was over. */
  NOTHING
}
