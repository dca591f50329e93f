package tidebank.testbed.chaos;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * A connection through {@link FaultProxy}: the channel to the caller, the channel to the target,
 * which is the called process, and the queued bytes in each direction. The faults of the link
 * decide when bytes are delivered. Confined to the proxy's event loop.
 */
final class ProxiedConnection {
  /** Queued bytes in one direction above which the proxy stops reading from the sender. */
  private static final int HIGH_WATER_BYTES = 1 << 20;

  /** Queued bytes in one direction at or below which the proxy reads from the sender again. */
  private static final int LOW_WATER_BYTES = HIGH_WATER_BYTES / 2;

  /** Chunks per second into which a stream is split when the bandwidth is limited. */
  private static final int CHUNKS_PER_S = 20;

  private static final long US_PER_S = 1_000_000;

  private final FaultyLink link;
  private final Channel caller;
  private final TrafficRecorder recorder;
  private final LongSupplier clock;
  private final Consumer<ProxiedConnection> onClosed;
  private final DelayQueue up;
  private final DelayQueue down;
  private Channel target;
  private boolean targetSideClosed;
  private boolean closed;

  /**
   * Creates a connection whose target channel is not known yet.
   *
   * @param recorder recorder of the traffic, or null
   * @param clock clock in microseconds
   * @param onClosed called once, when the connection has ended
   */
  ProxiedConnection(
      FaultyLink link,
      Channel caller,
      TrafficRecorder recorder,
      LongSupplier clock,
      Consumer<ProxiedConnection> onClosed) {
    this.link = link;
    this.caller = caller;
    this.recorder = recorder;
    this.clock = clock;
    this.onClosed = onClosed;
    up = new DelayQueue(link.up());
    down = new DelayQueue(link.down());
  }

  FaultyLink link() {
    return link;
  }

  ChannelHandler callerHandler() {
    return new CallerHandler();
  }

  ChannelHandler targetHandler() {
    return new TargetHandler();
  }

  /** Sets the channel to the target, before it is connected. */
  void setTarget(Channel channel) {
    target = channel;
  }

  /** Starts forwarding once the target has accepted the connection, or resets the caller. */
  void onConnected(boolean success) {
    if (!success) {
      reset();
    } else if (closed) {
      // The connection was closed or reset in the meantime.
      target.close();
    } else {
      caller.config().setAutoRead(true);
      target.config().setAutoRead(true);
    }
  }

  /** Resets both channels. */
  void reset() {
    reset(caller);
    reset(target);
    close();
  }

  /** Closes a channel with a TCP reset, if it is open. */
  static void reset(Channel channel) {
    if (channel != null && channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  /** Closes the channel to the target. The caller's stays open, and bytes from it are dropped. */
  void closeTargetSide() {
    targetSideClosed = true;
    if (target != null) {
      target.close();
    }
  }

  private void close() {
    if (!closed) {
      closed = true;
      onClosed.accept(this);
      up.drop();
      down.drop();
      if (recorder != null) {
        recorder.close();
      }
    }
  }

  /** Delivers the bytes that are due in both directions. */
  void forward() {
    up.forward();
    down.forward();
  }

  /** Passes the end of one channel on to the other, after the queued bytes. */
  private void onInactive(Channel other, DelayQueue toOther) {
    if (other != null && other.isOpen()) {
      toOther.end();
    } else {
      close();
    }
  }

  /**
   * Bytes that are delivered together.
   *
   * @param bytes bytes, or null for the end of the connection
   * @param dueAt time of delivery, in microseconds of the clock
   */
  private record Chunk(ByteBuf bytes, long dueAt) {}

  /** The queue of undelivered bytes in one direction. */
  private final class DelayQueue {
    private final FaultyLink.Direction direction;
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private long queuedBytes;
    private long lastDueAt;
    private boolean scheduled;

    DelayQueue(FaultyLink.Direction direction) {
      this.direction = direction;
    }

    private Channel source() {
      return this == up ? caller : target;
    }

    private Channel destination() {
      return this == up ? target : caller;
    }

    void add(ByteBuf bytes) {
      if (targetSideClosed) {
        bytes.release();
        return;
      }
      queuedBytes += bytes.readableBytes();
      long bytesPerS = direction.bytesPerS();
      int chunkBytes =
          bytesPerS == 0 ? bytes.readableBytes() : (int) Math.max(1, bytesPerS / CHUNKS_PER_S);
      while (bytes.readableBytes() > chunkBytes) {
        push(bytes.readRetainedSlice(chunkBytes), transmissionUs(chunkBytes, bytesPerS));
      }
      push(bytes, transmissionUs(bytes.readableBytes(), bytesPerS));
      if (queuedBytes > HIGH_WATER_BYTES) {
        source().config().setAutoRead(false);
      }
    }

    /** Returns the time that a number of bytes takes at a bandwidth; 0 if it is not limited. */
    private static long transmissionUs(int bytes, long bytesPerS) {
      return bytesPerS == 0 ? 0 : bytes * US_PER_S / bytesPerS;
    }

    private void push(ByteBuf bytes, long transmissionUs) {
      long arrivesAt = clock.getAsLong() + direction.nextLatencyUs();
      lastDueAt = Math.max(lastDueAt, arrivesAt) + transmissionUs;
      chunks.add(new Chunk(bytes, lastDueAt));
      forward();
    }

    /** Queues the end of the connection. */
    void end() {
      push(null, 0);
    }

    void forward() {
      while (!chunks.isEmpty() && !direction.isSilent() && !closed) {
        long waitUs = chunks.peek().dueAt() - clock.getAsLong();
        if (waitUs > 0) {
          schedule(waitUs);
          return;
        }
        deliver(chunks.poll());
      }
    }

    private void schedule(long waitUs) {
      if (!scheduled) {
        scheduled = true;
        caller
            .eventLoop()
            .schedule(
                () -> {
                  scheduled = false;
                  forward();
                },
                waitUs,
                TimeUnit.MICROSECONDS);
      }
    }

    private void deliver(Chunk chunk) {
      if (chunk.bytes() == null) {
        destination().close();
        return;
      }
      queuedBytes -= chunk.bytes().readableBytes();
      destination().writeAndFlush(chunk.bytes());
      if (queuedBytes <= LOW_WATER_BYTES && source().isOpen()) {
        source().config().setAutoRead(true);
      }
    }

    /** Releases all queued bytes without delivering them. */
    void drop() {
      for (Chunk chunk : chunks) {
        if (chunk.bytes() != null) {
          chunk.bytes().release();
        }
      }
      chunks.clear();
    }
  }

  /** Receives the caller's bytes. */
  private final class CallerHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      if (recorder != null) {
        recorder.decodeRequests(bytes);
      }
      up.add(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!closed) {
        onInactive(target, up);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A reset of one channel is passed on as a reset of the other.
      reset();
    }
  }

  /** Receives the target's bytes. */
  private final class TargetHandler extends ChannelInboundHandlerAdapter {
    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      ByteBuf bytes = (ByteBuf) message;
      if (recorder != null) {
        recorder.decodeResponses(bytes);
      }
      down.add(bytes);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (!closed && !targetSideClosed) {
        onInactive(caller, down);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A reset of one channel is passed on as a reset of the other.
      reset();
    }
  }
}
