package tidebank.policy;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import tidebank.model.Event;
import tidebank.model.QueryClass;

/**
 * Remembers when queries were first received, by query class and key, so that the latency objective
 * of a client retry is measured from the client's first try. Clients choose the keys, so the oldest
 * entries are dropped if the keys together are too long.
 */
final class ClientRetryTracker {
  /** The most characters of all keys together. */
  static final int MAX_KEY_CHARACTERS = 1 << 20;

  /** The characters that an entry counts for beside its key, for the objects that it needs. */
  private static final int CHARACTERS_PER_ENTRY = 64;

  /** Oldest first, as the times of receipt hardly ever decrease. */
  private final Map<String, Long> firstReceivedAt = new LinkedHashMap<>();

  private int characters;

  /**
   * Returns when the client's first try of this query was received. The query is itself the first
   * try unless the client marked it as a retry and its key is known.
   */
  long firstReceivedAt(Event.QueryReceived event, QueryClass queryClass, long now) {
    long oldest = now - queryClass.timeoutUs();
    dropOldest(oldest);
    if (event.key().isEmpty()) {
      return event.receivedAt();
    }
    String key = queryClass.name() + ' ' + event.key();
    Long first = firstReceivedAt.get(key);
    if (first != null && (!event.clientRetry() || first <= oldest)) {
      firstReceivedAt.remove(key);
      characters -= cost(key);
      first = null;
    }
    if (first == null) {
      first = event.receivedAt();
      firstReceivedAt.put(key, first);
      characters += cost(key);
    }
    return first;
  }

  /** Drops entries up to this time, and more if the keys are too long. */
  private void dropOldest(long oldest) {
    Iterator<Map.Entry<String, Long>> entries = firstReceivedAt.entrySet().iterator();
    while (entries.hasNext()) {
      Map.Entry<String, Long> entry = entries.next();
      if (entry.getValue() > oldest && characters <= MAX_KEY_CHARACTERS) {
        return;
      }
      characters -= cost(entry.getKey());
      entries.remove();
    }
  }

  private static int cost(String key) {
    return key.length() + CHARACTERS_PER_ENTRY;
  }

  /** Returns how many keys are remembered. */
  int size() {
    return firstReceivedAt.size();
  }
}
