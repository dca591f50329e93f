package tidebank.testbed.chaos;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Stands before the addresses of a fleet's processes and carries what goes to them, or does what it
 * is told to the link between two of them. One event loop owns all of it.
 */
final class FaultProxy implements AutoCloseable {
  /** What may wait on one way before its sender is not read from any more. */
  private static final int HELD_MOST = 1 << 20;

  private static final int PIECES_PER_S = 20;

  /** Who calls, by the port of its end and of the relay's; null if it is nobody's. */
  interface Callers {
    String at(int port, int relay);
  }

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final Callers callers;
  private final History history;
  private final long seed;
  private final List<Channel> doors = new ArrayList<>();
  private final Map<String, FaultyLink> links = new LinkedHashMap<>();
  private final Set<Pair> pairs = new HashSet<>();

  FaultProxy(Callers callers, History history, long seed) {
    this.callers = callers;
    this.history = history;
    this.seed = seed;
  }

  /**
   * Opens a door before an address.
   *
   * @param to the process that listens there
   * @param tapped whether the history hears what goes through it
   * @return the door's own address
   */
  InetSocketAddress open(String to, InetSocketAddress target, boolean tapped) throws IOException {
    var binding =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accepted(channel, to, target, tapped);
                  }
                })
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new IOException(
          "a relay before " + target + " can't listen: " + binding.cause().getMessage());
    }
    doors.add(binding.channel());
    return (InetSocketAddress) binding.channel().localAddress();
  }

  private FaultyLink link(String from, String to) {
    return links.computeIfAbsent(from + ">" + to, key -> new FaultyLink(seed + key.hashCode()));
  }

  /** Does something to the link between two processes, and comes back once it is done. */
  void put(String from, String to, FaultyLink.Fault fault, long us, long jitterUs, long bytesPerS) {
    group
        .next()
        .submit(
            () -> {
              FaultyLink link = link(from, to);
              if (fault != FaultyLink.Fault.RESET && fault != FaultyLink.Fault.HALF_OPEN) {
                link.heal();
              }
              List<Pair> there = pairs.stream().filter(pair -> pair.link == link).toList();
              switch (fault) {
                case DELAY -> {
                  link.up.delayUs = us;
                  link.down.delayUs = us;
                  link.up.jitterUs = jitterUs;
                  link.down.jitterUs = jitterUs;
                }
                case SILENT_UP -> link.up.silent = true;
                case SILENT_DOWN -> link.down.silent = true;
                case CUT -> {
                  link.up.silent = true;
                  link.down.silent = true;
                }
                case TRICKLE -> {
                  link.up.bytesPerS = bytesPerS;
                  link.down.bytesPerS = bytesPerS;
                }
                case RESET -> there.forEach(Pair::reset);
                case HALF_OPEN -> there.forEach(Pair::half);
                case REFUSE -> refuse(link);
                case FLAP -> {
                  link.flapUs = us;
                  flap(link, link.turn);
                }
                default -> {}
              }
              there.forEach(Pair::pump);
            })
        .syncUninterruptibly();
  }

  private void refuse(FaultyLink link) {
    link.refusing = true;
    List.copyOf(pairs).stream().filter(pair -> pair.link == link).forEach(Pair::reset);
  }

  private void flap(FaultyLink link, int turn) {
    if (link.turn != turn || group.isShuttingDown()) {
      return;
    }
    if (link.refusing) {
      link.refusing = false;
    } else {
      refuse(link);
    }
    group.next().schedule(() -> flap(link, turn), link.flapUs, TimeUnit.MICROSECONDS);
  }

  private static void reset(Channel channel) {
    if (channel != null && channel.isOpen()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
      channel.close();
    }
  }

  private void accepted(
      SocketChannel channel, String to, InetSocketAddress target, boolean tapped) {
    String from = callers.at(channel.remoteAddress().getPort(), channel.localAddress().getPort());
    FaultyLink link = from == null ? null : link(from, to);
    if (link == null || link.refusing) {
      reset(channel);
      return;
    }
    Pair pair = new Pair(link, channel, tapped ? new TrafficRecorder(history, from) : null);
    pairs.add(pair);
    channel.pipeline().addLast(pair.new End(true));
    new Bootstrap()
        .group(channel.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.AUTO_READ, false)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel one) {
                pair.called = one;
                one.pipeline().addLast(pair.new End(false));
              }
            })
        .connect(target)
        .addListener(
            connected -> {
              if (connected.isSuccess() && !pairs.contains(pair)) {
                // The caller has gone meanwhile.
                pair.called.close();
              } else if (connected.isSuccess()) {
                channel.config().setAutoRead(true);
                pair.called.config().setAutoRead(true);
              } else {
                pair.reset();
              }
            });
  }

  @Override
  public void close() {
    group
        .next()
        .submit(
            () -> {
              doors.forEach(Channel::close);
              List.copyOf(pairs).forEach(Pair::reset);
            })
        .awaitUninterruptibly();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  /**
   * Bytes on their way, or the end of the connection where there are none; not to arrive before a
   * time.
   */
  private record Piece(ByteBuf bytes, long at) {}

  /**
   * A connection through a door: the caller's half, the called side's half, and what is on its way
   * each way.
   */
  private final class Pair {
    private final FaultyLink link;
    private final Channel caller;
    private final TrafficRecorder tap;
    private final Pipe up;
    private final Pipe down;
    private Channel called;
    private boolean half;

    Pair(FaultyLink link, Channel caller, TrafficRecorder tap) {
      this.link = link;
      this.caller = caller;
      this.tap = tap;
      up = new Pipe(true);
      down = new Pipe(false);
    }

    void reset() {
      FaultProxy.reset(caller);
      FaultProxy.reset(called);
      forget();
    }

    /** The called side ends; the caller's half stays, and whatever it sends is lost. */
    void half() {
      half = true;
      if (called != null) {
        called.close();
      }
    }

    private void forget() {
      if (pairs.remove(this)) {
        up.drop();
        down.drop();
        if (tap != null) {
          tap.close();
        }
      }
    }

    void pump() {
      up.pump();
      down.pump();
    }

    private final class Pipe {
      private final boolean isUp;
      private final Deque<Piece> pieces = new ArrayDeque<>();
      private long held;
      private long last;
      private boolean waits;

      Pipe(boolean isUp) {
        this.isUp = isUp;
      }

      private FaultyLink.Way way() {
        return isUp ? link.up : link.down;
      }

      private Channel from() {
        return isUp ? caller : called;
      }

      private Channel into() {
        return isUp ? called : caller;
      }

      void add(ByteBuf bytes) {
        if (half) {
          bytes.release();
          return;
        }
        held += bytes.readableBytes();
        long rate = way().bytesPerS;
        int piece = rate == 0 ? bytes.readableBytes() : (int) Math.max(1, rate / PIECES_PER_S);
        while (bytes.readableBytes() > piece) {
          push(bytes.readRetainedSlice(piece), rate == 0 ? 0 : piece * 1_000_000L / rate);
        }
        push(bytes, rate == 0 ? 0 : bytes.readableBytes() * 1_000_000L / rate);
        if (held > HELD_MOST) {
          from().config().setAutoRead(false);
        }
      }

      private void push(ByteBuf bytes, long takes) {
        FaultyLink.Way way = way();
        long arrives =
            history.now()
                + way.delayUs
                + (long) (way.jitterUs == 0 ? 0 : way.jitterUs * link.chance.nextDouble());
        last = Math.max(last, arrives) + takes;
        pieces.add(new Piece(bytes, last));
        pump();
      }

      void end() {
        push(null, 0);
      }

      void pump() {
        while (!pieces.isEmpty() && !way().silent && pairs.contains(Pair.this)) {
          Piece first = pieces.peek();
          long wait = first.at() - history.now();
          if (wait > 0) {
            if (!waits) {
              waits = true;
              group
                  .next()
                  .schedule(
                      () -> {
                        waits = false;
                        pump();
                      },
                      wait,
                      TimeUnit.MICROSECONDS);
            }
            return;
          }
          pieces.poll();
          if (first.bytes() == null) {
            into().close();
            continue;
          }
          held -= first.bytes().readableBytes();
          into().writeAndFlush(first.bytes());
          if (held <= HELD_MOST / 2 && from().isOpen()) {
            from().config().setAutoRead(true);
          }
        }
      }

      void drop() {
        pieces.forEach(
            piece -> {
              if (piece.bytes() != null) {
                piece.bytes().release();
              }
            });
        pieces.clear();
      }
    }

    /** One half of the connection. */
    private final class End extends ChannelInboundHandlerAdapter {
      private final boolean isCaller;

      End(boolean isCaller) {
        this.isCaller = isCaller;
      }

      @Override
      public void channelRead(ChannelHandlerContext context, Object message) {
        ByteBuf bytes = (ByteBuf) message;
        if (tap != null && isCaller) {
          tap.up(bytes);
        } else if (tap != null) {
          tap.down(bytes);
        }
        (isCaller ? up : down).add(bytes);
      }

      @Override
      public void channelInactive(ChannelHandlerContext context) {
        if (!pairs.contains(Pair.this) || half && !isCaller) {
          return;
        }
        boolean otherOpen = isCaller ? called != null && called.isOpen() : caller.isOpen();
        if (otherOpen) {
          (isCaller ? up : down).end();
        } else {
          forget();
        }
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        // A reset on one side is passed on as one.
        reset();
      }
    }
  }
}
