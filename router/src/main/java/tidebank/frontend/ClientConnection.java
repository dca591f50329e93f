package tidebank.frontend;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.runtime.QueryRequest;

/**
 * One client's connection. Requests that come before earlier ones have their response are answered
 * in their order. Confined to the event loop.
 */
final class ClientConnection implements ConnectionTimers.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

  /**
   * Closing a socket with bytes that were not read resets the connection, and the client may lose
   * the response that is on its way.
   */
  private static final ChannelFutureListener SHUTDOWN_OUTPUT =
      done -> ((DuplexChannel) done.channel()).shutdownOutput();

  private enum State {
    /** Requests are read. */
    OPEN,
    /** What is read is dropped; responses that are due are still written. */
    DRAINING,
    /** The final response is written, and the client is to end its side. */
    LINGERING,
    /** The client has disconnected, or the connection was closed. */
    CLOSED
  }

  private final ClientServer server;
  private final FrontendContext context;
  private final boolean overBudget;
  private final ArrayDeque<HttpExchange> exchanges = new ArrayDeque<>();
  private final ConnectionTimers timers;
  private State state = State.OPEN;
  private final Channel channel;
  private final RequestTrace trace;
  private final RequestArrival arrival;
  private final long connectedAt;

  private long idleSince;

  /** {@code overBudget}: its first request is refused, whatever it is. */
  ClientConnection(
      ClientServer server, FrontendContext context, Channel channel, boolean overBudget) {
    this.server = server;
    this.context = context;
    this.channel = channel;
    this.overBudget = overBudget;
    this.timers = new ConnectionTimers(context, this);
    this.trace = new RequestTrace(context, channel);
    this.connectedAt = context.clock().now();
    this.arrival = new RequestArrival(context.executor(), server.acceptedSince());
  }

  // ---- state

  ByteBufAllocator allocator() {
    return channel.alloc();
  }

  RequestTrace trace() {
    return trace;
  }

  /** Returns whether no request has begun, or waits for its response. */
  boolean isIdle() {
    return exchanges.isEmpty() && !hasIncompleteRequest();
  }

  /** Returns whether a request has begun that is not complete. */
  boolean hasIncompleteRequest() {
    return arrival.hasIncompleteRequest();
  }

  /** Returns whether the final response is written. */
  boolean isLingering() {
    return state.compareTo(State.LINGERING) >= 0;
  }

  /** Returns whether an interim response may be written: no response is due before it. */
  boolean mayContinue() {
    return exchanges.isEmpty() && state == State.OPEN;
  }

  long connectedAt() {
    return connectedAt;
  }

  long idleSince() {
    return idleSince;
  }

  void idleFrom(long now) {
    idleSince = now;
  }

  // ---- requests

  /** The connection is established: its first request is due in time. */
  void established() {
    timers.startRequest();
  }

  /**
   * Notes that bytes of a request have come: its time limit runs from now on. The first request is
   * to be complete within its limit since the connection was established.
   */
  void requestBegan() {
    if (!hasIncompleteRequest() && state == State.OPEN) {
      arrival.begin();
      server.requestBegan(this);
      if (arrival.hasReceivedRequest()) {
        timers.startRequest();
      }
    }
  }

  /** Takes a message of the decoder; the caller releases it. */
  void read(Object message) {
    if (state != State.OPEN) {
      return;
    }
    // A client has one request open at a time. Reading on past the limit, and past responses that
    // the client does not read, shows when it disconnects.
    boolean full =
        exchanges.size() >= context.config().budgets().maxPipelinedRequests()
            || !channel.isWritable();
    if (overBudget && message instanceof HttpRequest) {
      context.counters().add("front.refused-connections");
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many connections");
    } else if (full && message instanceof HttpRequest) {
      context.counters().add("front.refused-at-once");
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many requests at once");
    } else if (message instanceof FullHttpRequest request) {
      requestBegan();
      timers.cancelRequest();
      handle(request, arrival.end());
    }
  }

  private void handle(FullHttpRequest request, long beganAt) {
    HttpExchange exchange = addExchange();
    trace.requestRead();
    if (!HttpUtil.isKeepAlive(request)) {
      drain();
    }
    long completeAt = arrival.arrivedSince();
    if (!arrival.hasReceivedRequest()) {
      arrival.received();
      server.requestBegan(this);
    }
    try {
      server.router().route(this, exchange, request, beganAt, completeAt);
    } catch (RuntimeException | VirtualMachineError fault) {
      context.counters().add("front.failed");
      LOG.error("request failed", fault);
      if (!exchange.hasResponse()) {
        exchange.respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed");
      }
    }
  }

  private HttpExchange addExchange() {
    HttpExchange exchange = new HttpExchange(this);
    exchanges.add(exchange);
    return exchange;
  }

  private void drain() {
    if (state == State.OPEN) {
      state = State.DRAINING;
    }
  }

  // ---- responses

  /** Refuses a request whose body is over the limit. */
  void bodyTooLarge() {
    context.counters().add("front.rejected");
    refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
  }

  /** Refuses a request that violates the protocol; the connection ends with the response. */
  void reject(HttpExchange exchange, HttpResponseStatus status, String text) {
    drain();
    exchange.respond(status, text);
  }

  /** Responds to a request whose body is not kept: what still comes of it is read and dropped. */
  private void refuse(HttpResponseStatus status, String text) {
    HttpExchange exchange = addExchange();
    drain();
    arrival.end();
    timers.cancelRequest();
    exchange.respond(status, text);
  }

  /** Writes the responses that are there, up to the first that is missing. */
  void writeResponses() {
    boolean wrote = false;
    while (!exchanges.isEmpty() && exchanges.peek().hasResponse()) {
      FullHttpResponse response = exchanges.poll().response();
      boolean last = exchanges.isEmpty() && endsWithThisResponse();
      HttpUtil.setKeepAlive(response, !last);
      wrote = true;
      if (last) {
        writeFinalResponse(response);
        return;
      }
      channel.write(response, channel.voidPromise());
    }
    if (wrote) {
      channel.flush();
      if (isIdle()) {
        server.becameIdle(this);
      }
    }
  }

  private void writeFinalResponse(FullHttpResponse response) {
    state = State.LINGERING;
    timers.cancelRequest();
    timers.startLinger();
    server.becameIdle(this);
    channel.writeAndFlush(response).addListener(SHUTDOWN_OUTPUT);
  }

  /** At a shutdown a request that has begun still gets its own response. */
  private boolean endsWithThisResponse() {
    return overBudget
        || state != State.OPEN
        || (server.hasStoppedAccepting() && !hasIncompleteRequest());
  }

  /** At the deadline of a shutdown: responds to a request that is not complete with an error. */
  void refuseIncompleteRequest() {
    if (hasIncompleteRequest() && state == State.OPEN) {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping");
    }
  }

  // ---- time limits

  /** Limits the time for which the client leaves responses unread. */
  void writabilityChanged() {
    if (channel.isWritable()) {
      timers.cancelUnreadResponses();
    } else {
      timers.startUnreadResponses();
    }
  }

  /**
   * Responds with an error behind the responses that are due before it. A client that never began a
   * request has no response to get.
   */
  @Override
  public void requestTimedOut() {
    checkClient();
    if (state != State.OPEN) {
      return;
    }
    if (!hasIncompleteRequest() && !arrival.hasReceivedRequest()) {
      context.counters().add("front.closed-silent");
      close("no_request");
    } else if (hasIncompleteRequest()) {
      context.counters().add("front.request-timeouts");
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come whole");
    }
  }

  @Override
  public void responsesNotRead() {
    context.counters().add("front.closed-unread");
    close("responses_not_read");
  }

  @Override
  public void lingeredTooLong() {
    context.counters().add("front.closed-lingering");
    close("linger_timeout");
  }

  // ---- end

  /** Closes the connection; {@code reason} is for the log. */
  void close(String reason) {
    trace.closed(reason, exchanges.size(), hasIncompleteRequest());
    server.disconnected(this);
    channel.close();
  }

  /** Reads what there is, also the client's end, without waiting for the next poll. */
  void checkClient() {
    if (channel instanceof AbstractNioChannel sockets && channel.isActive()) {
      sockets.unsafe().read();
    }
  }

  /** Answers what this connection still waits for after a fault of the router, then ends it. */
  void failed(Throwable cause) {
    context.counters().recordFault("front.failed", String.valueOf(cause));
    if (state == State.OPEN) {
      refuse(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed");
    }
  }

  /** Ends a query of this connection whose client is gone. */
  void clientDisconnectedFrom(QueryRequest query) {
    trace.disconnected(query);
    context.executor().clientDisconnected(query.id());
  }

  /** The client has ended its side, or the connection is lost; may be called more than once. */
  void clientDisconnected() {
    timers.cancelAll();
    if (!isLingering()) {
      trace.disconnected(exchanges.size(), hasIncompleteRequest());
    }
    server.disconnected(this);
    for (HttpExchange exchange : exchanges) {
      exchange.clientDisconnected();
    }
    exchanges.clear();
    state = State.CLOSED;
  }
}
