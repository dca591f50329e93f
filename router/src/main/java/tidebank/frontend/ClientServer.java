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
 * The HTTP server for clients: listens, accepts connections within their budget, and closes them at
 * a shutdown. Confined to the event loop but for {@link #listen}.
 */
public final class ClientServer {
  private final FrontendContext context;
  private final RequestRouter router;
  private final ConnectionBudget budget;
  private final Listener listener;
  private final BooleanSupplier ready;
  private boolean draining;
  private boolean stoppedAccepting;

  /** Creates a server that does not listen yet; {@code ready} says whether it can serve. */
  public ClientServer(
      RouterConfig config,
      PolicyExecutor executor,
      Clock clock,
      TimerQueue timers,
      Counters counters,
      BooleanSupplier ready) {
    this.context = new FrontendContext(config, executor, clock, timers, counters);
    this.ready = ready;
    this.router = new RequestRouter(context, this::isReady);
    this.budget = new ConnectionBudget(context);
    this.listener = new Listener(clock, timers, counters);
  }

  /** Binds the listening socket. */
  public ChannelFuture listen(ServerBootstrap template) {
    ChannelInitializer<Channel> initializer =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            accept(channel);
          }
        };
    return listener.bind(template, context.config().listen(), initializer);
  }

  private void accept(Channel channel) {
    boolean overBudget = !budget.makeRoom();
    ClientConnection connection = new ClientConnection(this, context, channel, overBudget);
    budget.add(connection);
    ClientPipeline.build(
        channel, connection, context.config().transport().maxBodyBytes(), overBudget);
    listener.setExhausted(budget.isExhausted());
  }

  // ---- what connections report

  RequestRouter router() {
    return router;
  }

  /** A request has begun on a connection. */
  void requestBegan(ClientConnection connection) {
    budget.requestBegan(connection);
  }

  /** A connection has no request that waits for its response. */
  void becameIdle(ClientConnection connection) {
    budget.becameIdle(connection);
  }

  /** A connection is closed, by either side. */
  void disconnected(ClientConnection connection) {
    budget.remove(connection);
    listener.setExhausted(budget.isExhausted());
  }

  /** Returns since when a connection that is accepted now, and bytes on it, may have waited. */
  long acceptedSince() {
    return listener.acceptedSince(context.executor().arrivedSince());
  }

  // ---- life cycle

  /** Returns whether it can serve and is not shutting down. */
  public boolean isReady() {
    return !draining && ready.getAsBoolean();
  }

  /** Reports not ready from now on, so that new clients go elsewhere; all are still served. */
  public void beginDraining() {
    draining = true;
  }

  /** Returns whether a connection ends with its next response. */
  boolean hasStoppedAccepting() {
    return stoppedAccepting;
  }

  /** Accepts no more connections. Those without a request close, others with their responses. */
  public void stopAccepting() {
    acceptBacklog();
    stoppedAccepting = true;
    listener.close();
    for (ClientConnection connection : budget.snapshot()) {
      budget.closeIfIdle(connection, "front.closed-at-end", "shutdown_idle");
    }
  }

  /**
   * Accepts what the system has accepted already: closing the listening socket would reset those
   * connections with their requests.
   */
  private void acceptBacklog() {
    int before;
    do {
      before = budget.size();
      listener.acceptNow();
    } while (budget.size() > before && !budget.isExhausted());
  }

  /** Closes the connections that have had their final response since before this moment. */
  public void closeConnectionsRespondedBefore(long moment) {
    for (ClientConnection connection : budget.snapshot()) {
      if (connection.isLingering() && connection.idleSince() <= moment) {
        closeLingering(connection);
      }
    }
  }

  /** Closes all connections; a request that is not complete still gets an error response. */
  public void closeAllConnections() {
    for (ClientConnection connection : budget.snapshot()) {
      if (connection.isLingering()) {
        closeLingering(connection);
      } else if (connection.hasIncompleteRequest()) {
        connection.refuseIncompleteRequest();
      } else {
        connection.close("shutdown_deadline");
      }
    }
  }

  private static void closeLingering(ClientConnection connection) {
    // Closing over bytes that were not read would reset the connection, and the response with it.
    connection.checkClient();
    connection.close("shutdown_responded");
  }

  /** Returns how many connections are open. */
  public int connectionCount() {
    return budget.size();
  }
}
