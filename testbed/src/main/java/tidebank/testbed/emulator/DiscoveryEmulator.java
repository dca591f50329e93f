package tidebank.testbed.emulator;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import tidebank.runtime.Clock;

/**
 * Emulates the discovery service on loopback, with a separate listener for each router, so that the
 * router behind each request is known. The endpoint list and the watches are accessed only on one
 * event loop.
 */
public final class DiscoveryEmulator {
  private static final long MAX_WAIT_MS = 60_000;
  private static final int MAX_RETAINED_CHANGES = 256;

  /** The state of a listed server; the protocol sends the names of the constants. */
  public enum Health {
    Ready,
    Terminating,
    Gone
  }

  private record ListEntry(ListedServer server, int position, Health health, long startedAtMs) {}

  private record Watch(
      int router, Channel channel, long afterVersion, ScheduledFuture<?> timeout) {}

  private static final ObjectMapper JSON = new ObjectMapper();

  /** Records which router was sent which state of a server; null if there is no audit. */
  private final EmulatorLog emulatorLog;

  private final Clock clock;
  private final EventLoop loop;
  private final Map<Integer, ListEntry> entries = new TreeMap<>();
  private final TreeMap<Long, Integer> changes = new TreeMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final List<Channel> listeners = new ArrayList<>();
  private final Map<Channel, Integer> connections = new LinkedHashMap<>();
  private final InetSocketAddress[] addresses;
  private BiConsumer<Integer, ChannelPipeline> observer = (router, pipeline) -> {};
  private long version = 1;
  private long requests;

  /**
   * Creates an endpoint list with all servers in service.
   *
   * @param servers the listed servers, each at the position equal to its index
   * @param routers number of routers
   * @param emulatorLog records which router was sent which state of a server; null for no record
   */
  public DiscoveryEmulator(
      List<? extends ListedServer> servers,
      int routers,
      EmulatorLog emulatorLog,
      Clock clock,
      EventLoop loop) {
    this.emulatorLog = emulatorLog;
    this.clock = clock;
    this.loop = loop;
    addresses = new InetSocketAddress[routers];
    for (int i = 0; i < servers.size(); i++) {
      entries.put(i, new ListEntry(servers.get(i), i, Health.Ready, 0));
    }
  }

  /**
   * Sets a callback that gets the router's index and the complete pipeline of each new connection.
   * Must be called before {@link #open}.
   */
  public void setConnectionObserver(BiConsumer<Integer, ChannelPipeline> observer) {
    this.observer = observer;
  }

