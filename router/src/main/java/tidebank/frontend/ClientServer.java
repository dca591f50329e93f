package tidebank.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import java.util.function.BooleanSupplier;
import tidebank.config.RouterConfig;
import tidebank.metrics.Counters;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.TimerQueue;

/**
 * The HTTP server for clients. Accepts connections within the connection budget and closes them at
 * a shutdown. Confined to the event loop except for {@link #listen}.
 */
public final class ClientServer {
  /** The most reads from one client's connection in an event loop pass. */
  public static final int MAX_READS_PER_PASS = ClientInputHandler.MAX_READS_PER_PASS;

  private final FrontendContext context;
  private final RequestRouter router;
  private final ConnectionBudget budget;
  private final RequestBodyBudget bodyBudget;
  private final ClientInputScheduler inputScheduler;
  private final ListeningSocket listener;
  private final BooleanSupplier canServe;
  private boolean draining;
  private boolean stoppedAccepting;

  /** Creates a server that does not listen yet; {@code canServe} tells whether it can serve. */
  public ClientServer(
      RouterConfig config,
      PolicyExecutor executor,
      Clock clock,
      TimerQueue timers,
      Counters counters,
      BooleanSupplier canServe) {
    this.context = new FrontendContext(config, executor, clock, timers, counters);
    this.canServe = canServe;
    this.router = new RequestRouter(context, this::isReady);
    this.budget = new ConnectionBudget(context);
    this.bodyBudget = new RequestBodyBudget(config.budgets().maxIncompleteBodyBytes());
    counters.raiseTo("front.body-bytes-budget", config.budgets().maxIncompleteBodyBytes());
    this.inputScheduler = new ClientInputScheduler(executor, clock);
    this.listener = new ListeningSocket(clock, timers, counters);
  }

  /** Binds the listening socket. */
  public ChannelFuture listen(ServerBootstrap bootstrap) {
    ChannelInitializer<Channel> initializer =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            accept(channel);
          }
        };
    return listener.bind(bootstrap, context.config().listen(), initializer);
  }

  private void accept(Channel channel) {
    boolean overBudget = !budget.ensureCapacity();
    ClientConnection connection = new ClientConnection(this, context, channel, overBudget);
    budget.add(connection);
    ClientPipeline.build(channel, connection, context, inputScheduler, bodyBudget, overBudget);
    listener.setExhausted(budget.isExhausted());
  }

  // ---- called by connections

  RequestRouter router() {
    return router;
  }

  /** Called when a request has begun on a connection. */
  void requestBegan(ClientConnection connection) {
    budget.requestBegan(connection);
  }

  /** Called when a connection has no request in progress. */
  void becameIdle(ClientConnection connection) {
    budget.becameIdle(connection);
  }

  /** Called when a connection has been closed by either side. */
  void disconnected(ClientConnection connection) {
    budget.remove(connection);
    listener.setExhausted(budget.isExhausted());
  }

  /** Returns the earliest time at which a connection accepted now may have been established. */
  long earliestConnectTime() {
    return listener.earliestConnectTime(context.executor().earliestArrivalTime());
  }

  // ---- life cycle

  /** Returns whether it can serve queries and is not draining. */
  public boolean isReady() {
    return !draining && canServe.getAsBoolean();
  }

  /** Reports not ready from now on, so that new clients go elsewhere; requests are still served. */
  public void beginDraining() {
    draining = true;
  }

  /** Returns whether connections end with their next response. */
  boolean hasStoppedAccepting() {
    return stoppedAccepting;
  }

  /** Stops accepting. Idle connections are closed now, others after their responses. */
  public void stopAccepting() {
    acceptBacklog();
    stoppedAccepting = true;
    listener.close();
    for (ClientConnection connection : budget.snapshot()) {
      budget.closeIfIdle(connection, "front.closed-at-end", "shutdown_idle");
    }
  }

  /**
   * Accepts the connections in the accept backlog, as closing the listening socket would reset them
   * and lose their requests.
   */
  private void acceptBacklog() {
    int sizeBefore;
    do {
      sizeBefore = budget.size();
      listener.acceptNow();
    } while (budget.size() > sizeBefore && !budget.isExhausted());
  }

  /** Closes the connections that had their final response at or before this time. */
  public void closeConnectionsRespondedBefore(long time) {
    for (ClientConnection connection : budget.snapshot()) {
      if (connection.isLingeringOrClosed() && connection.idleSince() <= time) {
        closeLingering(connection);
      }
    }
  }

  /** Closes all connections; incomplete requests still get an error response. */
  public void closeAllConnections() {
    for (ClientConnection connection : budget.snapshot()) {
      if (connection.isLingeringOrClosed()) {
        closeLingering(connection);
      } else if (connection.hasIncompleteRequest()) {
        connection.refuseIncompleteRequest();
      } else {
        connection.close("shutdown_deadline");
      }
    }
  }

  private static void closeLingering(ClientConnection connection) {
    // Closing a socket with unread bytes resets the connection, and its response may be lost.
    connection.readNow();
    connection.close("shutdown_responded");
  }

  /** Returns how many connections are open. */
  public int connectionCount() {
    return budget.size();
  }
}
