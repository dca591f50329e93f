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
 * A connection through {@link FaultProxy}: the caller's channel, the called process's channel, and
 * the bytes under way in each direction, subject to the faults of the link. Owned by the proxy's
 * event loop.
 */
final class ProxiedConnection {
  /** Bytes under way in one direction above which their sender is not read. */
  private static final int HIGH_WATER_BYTES = 1 << 20;

  private static final int LOW_WATER_BYTES = HIGH_WATER_BYTES / 2;
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
   * @param recorder of the traffic, or null
   * @param clock microseconds
   * @param onClosed called once, when the connection is over
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

  /** Sets the channel to the called process, before it is connected. */
  void setTarget(Channel channel) {
    target = channel;
  }

  /** Starts to forward once the called process has accepted, or resets the caller. */
  void onConnected(boolean success) {
    if (!success) {
      reset();
    } else if (closed) {
      // The caller has gone meanwhile.
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

  /** Closes the called side; the caller's channel stays open, and what it sends is lost. */
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

  /** Forwards what is due in both directions. */
  void forward() {
    up.forward();
    down.forward();
  }

  private void onInactive(Channel other, DelayQueue toOther) {
    if (other != null && other.isOpen()) {
      toOther.end();
    } else {
      close();
    }
  }

  /**
   * Bytes under way.
   *
   * @param bytes null for the end of the connection
   * @param dueAt when they arrive
   */
  private record Chunk(ByteBuf bytes, long dueAt) {}

  /** The bytes under way in one direction. */
  private final class DelayQueue {
    private final FaultyLink.Direction direction;
    private final Deque<Chunk> chunks = new ArrayDeque<>();
    private long bytesUnderWay;
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
      bytesUnderWay += bytes.readableBytes();
      long rate = direction.bytesPerS();
      int chunk = rate == 0 ? bytes.readableBytes() : (int) Math.max(1, rate / CHUNKS_PER_S);
      while (bytes.readableBytes() > chunk) {
        push(bytes.readRetainedSlice(chunk), transmissionUs(chunk, rate));
      }
      push(bytes, transmissionUs(bytes.readableBytes(), rate));
      if (bytesUnderWay > HIGH_WATER_BYTES) {
        source().config().setAutoRead(false);
      }
    }

    private static long transmissionUs(int bytes, long bytesPerS) {
      return bytesPerS == 0 ? 0 : bytes * US_PER_S / bytesPerS;
    }

    private void push(ByteBuf bytes, long transmissionUs) {
      long arrivesAt = clock.getAsLong() + direction.nextLatencyUs();
      lastDueAt = Math.max(lastDueAt, arrivesAt) + transmissionUs;
      chunks.add(new Chunk(bytes, lastDueAt));
      forward();
    }

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
      bytesUnderWay -= chunk.bytes().readableBytes();
      destination().writeAndFlush(chunk.bytes());
      if (bytesUnderWay <= LOW_WATER_BYTES && source().isOpen()) {
        source().config().setAutoRead(true);
      }
    }

    void drop() {
      for (Chunk chunk : chunks) {
        if (chunk.bytes() != null) {
          chunk.bytes().release();
        }
      }
      chunks.clear();
    }
  }

  /** Takes in what the caller sends. */
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
      // A reset on one side is passed on as one.
      reset();
    }
  }

  /** Takes in what the called process sends. */
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
      // A reset on one side is passed on as one.
      reset();
    }
  }
}
