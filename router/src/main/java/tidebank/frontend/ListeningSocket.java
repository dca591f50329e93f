package tidebank.frontend;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.net.InetSocketAddress;
import tidebank.metrics.Counters;
import tidebank.runtime.Clock;
import tidebank.runtime.TimerQueue;

/**
 * The listening socket. Accepts connections unless the connection budget is exhausted or accepting
 * has just failed, in which case it retries with exponential backoff. Estimates since when a
 * connection may have waited to be accepted, as its client's timeout has been running since then.
 */
final class ListeningSocket extends ChannelInboundHandlerAdapter {
  private static final long MIN_BACKOFF_US = 1_000;
  private static final long MAX_BACKOFF_US = 50_000;

  /** The most connections that Netty accepts in a pass; fewer mean that the backlog is empty. */
  private static final int MAX_ACCEPTED_PER_PASS = 16;

  private static final long NEVER = Long.MAX_VALUE;

  private final Clock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final TimerQueue.Timer retryTimer = TimerQueue.timer(this::retry);
  private Channel channel;
  private boolean exhausted;
  private long backoffUs = MIN_BACKOFF_US;
  private boolean backingOff;

  /** Since when connections may wait in the accept backlog, or {@link #NEVER}. */
  private long stoppedAcceptingAt = NEVER;

  private int acceptedInPass;

  /**
   * Whether the latest pass emptied the accept backlog. It is only used when the next connection is
   * accepted, as a failure to accept is reported after the end of its pass.
   */
  private boolean backlogEmpty;

  ListeningSocket(Clock clock, TimerQueue timers, Counters counters) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
  }

  /** Binds the socket; {@code initializer} sets up each connection. */
  ChannelFuture bind(
      ServerBootstrap bootstrap, InetSocketAddress address, ChannelHandler initializer) {
    ChannelFuture binding = bootstrap.handler(this).childHandler(initializer).bind(address);
    channel = binding.channel();
    return binding;
  }

  /** Sets whether the connection budget is exhausted. */
  void setExhausted(boolean newExhausted) {
    if (newExhausted != exhausted) {
      exhausted = newExhausted;
      updateAutoRead();
    }
  }

  /**
   * Returns the earliest time at which a connection accepted now may have been established.
   *
   * @param earliestArrivalTime the same for bytes on connections that were accepted before
   */
  long earliestConnectTime(long earliestArrivalTime) {
    if (backlogEmpty) {
      backlogEmpty = false;
      stoppedAcceptingAt = NEVER;
    }
    return Math.min(earliestArrivalTime, stoppedAcceptingAt);
  }

  /** Accepts waiting connections, as many as Netty accepts in one pass. */
  void acceptNow() {
    ((AbstractNioChannel) channel).unsafe().read();
  }

  void close() {
    timers.cancel(retryTimer);
    channel.close();
  }

  private boolean isAccepting() {
    return !exhausted && !backingOff;
  }

  private void updateAutoRead() {
    if (!isAccepting()) {
      backlogEmpty = false;
      stoppedAcceptingAt = Math.min(stoppedAcceptingAt, clock.now());
    }
    if (channel.isOpen()) {
      channel.config().setAutoRead(isAccepting());
    }
  }

  private void retry() {
    backingOff = false;
    updateAutoRead();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    acceptedInPass++;
    backoffUs = MIN_BACKOFF_US;
    context.fireChannelRead(message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    backlogEmpty = isAccepting() && acceptedInPass < MAX_ACCEPTED_PER_PASS;
    acceptedInPass = 0;
    context.fireChannelReadComplete();
  }

  /**
   * Backs off after a failure to accept, which happens if no file descriptor or buffer is left. The
   * exception is not passed on, as Netty's own handler would stop accepting for a second.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    counters.recordFault("front.accept-failed", String.valueOf(cause));
    backingOff = true;
    updateAutoRead();
    timers.schedule(retryTimer, clock.now() + backoffUs);
    backoffUs = Math.min(MAX_BACKOFF_US, 2 * backoffUs);
  }
}
