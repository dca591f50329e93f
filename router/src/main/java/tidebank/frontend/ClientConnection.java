package tidebank.frontend;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import java.util.ArrayDeque;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.runtime.QueryRequest;

/**
 * A client's connection. Pipelined requests get their responses in the order of the requests.
 * Confined to the event loop.
 */
final class ClientConnection implements ConnectionTimers.Listener {
  private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

  /**
   * Half-closes the connection after the final response. Closing a socket that has unread bytes
   * resets the connection, and the client may lose a response in transit.
   */
  private static final ChannelFutureListener SHUTDOWN_OUTPUT =
      done -> ((DuplexChannel) done.channel()).shutdownOutput();

  private enum State {
    /** Requests are read. */
    OPEN,
    /** Input is dropped; responses to earlier requests are still written. */
    DRAINING,
    /** The final response was written; waits for the client to close its side. */
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

  /** Holds the body of an incomplete request; null if no request is served. */
  private RequestBodyBuffer bodyBuffer;

  /** Reads the connection's input. */
  private ClientInputHandler input;

  private long idleSince;

  /** Creates a connection; if {@code overBudget}, its first request is refused unseen. */
  ClientConnection(
      ClientServer server, FrontendContext context, Channel channel, boolean overBudget) {
    this.server = server;
    this.context = context;
    this.channel = channel;
    this.overBudget = overBudget;
    this.timers = new ConnectionTimers(context, this);
    this.trace = new RequestTrace(context, channel);
    this.connectedAt = context.clock().now();
    this.arrival = new RequestArrival(context.executor(), server.earliestConnectTime());
  }

  /** Sets the buffer of incomplete bodies, which is released with a request that is refused. */
  void setBodyBuffer(RequestBodyBuffer buffer) {
    bodyBuffer = buffer;
  }

  void setInput(ClientInputHandler newInput) {
    input = newInput;
  }

  // ---- state

  /** Returns whether further input is read as requests; otherwise it is dropped. */
  boolean readsRequests() {
    return state == State.OPEN;
  }

  ByteBufAllocator allocator() {
    return channel.alloc();
  }

  RequestTrace trace() {
    return trace;
  }

  /** Returns whether no request is incomplete or waits for its response. */
  boolean isIdle() {
    return exchanges.isEmpty() && !hasIncompleteRequest();
  }

  /** Returns whether a request has begun but is not complete. */
  boolean hasIncompleteRequest() {
    return arrival.hasIncompleteRequest();
  }

  /** Returns whether a request waits for its response. */
  boolean hasPendingRequests() {
    return !exchanges.isEmpty();
  }

  /** Returns whether the final response was written or the connection is closed. */
  boolean isLingeringOrClosed() {
    return state.compareTo(State.LINGERING) >= 0;
  }

  /** Returns whether 100 (Continue) may be written, as no other response is due before it. */
  boolean allowsContinueResponse() {
    return exchanges.isEmpty() && state == State.OPEN;
  }

  long connectedAt() {
    return connectedAt;
  }

  long idleSince() {
    return idleSince;
  }

  void setIdleSince(long now) {
    idleSince = now;
  }

  // ---- requests

  /** Starts the time limit of the first request on a new connection. */
  void established() {
    timers.startRequest();
  }

  /**
   * Records that the first bytes of a request have arrived and starts its time limit. The limit of
   * the first request has been running since the connection was established.
   */
  void requestBegan() {
    if (!hasIncompleteRequest() && state == State.OPEN) {
      arrival.beginRequest();
      server.requestBegan(this);
      if (arrival.hasReceivedRequest()) {
        timers.startRequest();
      }
    }
  }

  /** Handles a message of the decoder; the caller releases it. */
  void read(Object message) {
    if (state != State.OPEN) {
      return;
    }
    // Clients have one request open at a time. Requests beyond the limit, or behind unread
    // responses, are refused rather than left unread, because only reading detects a disconnect.
    boolean isFull =
        exchanges.size() >= context.config().budgets().maxPipelinedRequests()
            || !channel.isWritable();
    if (overBudget && message instanceof HttpRequest) {
      context.counters().increment("front.refused-connections");
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many connections");
    } else if (isFull && message instanceof HttpRequest) {
      refuseFurtherRequests();
    } else if (message instanceof FullHttpRequest request) {
      requestBegan();
      timers.cancelRequest();
      handle(request, arrival.endRequest());
    }
  }

