package tidebank.runtime;

import java.util.EnumMap;
import java.util.Map;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;

/**
 * Names of the counters that count by kind. Dashboards and reports read them, so they stay as they
 * are when a term in the code changes.
 */
final class CounterNames {
  private static final Map<Outcome, String> ATTEMPTS = new EnumMap<>(Outcome.class);
  private static final Map<Outcome, String> HEALTH_CHECKS = new EnumMap<>(Outcome.class);
  private static final Map<ListUpdate, String> LIST_UPDATES = new EnumMap<>(ListUpdate.class);

  static {
    for (Outcome outcome : Outcome.values()) {
      ATTEMPTS.put(outcome, "dispatches." + word(outcome));
      HEALTH_CHECKS.put(outcome, "probes." + word(outcome));
    }
    for (ListUpdate update : ListUpdate.values()) {
      LIST_UPDATES.put(update, "list." + word(update));
    }
  }

  private CounterNames() {}

  /** The counter of attempts that ended so. */
  static String attempts(Outcome outcome) {
    return ATTEMPTS.get(outcome);
  }

  /** The counter of health checks that ended so. */
  static String healthChecks(Outcome outcome) {
    return HEALTH_CHECKS.get(outcome);
  }

  /** The counter of endpoint lists of this kind. */
  static String listUpdates(ListUpdate update) {
    return LIST_UPDATES.get(update);
  }

  private static String word(Outcome outcome) {
    return switch (outcome) {
      case COMPLETED -> "completed";
      case ERROR -> "error";
      case OVERLOADED -> "full";
      case TIMED_OUT -> "timed_out";
      case UNREACHABLE -> "unreachable";
      case CONNECTION_LOST -> "broken";
      case PROTOCOL_ERROR -> "spoilt";
      case CANCELLED -> "cancelled";
      case NOT_SENT -> "never_sent";
    };
  }

  private static String word(ListUpdate update) {
    return switch (update) {
      case DELTA -> "changes";
      case SNAPSHOT -> "full";
      case CACHED -> "remembered";
      case WATCH_LOST -> "lost";
      case DISCOVERY_MOVED -> "moved";
    };
  }
}
