package tidebank.testbed.scale;

/**
 * A request to discovery and its response.
 *
 * @param router number of the router that sent the request, from 0
 * @param kind content of the response
 * @param requestBytes bytes of the request on the TCP connection, HTTP headers included
 * @param responseBytes bytes of the response on the TCP connection, HTTP headers included
 * @param waitMs wait limit of the request, in milliseconds; 0 if it is not a watch
 */
record Exchange(int router, ExchangeKind kind, long requestBytes, long responseBytes, long waitMs) {
  /** Messages of one exchange: the request and the response. */
  static final int MESSAGES_PER_EXCHANGE = 2;

  /** Returns the bytes of the request and the response together. */
  long bytes() {
    return requestBytes + responseBytes;
  }
}
