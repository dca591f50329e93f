package tidebank.lease;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The most recently used operator sessions, up to a fixed number. */
final class OperatorSessions {
  private static final int MAX_SESSIONS = 64;

  private final Map<String, OperatorSession> sessions = new LinkedHashMap<>();

  void restore(List<OperatorSession> stored) {
    stored.forEach(session -> sessions.put(session.session(), session));
  }

  /** Returns all sessions, the least recently used first. */
  List<OperatorSession> all() {
    return List.copyOf(sessions.values());
  }

  /** Returns the session of this name, or null. */
  OperatorSession find(String session) {
    return sessions.get(session);
  }

  void recordResult(LeaseCommand command, CommandResult result) {
    sessions.remove(command.session());
    sessions.put(
        command.session(), new OperatorSession(command.session(), command.sequence(), result));
    if (sessions.size() > MAX_SESSIONS) {
      sessions.remove(sessions.keySet().iterator().next());
    }
  }
}
