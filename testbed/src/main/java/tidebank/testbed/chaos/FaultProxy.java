package tidebank.testbed.chaos;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
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
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import tidebank.testbed.chaos.FaultyLink.Fault;

/**
 * A TCP proxy in front of the processes of a cluster. Forwards their traffic and injects faults
 * into the link between any two of them. A single event loop owns all links and connections; the
 * methods may be called from any other thread.
 */
final class FaultProxy implements AutoCloseable {
  /** Lookup of the process that opened an accepted connection. */
  interface CallerLookup {
    /**
     * Returns the name of the calling process, or null if it is unknown.
     *
     * @param port port of the caller's end
     * @param proxyPort port of the proxy's end
     */
    String find(int port, int proxyPort);
  }

  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final CallerLookup callerLookup;
  private final History history;
  private final long seed;
  private final List<Channel> listeners = new ArrayList<>();
  private final Map<String, FaultyLink> links = new LinkedHashMap<>();
  private final Set<ProxiedConnection> connections = new HashSet<>();

  FaultProxy(CallerLookup callers, History history, long seed) {
    this.callerLookup = callers;
    this.history = history;
    this.seed = seed;
  }

  /**
   * Opens a listener that forwards connections to an address.
   *
   * @param to name of the process that listens at the target address
   * @param recorded whether the history records the traffic of this listener
   * @return address of the listener
   * @throws IOException if the listener can't be bound
   */
  InetSocketAddress openListener(String to, InetSocketAddress target, boolean recorded)
      throws IOException {
    ChannelFuture binding =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.AUTO_READ, false)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    accept(channel, to, target, recorded);
                  }
                })
            .bind(new InetSocketAddress("127.0.0.1", 0))
            .awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new IOException(
          "proxy for " + target + " can't bind a listener: " + binding.cause().getMessage());
    }
    listeners.add(binding.channel());
    return (InetSocketAddress) binding.channel().localAddress();
  }

  /**
   * Injects a fault into the link between two processes and waits until it is in effect. Replaces
   * the current fault of the link, except that {@code RESET} and {@code HALF_OPEN} leave it in
   * effect.
   *
   * @param delayUs latency of {@code DELAY} or interval of {@code FLAP}, in microseconds
   * @param jitterUs maximum jitter of {@code DELAY}, in microseconds
   * @param bytesPerS bandwidth of {@code TRICKLE}, in bytes per second
   */
  void inject(String from, String to, Fault fault, long delayUs, long jitterUs, long bytesPerS) {
    group
        .next()
        .submit(
            () -> {
              FaultyLink link = linkBetween(from, to);
              if (!fault.isMomentary()) {
                link.heal();
              }
              List<ProxiedConnection> affected = connectionsOf(link);
              switch (fault) {
                case DELAY -> link.setDelay(delayUs, jitterUs);
                case SILENT_UP -> link.silenceUp();
                case SILENT_DOWN -> link.silenceDown();
                case CUT -> {
                  link.silenceUp();
                  link.silenceDown();
                }
                case TRICKLE -> link.limitBandwidth(bytesPerS);
                case RESET -> affected.forEach(ProxiedConnection::reset);
                case HALF_OPEN -> affected.forEach(ProxiedConnection::closeTargetSide);
                case REFUSE -> refuse(link);
                case FLAP -> {
                  link.setFlapInterval(delayUs);
                  toggleRefusal(link, link.generation());
                }
                default -> {}
              }
              affected.forEach(ProxiedConnection::forward);
            })
        .syncUninterruptibly();
  }

  private FaultyLink linkBetween(String from, String to) {
    return links.computeIfAbsent(from + ">" + to, key -> new FaultyLink(seed + key.hashCode()));
  }

  private List<ProxiedConnection> connectionsOf(FaultyLink link) {
    return connections.stream().filter(connection -> connection.link() == link).toList();
  }

  /** Resets all connections of a link and refuses new ones. */
  private void refuse(FaultyLink link) {
    link.setRefusing(true);
    connectionsOf(link).forEach(ProxiedConnection::reset);
  }

  /**
   * Switches a flapping link between refusing and healthy and schedules the next switch. Does
   * nothing if the flapping was ended since the switch was scheduled, or if the proxy is closing.
   */
  private void toggleRefusal(FaultyLink link, int generation) {
    if (link.generation() != generation || group.isShuttingDown()) {
      return;
    }
    if (link.isRefusing()) {
      link.setRefusing(false);
    } else {
      refuse(link);
    }
    group
        .next()
        .schedule(
            () -> toggleRefusal(link, generation), link.flapIntervalUs(), TimeUnit.MICROSECONDS);
  }

  /**
   * Forwards an accepted connection to the target address. Resets it if the caller is unknown or
   * the link refuses connections.
   */
  private void accept(
      SocketChannel channel, String to, InetSocketAddress target, boolean recorded) {
    String from =
        callerLookup.find(channel.remoteAddress().getPort(), channel.localAddress().getPort());
    FaultyLink link = from == null ? null : linkBetween(from, to);
    if (link == null || link.isRefusing()) {
      ProxiedConnection.reset(channel);
      return;
    }
    ProxiedConnection connection =
        new ProxiedConnection(
            link,
            channel,
            recorded ? new TrafficRecorder(history, from) : null,
            history::now,
            connections::remove);
    connections.add(connection);
    channel.pipeline().addLast(connection.callerHandler());
    new Bootstrap()
        .group(channel.eventLoop())
        .channel(NioSocketChannel.class)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.AUTO_READ, false)
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel targetChannel) {
                connection.setTarget(targetChannel);
                targetChannel.pipeline().addLast(connection.targetHandler());
              }
            })
        .connect(target)
        .addListener(connecting -> connection.onConnected(connecting.isSuccess()));
  }

  @Override
  public void close() {
    group
        .next()
        .submit(
            () -> {
              listeners.forEach(Channel::close);
              List.copyOf(connections).forEach(ProxiedConnection::reset);
            })
        .awaitUninterruptibly();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
