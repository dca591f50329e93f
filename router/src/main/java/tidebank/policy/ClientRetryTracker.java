package tidebank.policy;

import java.util.LinkedHashMap;
import java.util.Map;
import tidebank.model.Event;
import tidebank.model.QueryClass;

/**
 * Remembers when queries were first received, by query class and key, so that the latency objective
 * of a client retry is measured from the client's first try.
 */
final class ClientRetryTracker {
  private final Map<String, Long> firstReceivedAt = new LinkedHashMap<>();

  /**
   * Returns when the client's first try of this query was received. The query is itself the first
   * try unless the client marked it as a retry and its key is known.
   */
  long firstReceivedAt(Event.QueryReceived event, QueryClass queryClass, long now) {
    long oldest = now - queryClass.timeoutUs();
    firstReceivedAt.values().removeIf(at -> at <= oldest);
    String key = queryClass.name() + ' ' + event.key();
    if (!event.clientRetry() || event.key().isEmpty()) {
      firstReceivedAt.remove(key);
    }
    return firstReceivedAt.computeIfAbsent(key, absent -> event.receivedAt());
  }
}
