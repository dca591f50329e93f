package tidebank.frontend;

import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.ArrayDeque;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.runtime.TimerQueue;

/**
 * One client's connection. Requests that come before earlier ones are answered are answered in
 * their order.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {
  private static final Logger LOG = LoggerFactory.getLogger(ClientConnection.class);

  /**
   * A close over bytes that were not read resets the connection, and the answer under way on it
   * goes with that.
   */
  private static final ChannelFutureListener HALF_CLOSE =
      done -> ((DuplexChannel) done.channel()).shutdownOutput();

  private final ClientServer side;
  private final boolean surplus;
  private final ArrayDeque<HttpExchange> exchanges = new ArrayDeque<>();

  /** A first or next request that does not come whole. */
  private final TimerQueue.Timer requestTimer = TimerQueue.timer(this::requestTimedOut);

  /** Answers that the client does not read. */
  private final TimerQueue.Timer unreadTimer =
      TimerQueue.timer(() -> timedOut("front.closed-unread", "answers not read"));

  /** A client that stays past its last answer. */
  private final TimerQueue.Timer lingerTimer =
      TimerQueue.timer(() -> timedOut("front.closed-lingering", "stayed past its last answer"));

  private Channel channel;
  private long connectedAt;

  /** The pass that accepted it, and since when its first bytes may have waited then. */
  private long acceptedInPass;

  private long acceptedSince;
  private long headAt;
  private long restsSince;
  private boolean asked;
  private boolean ending;

  private RequestTrace trace;

  /**
   * Its last answer is written; what still comes is read and dropped until the client ends or its
   * time is up.
   */
  private boolean lingering;

  ClientConnection(ClientServer side, boolean surplus) {
    this.side = side;
    this.surplus = surplus;
  }

  ByteBufAllocator allocator() {
    return channel.alloc();
  }

  RequestTrace trace() {
    return trace;
  }

  boolean isIdle() {
    return exchanges.isEmpty() && headAt == 0;
  }

  boolean lingers() {
    return lingering;
  }

  long restsSince() {
    return restsSince;
  }

  void restsFrom(long now) {
    restsSince = now;
  }

  long connectedAt() {
    return connectedAt;
  }

  /** At the end of the process: a request that is not whole by then gets an error for an answer. */
  void endUnfinished() {
    if (isUnfinished() && !ending) {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "stopping");
    }
  }

  void close(String why) {
    trace.closed(why, exchanges.size(), headAt != 0);
    side.left(this);
    channel.close();
  }

  /** Reads what there is, also the client's end, without waiting for the next poll. */
  void checkClient() {
    if (channel instanceof AbstractNioChannel sockets && channel.isActive()) {
      sockets.unsafe().read();
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
    trace = new RequestTrace(side, channel);
    connectedAt = side.clock.now();
    acceptedInPass = side.driver.passNumber();
    acceptedSince = side.acceptedSince();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    start(requestTimer);
  }

  private void start(TimerQueue.Timer timer) {
    side.timers.schedule(timer, side.clock.now() + side.transport.requestWithinUs());
  }

  /**
   * The first bytes of a request are here: from now on its time runs. A first one has to come whole
   * in its time since it connected.
   */
  void begun() {
    if (headAt == 0 && !ending) {
      headAt = arrivedSince();
      side.asked(this);
      if (asked) {
        start(requestTimer);
      }
    }
  }

  /** Whether a request has begun that is not whole yet. */
  boolean isUnfinished() {
    return headAt != 0;
  }

  /**
   * Since when bytes that are read now may have waited: a connection may have been established, and
   * its first request sent, before the pass that accepted it.
   */
  private long arrivedSince() {
    boolean justAccepted = !asked && side.driver.passNumber() <= acceptedInPass + 1;
    return justAccepted ? acceptedSince : side.driver.arrivedSince();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      // A client has one request open at a time. Reading on past the bound, and past answers that
      // are not read, shows its end.
      boolean full = exchanges.size() >= side.pipelineMost() || !channel.isWritable();
      if (!ending && surplus && message instanceof HttpRequest) {
        side.counters.add("front.refused-connections");
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many connections");
      } else if (!ending && full && message instanceof HttpRequest) {
        side.counters.add("front.refused-at-once");
        refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, "too many requests at once");
      } else if (!ending && message instanceof FullHttpRequest request) {
        begun();
        side.timers.cancel(requestTimer);
        long at = headAt;
        headAt = 0;
        took(request, at);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void took(FullHttpRequest request, long at) {
    HttpExchange exchange = new HttpExchange(this);
    exchanges.add(exchange);
    trace.read();
    ending = !HttpUtil.isKeepAlive(request);
    long wholeAt = arrivedSince();
    if (!asked) {
      asked = true;
      side.asked(this);
    }
    try {
      side.router.route(this, exchange, request, at, wholeAt);
    } catch (RuntimeException | VirtualMachineError fault) {
      side.counters.add("front.failed");
      LOG.error("a request failed", fault);
      if (exchange.response == null) {
        exchange.respond(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed");
      }
    }
  }

  /** Whether an interim response would stand in its place: no response is due before it. */
  boolean mayContinue() {
    return exchanges.isEmpty() && !ending;
  }

  /** A body beyond the bound. */
  void oversized() {
    side.counters.add("front.rejected");
    refuse(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
  }

  /**
   * What is no request of this protocol ends its connection: whoever goes on like that holds no
   * place here.
   */
  void reject(HttpExchange exchange, HttpResponseStatus status, String text) {
    ending = true;
    exchange.respond(status, text);
  }

  /** Answers a request whose body is not kept: what still comes of it is read and dropped. */
  private void refuse(HttpResponseStatus status, String text) {
    HttpExchange exchange = new HttpExchange(this);
    exchanges.add(exchange);
    ending = true;
    headAt = 0;
    side.timers.cancel(requestTimer);
    exchange.respond(status, text);
  }

  /** Writes the responses that are there, as far as none before them is still missing. */
  void flush() {
    boolean wrote = false;
    while (!exchanges.isEmpty() && exchanges.peek().response != null) {
      FullHttpResponse response = exchanges.poll().response;
      boolean last = exchanges.isEmpty() && endsHere();
      HttpUtil.setKeepAlive(response, !last);
      wrote = true;
      if (last) {
        ending = true;
        lingering = true;
        side.timers.cancel(requestTimer);
        start(lingerTimer);
        side.rests(this);
        channel.writeAndFlush(response).addListener(HALF_CLOSE);
        return;
      }
      channel.write(response, channel.voidPromise());
    }
    if (wrote) {
      channel.flush();
      if (isIdle()) {
        side.rests(this);
      }
    }
  }

  /** At a shutdown a request that is read in part still gets its own answer. */
  private boolean endsHere() {
    return surplus || ending || side.ended() && !isUnfinished();
  }

  /** An answer that is not read has its time as a request has. */
  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (channel.isWritable()) {
      side.timers.cancel(unreadTimer);
    } else {
      start(unreadTimer);
    }
  }

  /**
   * The client has ended its side. This comes in the pass in which that is read, before the turn
   * that would still send for it; the end of the channel is only told after that turn.
   */
  @Override
  public void userEventTriggered(ChannelHandlerContext context, Object event) {
    if (event instanceof ChannelInputShutdownEvent) {
      left();
      channel.close();
    } else {
      context.fireUserEventTriggered(event);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (cause instanceof IOException || cause instanceof PrematureChannelClosureException) {
      left();
      context.close();
      return;
    }
    // A fault of ours: what this connection still waits for is answered, then it ends.
    side.counters.recordFault("front.failed", String.valueOf(cause));
    if (!ending) {
      refuse(HttpResponseStatus.INTERNAL_SERVER_ERROR, "failed");
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    left();
  }

  /** The client is gone, and what it asked for is wanted no longer. */
  private void left() {
    side.timers.cancel(requestTimer);
    side.timers.cancel(unreadTimer);
    side.timers.cancel(lingerTimer);
    if (!(ending && lingering)) {
      trace.ended(exchanges.size(), headAt != 0);
    }
    side.left(this);
    for (HttpExchange exchange : exchanges) {
      if (exchange.scan != null) {
        trace.left(exchange.scan);
        side.driver.clientDisconnected(exchange.scan.id());
      }
      if (exchange.response != null) {
        exchange.response.release();
      }
    }
    exchanges.clear();
    ending = true;
    lingering = true;
  }

  /**
   * A request did not come whole in its time. Those before it are owed their answers first, in
   * their order; its own is an error. A client that never began one has no answer to get.
   */
  private void requestTimedOut() {
    checkClient();
    if (ending) {
      return;
    }
    if (headAt == 0 && !asked) {
      timedOut("front.closed-silent", "nothing asked");
    } else if (headAt != 0) {
      side.counters.add("front.request-timeouts");
      refuse(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not come whole");
    }
  }

  private void timedOut(String counter, String why) {
    side.counters.add(counter);
    close(why);
  }
}
