package tidebank.runtime;

import java.util.EnumMap;
import java.util.Map;
import tidebank.model.Event.ListUpdate;
import tidebank.model.Outcome;

/**
 * Names of the counters for each outcome and each kind of endpoint list update. Dashboards and
 * reports read these names, so they do not follow renames in the code.
 */
final class CounterNames {
  private static final Map<Outcome, String> ATTEMPTS = new EnumMap<>(Outcome.class);
  private static final Map<Outcome, String> HEALTH_CHECKS = new EnumMap<>(Outcome.class);
  private static final Map<ListUpdate, String> LIST_UPDATES = new EnumMap<>(ListUpdate.class);

  static {
    for (Outcome outcome : Outcome.values()) {
      ATTEMPTS.put(outcome, "dispatches." + suffix(outcome));
      HEALTH_CHECKS.put(outcome, "probes." + suffix(outcome));
    }
    for (ListUpdate update : ListUpdate.values()) {
      LIST_UPDATES.put(update, "list." + suffix(update));
    }
  }

  private CounterNames() {}

  /** Returns the name of the counter of attempts with this outcome. */
  static String attempts(Outcome outcome) {
    return ATTEMPTS.get(outcome);
  }

  /** Returns the name of the counter of health checks with this outcome. */
  static String healthChecks(Outcome outcome) {
    return HEALTH_CHECKS.get(outcome);
  }

  /** Returns the name of the counter of endpoint list updates of this kind. */
  static String listUpdates(ListUpdate update) {
    return LIST_UPDATES.get(update);
  }

  private static String suffix(Outcome outcome) {
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

  private static String suffix(ListUpdate update) {
    return switch (update) {
      case DELTA -> "changes";
      case SNAPSHOT -> "full";
      case CACHED -> "remembered";
      case WATCH_LOST -> "lost";
      case DISCOVERY_MOVED -> "moved";
    };
  }
}
