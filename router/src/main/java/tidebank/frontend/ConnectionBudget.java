package tidebank.frontend;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tidebank.config.RouterConfig;

/**
 * The open connections of clients, and which of them is closed to make room for another. Confined
 * to the event loop.
 */
final class ConnectionBudget {
  private final FrontendContext context;
  private final RouterConfig.Budgets budgets;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Those of which no request has come yet, the oldest first. */
  private final Set<ClientConnection> silent = new LinkedHashSet<>();

  /** Those between two requests, or past their final response, the longest idle first. */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  ConnectionBudget(FrontendContext context) {
    this.context = context;
    this.budgets = context.config().budgets();
  }

  /** Adds a connection that was just accepted. */
  void add(ClientConnection connection) {
    connections.add(connection);
    silent.add(connection);
  }

  void remove(ClientConnection connection) {
    connections.remove(connection);
    requestBegan(connection);
  }

  int size() {
    return connections.size();
  }

  /** Returns whether no further connection may be accepted, not even to refuse its requests. */
  boolean isExhausted() {
    return connections.size() >= budgets.maxAcceptedClients();
  }

  /** Returns the open connections as they are now. */
  List<ClientConnection> snapshot() {
    return List.copyOf(connections);
  }

  /** Notes that a request has begun: the connection is no longer one to be closed for another. */
  void requestBegan(ClientConnection connection) {
    silent.remove(connection);
    idle.remove(connection);
  }

  /**
   * Notes that a connection is between two requests. If many are, closes the longest idle one, but
   * not so soon that its client may be about to send its next request.
   */
  void becameIdle(ClientConnection connection) {
    long now = context.clock().now();
    connection.idleFrom(now);
    idle.add(connection);
    ClientConnection longest = idle.iterator().next();
    if (idle.size() > budgets.maxIdleClients()
        && context.clock().now() - longest.idleSince()
            >= context.config().transport().minIdleUs()) {
      closeIfIdle(longest, "front.closed-rested", "longest_idle");
    }
  }

  /**
   * Returns whether there is room for one more connection, for which at most one other is closed.
   * That one may itself have been over the budget, and then there is still no room.
   */
  boolean makeRoom() {
    while (connections.size() >= budgets.maxServedClients()) {
      ClientConnection candidate = leastWanted();
      if (candidate == null) {
        return false;
      }
      if (closeIfIdle(candidate, "front.closed-for-room", "room_for_new_connection")) {
        return connections.size() < budgets.maxServedClients();
      }
    }
    return true;
  }

  /**
   * Returns the oldest silent connection if its first request is overdue, else the longest idle
   * one, as it is the likeliest to send no more; null if there is none.
   */
  private ClientConnection leastWanted() {
    ClientConnection oldestSilent = silent.isEmpty() ? null : silent.iterator().next();
    boolean overdue =
        oldestSilent != null
            && context.clock().now() - oldestSilent.connectedAt()
                >= context.config().transport().connectTimeoutUs();
    return overdue || idle.isEmpty() ? oldestSilent : idle.iterator().next();
  }

  /**
   * Closes a connection without a request, unless a request, or the client's end, has come and is
   * not read yet. Returns whether it was closed; if not it is no candidate any more.
   */
  boolean closeIfIdle(ClientConnection connection, String counter, String reason) {
    connection.checkClient();
    if (!connections.contains(connection) || !connection.isIdle()) {
      requestBegan(connection);
      return false;
    }
    context.counters().add(counter);
    connection.close(reason);
    return true;
  }
}
