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
 * The listening socket. It accepts unless the budget of connections is exhausted, or the system
 * failed to accept a moment ago: then it retries with a growing backoff. It estimates since when
 * connections may have waited to be accepted, as their clients' time has run since then.
 */
final class Listener extends ChannelInboundHandlerAdapter {
  private static final long MIN_BACKOFF_US = 1_000;
  private static final long MAX_BACKOFF_US = 50_000;

  /** How many Netty accepts in one pass at most; fewer tell that none waits any more. */
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

  /** Since when connections may wait as none were accepted, or {@link #NEVER}. */
  private long stoppedAt = NEVER;

  private int acceptedInPass;

  /** Whether the latest pass accepted all that waited; an accept failure may still be reported. */
  private boolean backlogEmpty;

  Listener(Clock clock, TimerQueue timers, Counters counters) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
  }

  /** Binds the socket; {@code initializer} sets up each connection. */
  ChannelFuture bind(
      ServerBootstrap template, InetSocketAddress address, ChannelHandler initializer) {
    ChannelFuture binding = template.handler(this).childHandler(initializer).bind(address);
    channel = binding.channel();
    return binding;
  }

  /** Sets whether the budget has no room for another connection. */
  void setExhausted(boolean isExhausted) {
    if (isExhausted != exhausted) {
      exhausted = isExhausted;
      updateAutoRead();
    }
  }

  /** Returns when a connection that is accepted now may have been established at the earliest. */
  long acceptedSince(long passSince) {
    if (backlogEmpty) {
      backlogEmpty = false;
      stoppedAt = NEVER;
    }
    return Math.min(passSince, stoppedAt);
  }

  /** Accepts connections that wait, as many as Netty accepts in one pass. */
  void acceptNow() {
    ((AbstractNioChannel) channel).unsafe().read();
  }

  void close() {
    timers.cancel(retryTimer);
    channel.close();
  }

  private boolean accepts() {
    return !exhausted && !backingOff;
  }

  private void updateAutoRead() {
    if (!accepts()) {
      backlogEmpty = false;
      stoppedAt = Math.min(stoppedAt, clock.now());
    }
    if (channel.isOpen()) {
      channel.config().setAutoRead(accepts());
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
    backlogEmpty = accepts() && acceptedInPass < MAX_ACCEPTED_PER_PASS;
    acceptedInPass = 0;
    context.fireChannelReadComplete();
  }

  /**
   * The system could not accept, as no descriptor or buffer was left. The exception is handled here
   * only, as Netty's own answer is to accept nothing for a second.
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
