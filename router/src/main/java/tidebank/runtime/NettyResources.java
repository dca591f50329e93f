package tidebank.runtime;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import tidebank.config.RouterConfig;
import tidebank.frontend.ClientServer;

/** The event loop of a router, its buffer allocator and the options of its sockets. */
final class NettyResources {
  private static final int PAGE_BYTES = 8192;

  /** Makes chunks of 8 KiB * 2^6 = 512 KiB; a single arena with few of them serves a router. */
  private static final int CHUNK_ORDER = 6;

  private static final int QUIET_PERIOD_S = 0;
  private static final int SHUTDOWN_TIMEOUT_S = 1;

  private final RouterConfig config;
  private final EventLoopGroup group;
  private final ByteBufAllocator allocator;
  private final Bootstrap outboundBootstrap;

  NettyResources(RouterConfig config) {
    this.config = config;
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    allocator = new PooledByteBufAllocator(true, 0, 1, PAGE_BYTES, CHUNK_ORDER);
    outboundBootstrap =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) (config.transport().connectTimeoutUs() / 1000));
  }

  EventLoop loop() {
    return group.next();
  }

  /** Returns the bootstrap for connections to shard servers and discovery. */
  Bootstrap outboundBootstrap() {
    return outboundBootstrap;
  }

  /** Returns a bootstrap for the listening socket and the clients' connections. */
  ServerBootstrap serverBootstrap() {
    return new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, config.budgets().maxServedClients())
        .childOption(ChannelOption.ALLOCATOR, allocator)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
        .childOption(ChannelOption.RECVBUF_ALLOCATOR, clientReceiveBuffers())
        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark());
  }

  /** Closes the remaining channels and ends the event loop's thread. */
  Future<?> shutdown() {
    return group.shutdownGracefully(QUIET_PERIOD_S, SHUTDOWN_TIMEOUT_S, TimeUnit.SECONDS);
  }

  /** Ends the event loop's thread after a failed start, without waiting for queued tasks. */
  void shutdownNow() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /**
   * Returns an allocator that reads a client's connection until no bytes are left. A disconnect is
   * then found in the pass that reads the client's request, before any attempt is sent for it. A
   * custom allocator reads only once in a pass unless configured otherwise.
   */
  private RecvByteBufAllocator clientReceiveBuffers() {
    RouterConfig.Budgets budgets = config.budgets();
    return new AdaptiveRecvByteBufAllocator(
            budgets.minReadBufferBytes(),
            budgets.initialReadBufferBytes(),
            budgets.maxReadBufferBytes())
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(ClientServer.MAX_READS_PER_PASS);
  }

  private WriteBufferWaterMark waterMark() {
    return new WriteBufferWaterMark(
        config.budgets().writeLowWaterMark(), config.budgets().writeHighWaterMark());
  }
}
