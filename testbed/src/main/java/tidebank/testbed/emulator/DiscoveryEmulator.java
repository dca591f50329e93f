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
 * Discovery's stand-in on loopback, with an address of its own for each gatherer. All of it belongs
 * to one event loop.
 */
public final class DiscoveryEmulator {
  private static final long WAIT_MOST_MS = 60_000;
  private static final int CHANGES_KEPT = 256;

  /** How a server stands in the roster, in the protocol's words. */
  public enum Health {
    Ready,
    Terminating,
    Gone
  }

  private record Line(ListedServer server, int cell, Health health, long bornMs) {}

  private record Watch(int gatherer, Channel channel, long after, ScheduledFuture<?> end) {}

  private static final ObjectMapper JSON = new ObjectMapper();

  /** What was told to whom, for an audit; null where nobody audits. */
  private final EmulatorLog ledger;

  private final Clock clock;
  private final EventLoop loop;
  private final Map<Integer, Line> lines = new TreeMap<>();
  private final TreeMap<Long, Integer> changes = new TreeMap<>();
  private final List<Watch> watches = new ArrayList<>();
  private final List<Channel> listeners = new ArrayList<>();
  private final Map<Channel, Integer> connections = new LinkedHashMap<>();
  private final InetSocketAddress[] addresses;
  private BiConsumer<Integer, ChannelPipeline> observer = (gatherer, pipeline) -> {};
  private long version = 1;
  private long calls;

  /**
   * Lists these servers, all in service.
   *
   * @param ledger takes what was told to whom; may be null, then nothing is kept of it
   */
  public DiscoveryEmulator(
      List<? extends ListedServer> servers,
      int gatherers,
      EmulatorLog ledger,
      Clock clock,
      EventLoop loop) {
    this.ledger = ledger;
    this.clock = clock;
    this.loop = loop;
    addresses = new InetSocketAddress[gatherers];
    for (int i = 0; i < servers.size(); i++) {
      lines.put(i, new Line(servers.get(i), i, Health.Ready, 0));
    }
  }

  /** Hands the pipeline of each connection, once it is whole, to this; set before {@link #open}. */
  public void observe(BiConsumer<Integer, ChannelPipeline> wanted) {
    observer = wanted;
  }

  public void open() {
    for (int gatherer = 0; gatherer < addresses.length; gatherer++) {
      int who = gatherer;
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
                              new Calls(who));
                      observer.accept(who, channel.pipeline());
                    }
                  })
              .bind(
                  addresses[gatherer] == null
                      ? new InetSocketAddress("127.0.0.1", 0)
                      : addresses[gatherer])
              .syncUninterruptibly()
              .channel();
      addresses[gatherer] = (InetSocketAddress) listener.localAddress();
      listeners.add(listener);
    }
  }

  public InetSocketAddress address(int gatherer) {
    return addresses[gatherer];
  }

  public long calls() {
    return calls;
  }

  /**
   * A server's line changes; a start time in Unix milliseconds if it started anew, else 0 for the
   * one it had.
   */
  public void change(int server, Health health, long bornMs) {
    loop.execute(
        () -> {
          Line old = lines.get(server);
          lines.put(
              server, new Line(old.server, old.cell, health, bornMs == 0 ? old.bornMs : bornMs));
          changes.put(++version, server);
          if (changes.size() > CHANGES_KEPT) {
            changes.pollFirstEntry();
          }
          answerWatches();
        });
  }

  /** Answers each watch now, as if the time for which it may wait were over. */
  public void endWaits() {
    loop.execute(this::answerWatches);
  }

  private void answerWatches() {
    List<Watch> due = List.copyOf(watches);
    watches.clear();
    for (Watch watch : due) {
      watch.end.cancel(false);
      since(watch.gatherer, watch.channel, watch.after);
    }
  }

  /** Goes down: connections end, new ones are refused; up again by {@link #open}. */
  public void down() {
    loop.submit(
            () -> {
              listeners.forEach(Channel::close);
              listeners.clear();
              watches.forEach(watch -> watch.end.cancel(false));
              watches.clear();
              List.copyOf(connections.keySet()).forEach(Channel::close);
            })
        .awaitUninterruptibly();
  }

  private void whole(int gatherer, Channel to) {
    send(
        gatherer,
        to,
        true,
        lines.values().stream().filter(line -> line.health != Health.Gone).toList());
  }

  private void since(int gatherer, Channel to, long after) {
    if (!changes.isEmpty() && changes.firstKey() > after + 1) {
      whole(gatherer, to);
      return;
    }
    send(
        gatherer,
        to,
        false,
        changes.tailMap(after, false).values().stream().distinct().map(lines::get).toList());
  }

  private void send(int gatherer, Channel to, boolean whole, List<Line> some) {
    ObjectNode body = JSON.createObjectNode().put("seq", version).put("whole", whole);
    ArrayNode hosts = body.putArray("hosts");
    for (Line line : some) {
      InetSocketAddress dial = line.server.address(gatherer);
      hosts
          .addObject()
          .put("host", line.server.name())
          .put("dial", "127.0.0.1:" + dial.getPort())
          .put("site", "a")
          .put("class", "stand-in")
          .put("block", line.cell)
          .put("health", line.health.name())
          .put("share", 1.0)
          .put("born_ms", line.bornMs);
    }
    if (ledger != null) {
      keep(gatherer, whole, some);
    }
    respond(to, HttpResponseStatus.OK, body.toString());
  }

  /** Keeps what a gatherer is told; the time is linear in the lines of the list. */
  private void keep(int gatherer, boolean whole, List<Line> some) {
    Set<Line> told = new HashSet<>(some);
    long now = clock.now();
    for (Map.Entry<Integer, Line> entry : lines.entrySet()) {
      boolean named = told.contains(entry.getValue());
      if (named || whole) {
        ledger.add(
            new EmulatorLog.Told(
                gatherer, entry.getKey(), named && entry.getValue().health == Health.Ready, now));
      }
    }
  }

  private static void respond(Channel to, HttpResponseStatus status, String body) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    to.writeAndFlush(response);
  }

  private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final int gatherer;

    Calls(int gatherer) {
      this.gatherer = gatherer;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connections.put(context.channel(), gatherer);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(context.channel());
      watches.removeIf(
          watch -> {
            boolean mine = watch.channel == context.channel();
            if (mine) {
              watch.end.cancel(false);
            }
            return mine;
          });
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      calls++;
      QueryStringDecoder uri = new QueryStringDecoder(request.uri());
      if (!uri.path().equals("/registry/instances")) {
        respond(context.channel(), HttpResponseStatus.NOT_FOUND, "{}");
        return;
      }
      try {
        List<String> after = uri.parameters().get("after");
        if (after == null) {
          whole(gatherer, context.channel());
          return;
        }
        long from = Long.parseLong(after.get(0));
        long wait =
            Math.min(
                WAIT_MOST_MS,
                Long.parseLong(uri.parameters().getOrDefault("wait_ms", List.of("0")).get(0)));
        if (from > version) {
          whole(gatherer, context.channel());
        } else if (from < version) {
          since(gatherer, context.channel(), from);
        } else {
          Channel channel = context.channel();
          watches.add(
              new Watch(
                  gatherer,
                  channel,
                  from,
                  loop.schedule(
                      () -> {
                        watches.removeIf(watch -> watch.channel == channel);
                        since(gatherer, channel, from);
                      },
                      wait,
                      TimeUnit.MILLISECONDS)));
        }
      } catch (NumberFormatException fault) {
        respond(context.channel(), HttpResponseStatus.BAD_REQUEST, "{}");
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
