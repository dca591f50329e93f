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
 * The listening socket. It accepts unless its owner has no room, or the system could not accept a
 * moment ago: then it tries again soon, in growing steps. It knows since when connections may have
 * waited to be accepted, as their clients' time has run since then.
 */
final class Listener extends ChannelInboundHandlerAdapter {
  private static final long BACKOFF_LEAST_US = 1_000;
  private static final long BACKOFF_MOST_US = 50_000;

  /** Netty accepts as many in one pass; fewer tell that nobody waits any more. */
  private static final int ACCEPTED_IN_A_PASS = 16;

  private static final long NEVER = Long.MAX_VALUE;

  private final Clock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final TimerQueue.Timer retry = TimerQueue.timer(this::retry);
  private Channel channel;
  private boolean full;
  private long backoffUs = BACKOFF_LEAST_US;
  private boolean backingOff;
  private long stoppedAt = NEVER;
  private int acceptedInPass;

  /** The latest pass accepted all who waited, unless a fault of it is still to be told. */
  private boolean drained;

  Listener(Clock clock, TimerQueue timers, Counters counters) {
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
  }

  /** Binds the socket; each connection is set up by {@code connections}. */
  ChannelFuture bind(
      ServerBootstrap template, InetSocketAddress address, ChannelHandler connections) {
    ChannelFuture binding = template.handler(this).childHandler(connections).bind(address);
    channel = binding.channel();
    return binding;
  }

  /** Whether the owner has no room for another connection. */
  void full(boolean isFull) {
    if (isFull != full) {
      full = isFull;
      update();
    }
  }

  /** The earliest moment at which a connection that is accepted now may have been established. */
  long acceptedSince(long passSince) {
    if (drained) {
      drained = false;
      stoppedAt = NEVER;
    }
    return Math.min(passSince, stoppedAt);
  }

  /** Accepts up to so many that wait, in one pass of the caller. */
  void acceptNow() {
    ((AbstractNioChannel) channel).unsafe().read();
  }

  void close() {
    timers.cancel(retry);
    channel.close();
  }

  private boolean accepts() {
    return !full && !backingOff;
  }

  private void update() {
    if (!accepts()) {
      drained = false;
      stoppedAt = Math.min(stoppedAt, clock.now());
    }
    if (channel.isOpen()) {
      channel.config().setAutoRead(accepts());
    }
  }

  private void retry() {
    backingOff = false;
    update();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    acceptedInPass++;
    backoffUs = BACKOFF_LEAST_US;
    context.fireChannelRead(message);
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    drained = accepts() && acceptedInPass < ACCEPTED_IN_A_PASS;
    acceptedInPass = 0;
    context.fireChannelReadComplete();
  }

  /**
   * The system could not accept: no descriptor or buffer was left, for a moment or for longer. It
   * goes no further, as Netty's own answer is to accept nothing for a second.
   */
  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    counters.recordFault("front.accept-failed", String.valueOf(cause));
    backingOff = true;
    update();
    timers.schedule(retry, clock.now() + backoffUs);
    backoffUs = Math.min(BACKOFF_MOST_US, 2 * backoffUs);
  }
}