  /** Opens the listeners, on free ports the first time and on the same ports after that. */
  public void open() {
    for (int i = 0; i < addresses.length; i++) {
      int router = i;
      Channel listener =
          new ServerBootstrap()
              .group(loop)
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_REUSEADDR, true)
              .childHandler(
                  new ChannelInitializer<>() {
                    @Override
                    protected void initChannel(Channel channel) {
                      channel
                          .pipeline()
                          .addLast(
                              new HttpServerCodec(),
                              new HttpObjectAggregator(1 << 16),
                              new RequestHandler(router));
                      observer.accept(router, channel.pipeline());
                    }
                  })
              .bind(addresses[i] == null ? new InetSocketAddress("127.0.0.1", 0) : addresses[i])
              .syncUninterruptibly()
              .channel();
      addresses[i] = (InetSocketAddress) listener.localAddress();
      listeners.add(listener);
    }
  }

  /** Returns the address at which a router, counted from 0, reaches discovery. */
  public InetSocketAddress address(int router) {
    return addresses[router];
  }

  /** Returns the number of requests received so far. */
  public long requests() {
    return requests;
  }

  /**
   * Changes a server's entry in the list and answers all watches.
   *
   * @param startedAtMs when the server was restarted, in Unix milliseconds; 0 to keep the start
   *     time
   */
  public void updateServer(int server, Health health, long startedAtMs) {
    loop.execute(
        () -> {
          ListEntry old = entries.get(server);
          entries.put(
              server,
              new ListEntry(
                  old.server,
                  old.position,
                  health,
                  startedAtMs == 0 ? old.startedAtMs : startedAtMs));
          changes.put(++version, server);
          if (changes.size() > MAX_RETAINED_CHANGES) {
            changes.pollFirstEntry();
          }
          answerWatches();
        });
  }

  /** Answers each watch now, as if its wait time had passed. */
  public void expireWatches() {
    loop.execute(this::answerWatches);
  }

  private void answerWatches() {
    List<Watch> pending = List.copyOf(watches);
    watches.clear();
    for (Watch watch : pending) {
      watch.timeout.cancel(false);
      sendChanges(watch.router, watch.channel, watch.afterVersion);
    }
  }

  /**
   * Closes listeners and connections. New connections are refused until {@link #open} is called.
   */
  public void stop() {
    loop.submit(
            () -> {
              listeners.forEach(Channel::close);
              listeners.clear();
              watches.forEach(watch -> watch.timeout.cancel(false));
              watches.clear();
              List.copyOf(connections.keySet()).forEach(Channel::close);
            })
        .awaitUninterruptibly();
  }

  private void sendSnapshot(int router, Channel channel) {
    send(
        router,
        channel,
        true,
        entries.values().stream().filter(entry -> entry.health != Health.Gone).toList());
  }

  /**
   * Sends the entries changed after a version, or a snapshot if some of those changes are no longer
   * retained.
   */
  private void sendChanges(int router, Channel channel, long afterVersion) {
    if (!changes.isEmpty() && changes.firstKey() > afterVersion + 1) {
      sendSnapshot(router, channel);
      return;
    }
    send(
        router,
        channel,
        false,
        changes.tailMap(afterVersion, false).values().stream()
            .distinct()
            .map(entries::get)
            .toList());
  }

  private void send(int router, Channel channel, boolean snapshot, List<ListEntry> sent) {
    ObjectNode body = JSON.createObjectNode().put("seq", version).put("whole", snapshot);
    ArrayNode hosts = body.putArray("hosts");
    for (ListEntry entry : sent) {
      InetSocketAddress address = entry.server.address(router);
      hosts
          .addObject()
          .put("host", entry.server.name())
          .put("dial", "127.0.0.1:" + address.getPort())
          .put("site", "a")
          .put("class", "stand-in")
          .put("block", entry.position)
          .put("health", entry.health.name())
          .put("share", 1.0)
          .put("born_ms", entry.startedAtMs);
    }
    if (emulatorLog != null) {
      logSent(router, snapshot, sent);
    }
    respond(channel, HttpResponseStatus.OK, body.toString());
  }

  /**
   * Records which states of servers a router is sent. A server missing from a snapshot is recorded
   * as not in service. Takes time linear in the length of the list.
   */
  private void logSent(int router, boolean snapshot, List<ListEntry> sent) {
    Set<ListEntry> sentEntries = new HashSet<>(sent);
    long now = clock.now();
    for (Map.Entry<Integer, ListEntry> listed : entries.entrySet()) {
      boolean isSent = sentEntries.contains(listed.getValue());
      if (isSent || snapshot) {
        emulatorLog.add(
            new EmulatorLog.ServerAnnounced(
                router, listed.getKey(), isSent && listed.getValue().health == Health.Ready, now));
      }
    }
  }

  private static void respond(Channel channel, HttpResponseStatus status, String body) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    channel.writeAndFlush(response);
  }

  private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final int router;

    RequestHandler(int router) {
      this.router = router;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connections.put(context.channel(), router);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(context.channel());
      watches.removeIf(
          watch -> {
            boolean isClosed = watch.channel == context.channel();
            if (isClosed) {
              watch.timeout.cancel(false);
            }
            return isClosed;
          });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      requests++;
      QueryStringDecoder uri = new QueryStringDecoder(request.uri());
      if (!uri.path().equals("/registry/instances")) {
        respond(context.channel(), HttpResponseStatus.NOT_FOUND, "{}");
        return;
      }
      try {
        List<String> afterValues = uri.parameters().get("after");
        if (afterValues == null) {
          sendSnapshot(router, context.channel());
          return;
        }
        long afterVersion = Long.parseLong(afterValues.get(0));
        long waitMs =
            Math.min(
                MAX_WAIT_MS,
                Long.parseLong(uri.parameters().getOrDefault("wait_ms", List.of("0")).get(0)));
        if (afterVersion > version) {
          sendSnapshot(router, context.channel());
        } else if (afterVersion < version) {
          sendChanges(router, context.channel(), afterVersion);
        } else {
          Channel channel = context.channel();
          watches.add(
              new Watch(
                  router,
                  channel,
                  afterVersion,
                  loop.schedule(
                      () -> {
                        watches.removeIf(watch -> watch.channel == channel);
                        sendChanges(router, channel, afterVersion);
                      },
                      waitMs,
                      TimeUnit.MILLISECONDS)));
        }
      } catch (NumberFormatException e) {
        respond(context.channel(), HttpResponseStatus.BAD_REQUEST, "{}");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
