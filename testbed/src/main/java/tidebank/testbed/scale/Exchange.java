package tidebank.testbed.scale;

/**
 * One call to discovery and its answer, as they were on the wire.
 *
 * @param requestBytes of the TCP stream, heads included
 * @param responseBytes the same
 * @param waitMs how long the call was to wait for a change; 0 if not at all
 */
record Exchange(
    int gatherer, ExchangeKind kind, long requestBytes, long responseBytes, long waitMs) {
  /** A request and a response. */
  static final int MESSAGES = 2;

  long bytes() {
    return requestBytes + responseBytes;
  }
}
