package tidebank.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpUtil;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import tidebank.config.RouterConfig;
import tidebank.metrics.Counters;
import tidebank.runtime.Clock;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.TimerQueue;

/** Listens for clients and keeps their connections within their budget. */
public final class ClientServer {
  final PolicyExecutor driver;
  final Clock clock;
  final TimerQueue timers;
  final Counters counters;
  final QueryRequestParser reader;
  final RequestRouter router;
  final RouterConfig.Transport transport;
  private final RouterConfig config;
  private final BooleanSupplier ready;
  private final Set<ClientConnection> connections = new LinkedHashSet<>();

  /** Those that have not asked for anything yet, the oldest first: the first to give way. */
  private final Set<ClientConnection> unasked = new LinkedHashSet<>();

  /**
   * Those between two requests, or past their last answer, the one that has rested longest first.
   */
  private final Set<ClientConnection> resting = new LinkedHashSet<>();

  private final Listener listener;
  private boolean draining;
  private boolean ended;

  public ClientServer(
      RouterConfig config,
      PolicyExecutor driver,
      Clock clock,
      TimerQueue timers,
      Counters counters,
      BooleanSupplier ready) {
    this.config = config;
    this.driver = driver;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.ready = ready;
    this.reader = new QueryRequestParser(config.settings());
    this.router = new RequestRouter(this);
    this.transport = config.transport();
    this.listener = new Listener(clock, timers, counters);
  }

  /** Binds the listening socket. */
  public ChannelFuture listen(ServerBootstrap template) {
    ChannelInitializer<Channel> connections =
        new ChannelInitializer<>() {
          @Override
          protected void initChannel(Channel channel) {
            accepted(channel);
          }
        };
    return listener.bind(template, config.listen(), connections);
  }

  private void accepted(Channel channel) {
    boolean surplus = !hasRoom();
    ClientConnection connection = new ClientConnection(this, surplus);
    connections.add(connection);
    unasked.add(connection);
    StrictRequestDecoder decoder = new StrictRequestDecoder();
    channel.pipeline().addLast(begins(connection, decoder), decoder, new HttpResponseEncoder());
    if (!surplus) {
      channel.pipeline().addLast(bodies(connection));
    }
    channel.pipeline().addLast(connection);
    listener.full(connections.size() >= config.budgets().clientsMost());
  }

  /** Tells a connection that a request begins, also one behind another's end. */
  private static ChannelInboundHandlerAdapter begins(
      ClientConnection connection, StrictRequestDecoder decoder) {
    return new ChannelInboundHandlerAdapter() {
      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        if (!StrictRequestDecoder.isBlank((ByteBuf) message)) {
          connection.begun();
        }
        context.fireChannelRead(message);
        if (decoder.isAmidRequest()) {
          connection.begun();
        }
      }
    };
  }

  /**
   * Bodies up to their bound. An expectation is met or passed over: a refusal of Netty's own would
   * overtake responses that are due before it, and the body behind it would be read as a request.
   */
  private HttpObjectAggregator bodies(ClientConnection connection) {
    return new HttpObjectAggregator(config.transport().bodyMost()) {
      @Override
      protected Object newContinueResponse(HttpMessage start, int most, ChannelPipeline pipeline) {
        boolean met =
            HttpUtil.is100ContinueExpected(start)
                && !isContentLengthInvalid(start, most)
                && connection.mayContinue();
        return met ? super.newContinueResponse(start, most, pipeline) : null;
      }

      @Override
      protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage message) {
        connection.oversized();
      }
    };
  }

  /**
   * Whether the budget has room for one more, which at most one other connection is closed for.
   * What makes room may itself have been beyond the budget, and then leaves none.
   */
  private boolean hasRoom() {
    while (connections.size() >= config.budgets().clients()) {
      ClientConnection candidate = leastWanted();
      if (candidate == null) {
        return false;
      }
      if (closeIfIdle(candidate, "front.closed-for-room", "room for a new one")) {
        return connections.size() < config.budgets().clients();
      }
    }
    return true;
  }

  /**
   * The oldest connection that never asked, if its first request would be here by now, else the one
   * that rests longest, as it is the likeliest not to ask again; null if there is none.
   */
  private ClientConnection leastWanted() {
    ClientConnection silent = unasked.isEmpty() ? null : unasked.iterator().next();
    boolean late =
        silent != null && clock.now() - silent.connectedAt() >= transport.connectTimeoutUs();
    return late || resting.isEmpty() ? silent : resting.iterator().next();
  }

  /**
   * Closes a connection without a request, unless one, or the client's end, is there unread.
   * Returns whether it closed it; if not it is no candidate any more.
   */
  private boolean closeIfIdle(ClientConnection connection, String counter, String why) {
    connection.checkClient();
    if (!connections.contains(connection) || !connection.isIdle()) {
      asked(connection);
      return false;
    }
    counters.add(counter);
    connection.close(why);
    return true;
  }

  void asked(ClientConnection connection) {
    unasked.remove(connection);
    resting.remove(connection);
  }

  /**
   * It is between two requests. If many are, the longest so gives back its share of what clients
   * may hold, but not so soon that its client may be asking on.
   */
  void rests(ClientConnection connection) {
    connection.restsFrom(clock.now());
    resting.add(connection);
    ClientConnection longest = resting.iterator().next();
    if (resting.size() > config.budgets().resting()
        && clock.now() - longest.restsSince() >= transport.restLeastUs()) {
      closeIfIdle(longest, "front.closed-rested", "rested longest of many");
    }
  }

  void left(ClientConnection connection) {
    connections.remove(connection);
    asked(connection);
    listener.full(connections.size() >= config.budgets().clientsMost());
  }

  /** Whether it can serve and is not ending. */
  public boolean ready() {
    return !draining && ready.getAsBoolean();
  }

  /** Since when a connection that is accepted now, and what lies on it, may have waited. */
  long acceptedSince() {
    return listener.acceptedSince(driver.arrivedSince());
  }

  int pipelineMost() {
    return config.budgets().pipelineMost();
  }

  boolean ended() {
    return ended;
  }

  /** Not ready from now on: new clients go elsewhere, those that are here are served on. */
  public void drain() {
    draining = true;
  }

  /** No new connections; those without a request end, the others with their answers. */
  public void end() {
    acceptBacklog();
    ended = true;
    listener.close();
    for (ClientConnection connection : List.copyOf(connections)) {
      closeIfIdle(connection, "front.closed-at-end", "shutdown, no request");
    }
  }

  /**
   * Accepts what the system has accepted already: a closed listener resets it with its requests.
   */
  private void acceptBacklog() {
    int before;
    do {
      before = connections.size();
      listener.acceptNow();
    } while (connections.size() > before && connections.size() < config.budgets().clientsMost());
  }

  /**
   * Closes those that have had their last answer since before this moment; all that are left at the
   * end of time.
   */
  public void close(long since) {
    boolean all = since == Long.MAX_VALUE;
    for (ClientConnection connection : List.copyOf(connections)) {
      if (connection.lingers() && (all || connection.restsSince() <= since)) {
        // A close over bytes that were not read resets the connection, and the answer with it.
        connection.checkClient();
        connection.close("shutdown, last answer given");
      } else if (all && connection.isUnfinished()) {
        connection.endUnfinished();
      } else if (all) {
        connection.close("shutdown, time over");
      }
    }
  }

  /** How many connections are left. */
  public int open() {
    return connections.size();
  }
}
