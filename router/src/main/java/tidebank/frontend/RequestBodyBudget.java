package tidebank.frontend;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The memory that the bodies of incomplete requests may hold, all client connections together. If
 * they exceed it, the largest body is dropped until they fit, the older one of two equal ones. A
 * body of at most the budget divided by the number of connections is therefore never dropped.
 */
final class RequestBodyBudget {
  /** The body of an incomplete request. */
  interface Body {
    /** Called when the body is dropped; its memory is no longer counted. */
    void drop();
  }

  private final long maxBytes;

  /** The bytes that each body uses, in the order in which the bodies began. */
  private final Map<Body, Integer> bytesByBody = new LinkedHashMap<>();

  private long totalBytes;
  private long peakBytes;

  RequestBodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /** Returns the most bytes that were used at any time, after drops. */
  long peakBytes() {
    return peakBytes;
  }

  /** Records how many bytes a body uses now, and drops bodies if there are too many bytes. */
  void resize(Body body, int bytes) {
    Integer before = bytesByBody.put(body, bytes);
    totalBytes += bytes - (before == null ? 0 : before);
    while (totalBytes > maxBytes) {
      Body largest = largest();
      release(largest);
      largest.drop();
    }
    peakBytes = Math.max(peakBytes, totalBytes);
  }

  /** Records that a body is complete or gone. */
  void release(Body body) {
    Integer before = bytesByBody.remove(body);
    totalBytes -= before == null ? 0 : before;
  }

  private Body largest() {
    Body largest = null;
    int mostBytes = -1;
    for (Map.Entry<Body, Integer> entry : bytesByBody.entrySet()) {
      if (entry.getValue() > mostBytes) {
        largest = entry.getKey();
        mostBytes = entry.getValue();
      }
    }
    return largest;
  }
}
