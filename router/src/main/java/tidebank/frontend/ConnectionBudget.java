package tidebank.frontend;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import tidebank.config.RouterConfig;

/**
 * The open client connections, and the choice of the one that is closed when a new connection
 * exceeds the budget. Confined to the event loop.
 */
final class ConnectionBudget {
  private final FrontendContext context;
  private final RouterConfig.Budgets budgets;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Connections on which no request has begun yet, oldest first. */
  private final Set<ClientConnection> awaitingFirstRequest = new LinkedHashSet<>();

  /** Connections between two requests or after their final response, longest idle first. */
  private final Set<ClientConnection> idle = new LinkedHashSet<>();

  ConnectionBudget(FrontendContext context) {
    this.context = context;
    this.budgets = context.config().budgets();
  }

  /** Adds a connection that was just accepted. */
  void add(ClientConnection connection) {
    connections.add(connection);
    awaitingFirstRequest.add(connection);
  }

  void remove(ClientConnection connection) {
    connections.remove(connection);
    requestBegan(connection);
  }

  int size() {
    return connections.size();
  }

  /** Returns whether no further connection may be accepted, not even to refuse its request. */
  boolean isExhausted() {
    return connections.size() >= budgets.maxAcceptedClients();
  }

  /** Returns a copy of the list of open connections. */
  List<ClientConnection> snapshot() {
    return List.copyOf(connections);
  }

  /** Records that a request has begun, so that the connection is not closed for another one. */
  void requestBegan(ClientConnection connection) {
    awaitingFirstRequest.remove(connection);
    idle.remove(connection);
  }

  /**
   * Records that a connection is idle. If too many are, closes the longest idle one, unless it has
   * been idle so briefly that its client may be about to send another request.
   */
  void becameIdle(ClientConnection connection) {
    long now = context.clock().now();
    connection.setIdleSince(now);
    idle.add(connection);
    ClientConnection longestIdle = idle.iterator().next();
    if (idle.size() > budgets.maxIdleClients()
        && context.clock().now() - longestIdle.idleSince()
            >= context.config().transport().minIdleUs()) {
      closeIfIdle(longestIdle, "front.closed-rested", "longest_idle");
    }
  }

  /**
   * Returns whether the budget allows one more connection, and closes at most one other for it.
   * Closing one is not enough if connections over the budget are open to have their requests
   * refused.
   */
  boolean ensureCapacity() {
    while (connections.size() >= budgets.maxServedClients()) {
      ClientConnection candidate = evictionCandidate();
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
   * Returns the oldest connection without a request if that request is overdue or no connection is
   * idle. Otherwise returns the longest idle one, which is the least likely to send another
   * request. Returns null if there is neither.
   */
  private ClientConnection evictionCandidate() {
    ClientConnection oldestWithoutRequest =
        awaitingFirstRequest.isEmpty() ? null : awaitingFirstRequest.iterator().next();
    boolean isOverdue =
        oldestWithoutRequest != null
            && context.clock().now() - oldestWithoutRequest.connectedAt()
                >= context.config().transport().connectTimeoutUs();
    return isOverdue || idle.isEmpty() ? oldestWithoutRequest : idle.iterator().next();
  }

  /**
   * Closes an idle connection unless unread input shows that a request has begun or the client has
   * disconnected. Returns whether it was closed; if not, it is no longer a candidate for closing.
   */
  boolean closeIfIdle(ClientConnection connection, String counter, String reason) {
    connection.readNow();
    if (!connections.contains(connection) || !connection.isIdle()) {
      requestBegan(connection);
      return false;
    }
    context.counters().increment(counter);
    connection.close(reason);
    return true;
  }
}