  private void handle(FullHttpRequest request, long beganAt) {
    HttpExchange exchange = addExchange();
    trace.recordRequest();
    if (!HttpUtil.isKeepAlive(request)) {
      drain();
    }
    long completeAt = arrival.earliestArrivalTime();
    if (!arrival.hasReceivedRequest()) {
      arrival.markRequestReceived();
      server.requestBegan(this);
    }
    try {
      server.router().route(this, exchange, request, beganAt, completeAt);
    } catch (RuntimeException | VirtualMachineError fault) {
      context.counters().increment("front.failed");
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

  /** Refuses a request with a body over the size limit. */
  void refuseOversizedBody() {
    context.counters().increment("front.rejected");
    refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
  }

  /** Refuses the next request, and drops what follows, as earlier ones wait for a response. */
  void refuseFurtherRequests() {
    context.counters().increment("front.refused-at-once");
    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many requests at once");
  }

  /** Refuses to read more empty lines. */
  void refuseBlankInput() {
    context.counters().increment("front.malformed");
    refuse(HttpResponseStatus.BAD_REQUEST, "no valid HTTP");
  }

  /** Records the most bytes that incomplete bodies of all connections have used. */
  void recordIncompleteBodies(long peakBytes) {
    context.counters().raiseTo("front.body-bytes-peak", peakBytes);
  }

  /** Refuses an incomplete request because incomplete bodies hold too much memory. */
  void refuseForMemory() {
    context.counters().increment("front.refused-bodies");
    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many incomplete requests");
  }

  /** Responds to a request that violates the protocol; the connection ends with the response. */
  void reject(HttpExchange exchange, HttpResponseStatus status, String text) {
    drain();
    exchange.respond(status, text);
  }

  /** Responds to a request before it is complete; the rest of it is read and dropped. */
  private void refuse(HttpResponseStatus status, String text) {
    HttpExchange exchange = addExchange();
    drain();
    arrival.endRequest();
    timers.cancelRequest();
    releaseBody();
    exchange.respond(status, text);
  }

  private void releaseBody() {
    if (bodyBuffer != null) {
      bodyBuffer.release();
    }
  }

  /** Writes the available responses in order, up to the first that is missing. */
  void writeResponses() {
    boolean hasWritten = false;
    while (!exchanges.isEmpty() && exchanges.peek().hasResponse()) {
      FullHttpResponse response = exchanges.poll().response();
      boolean isFinal = exchanges.isEmpty() && endsWithThisResponse();
      HttpUtil.setKeepAlive(response, !isFinal);
      hasWritten = true;
      if (isFinal) {
        writeFinalResponse(response);
        return;
      }
      channel.write(response, channel.voidPromise());
    }
    if (hasWritten) {
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

  /**
   * Returns whether the next response is the final one. During a shutdown, a request that has begun
   * still gets a response of its own.
   */
  private boolean endsWithThisResponse() {
    return overBudget
        || state != State.OPEN
        || (server.hasStoppedAccepting() && !hasIncompleteRequest());
  }

  /** Responds to an incomplete request with an error, at the deadline of a shutdown. */
  void refuseIncompleteRequest() {
    if (hasIncompleteRequest() && state == State.OPEN) {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping");
    }
  }

  /** Refuses the queries of which nothing was sent to a shard server. */
  void refuseUnsentQueries() {
    List.copyOf(exchanges).forEach(HttpExchange::refuseIfUnsent);
  }

  /** Closes a query if nothing of it was sent. Returns whether this call closed it. */
  boolean withdrawQuery(QueryRequest query) {
    return context.executor().withdrawQuery(query.id());
  }

  // ---- time limits

  /** Starts or cancels the time limit for a client that does not read its responses. */
  void writabilityChanged() {
    if (channel.isWritable()) {
      responsesRead();
    } else {
      awaitResponsesRead();
    }
  }

  /** Starts the time limit for a client that does not read its responses. */
  void awaitResponsesRead() {
    timers.startUnreadResponses();
  }

  /** Records that the client reads its responses. */
  void responsesRead() {
    timers.cancelUnreadResponses();
  }

  /**
   * Responds to an incomplete request with 408, after the responses that are due before it. A
   * connection without any request is closed without a response.
   */
  @Override
  public void requestTimedOut() {
    readNow();
    if (state != State.OPEN) {
      return;
    }
    if (!hasIncompleteRequest() && !arrival.hasReceivedRequest()) {
      context.counters().increment("front.closed-silent");
      close("no_request");
    } else if (hasIncompleteRequest()) {
      context.counters().increment("front.request-timeouts");
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come whole");
    }
  }

  @Override
  public void responsesNotRead() {
    context.counters().increment("front.closed-unread");
    close("responses_not_read");
  }

  @Override
  public void lingeredTooLong() {
    context.counters().increment("front.closed-lingering");
    close("linger_timeout");
  }

  // ---- end

  /** Closes the connection and logs {@code reason}. */
  void close(String reason) {
    trace.recordClose(reason, exchanges.size(), hasIncompleteRequest());
    server.disconnected(this);
    channel.close();
  }

  /** Reads the available input, or the end of the stream, without waiting for the next poll. */
  void readNow() {
    input.readNow();
  }

  /** Reads until no input is left, so that a disconnect of the client is found. */
  void readToEnd() {
    input.readToEnd();
  }

  /**
   * Records that all input was read. If the client has disconnected, that is found in this pass.
   */
  void inputDrained() {
    arrival.markDrained();
  }

  /** Records that a read has left input unread, or unparsed. */
  void inputLeftUnread() {
    arrival.markLeftUnread();
  }

  /** Responds with 500 after an internal failure; the connection ends with the response. */
  void handleFailure(Throwable cause) {
    context.counters().recordFault("front.failed", String.valueOf(cause));
    if (state == State.OPEN) {
      refuse(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed");
    }
  }

  /** Closes a pending query of this connection, as the client has disconnected. */
  void abandonQuery(QueryRequest query) {
    trace.recordDisconnect(query);
    context.executor().clientDisconnected(query.id());
  }

  /**
   * Ends the connection after the client has closed its side or the connection was lost. May be
   * called more than once.
   */
  void clientDisconnected() {
    timers.cancelAll();
    if (!isLingeringOrClosed()) {
      trace.recordDisconnect(exchanges.size(), hasIncompleteRequest());
    }
    server.disconnected(this);
    for (HttpExchange exchange : exchanges) {
      exchange.clientDisconnected();
    }
    exchanges.clear();
    releaseBody();
    state = State.CLOSED;
  }
}
