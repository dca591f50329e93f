package tidebank.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.config.RouterConfig;
import tidebank.discovery.EndpointListParser.EndpointList;
import tidebank.metrics.Counters;
import tidebank.model.Event.ListUpdate;
import tidebank.model.SeededRandom;
import tidebank.policy.WatchTimings;
import tidebank.runtime.Clock;
import tidebank.runtime.DiscoveryPort;
import tidebank.runtime.PolicyExecutor;
import tidebank.runtime.TimerQueue;

/**
 * Watches discovery on one connection: calls that wait for changes, each renewed at once. A watch
 * goes on from the version that we know, also from before a start or a loss: for a whole list all
 * instances wait in turn, a hundred at once far longer than each may. It is asked for where no
 * version is known or an answer did not fit. Any call that fails, in whatever way, ends the watch
 * and is told; when to begin again is not decided here. Where the settings promise that changes
 * come unasked, this side keeps that promise: it begins by itself, and again after each failure.
 * How long it waits for what is {@link WatchTimings}'s to say.
 */
public final class DiscoveryClient implements DiscoveryPort {
  private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
  private static final String PATH = "/registry/instances";

  private final ObjectMapper mapper = new ObjectMapper();
  private final RouterConfig.Transport transport;
  private final Bootstrap template;
  private final PolicyExecutor driver;
  private final Clock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final TimerQueue.Timer late = TimerQueue.timer(() -> lost("no answer in time"));
  private final TimerQueue.Timer again = TimerQueue.timer(() -> watch(true));
  private final TimerQueue.Timer renewal = TimerQueue.timer(this::call);
  private final boolean unasked;
  private final WatchTimings times;
  private final SeededRandom chance;
  private InetSocketAddress address;
  private Link link;
  private boolean following;

  /** Whether the watch that is on has been answered at all. */
  private boolean confirmed;

  /** When the latest call was made, and how long it may wait for a change; 0 for a whole list. */
  private long calledAt;

  private long waitUs;

  /**
   * The version that we have come to, known from before the start or from a watch that was lost;
   * below 0: none.
   */
  private long version = -1;

  public DiscoveryClient(
      RouterConfig config,
      Bootstrap template,
      PolicyExecutor driver,
      Clock clock,
      TimerQueue timers,
      Counters counters) {
    this.transport = config.transport();
    this.address = config.discovery();
    this.times = new WatchTimings(config.settings());
    this.chance = new SeededRandom(config.seed());
    this.unasked = !config.settings().limits().watchOnRequest();
    this.template = template;
    this.driver = driver;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
  }

  /**
   * From the list of this version that the gatherer was started with; by itself where the settings
   * promise that.
   */
  public void start(long known) {
    version = known;
    start();
  }

  private void start() {
    if (unasked) {
      watch(true);
    }
  }

  @Override
  public void watch(boolean on) {
    close();
    following = on;
    confirmed = false;
    if (on) {
      call();
    }
  }

  /**
   * Discovery is at another address, whose versions may count anew; a watch on the old one is of no
   * use.
   */
  public void changeAddress(InetSocketAddress to) {
    if (to.equals(address)) {
      return;
    }
    LOG.info("discovery is at " + to + " now");
    address = to;
    version = -1;
    close();
    driver.endpointListReceived(ListUpdate.DISCOVERY_MOVED, List.of());
    start();
  }

  /** Ends the watch without a word. */
  public void close() {
    following = false;
    timers.cancel(late);
    timers.cancel(again);
    timers.cancel(renewal);
    Link old = link;
    link = null;
    if (old != null && old.channel != null) {
      old.channel.close();
    }
  }

  private void call() {
    boolean watch = version >= 0;
    calledAt = clock.now();
    waitUs = watch ? times.watchTimeoutUs(confirmed) : 0;
    timers.schedule(late, calledAt + waitUs + times.responseTimeoutUs(confirmed));
    String path = !watch ? PATH : PATH + "?after=" + version + "&wait_ms=" + waitUs / 1000;
    if (link == null) {
      link = new Link(path);
      link.connect();
    } else {
      link.ask(path);
    }
  }

  /** What was answered does not fit what is known, so that only the whole list helps. */
  private void astray(String why) {
    version = -1;
    lost(why);
  }

  private void lost(String why) {
    if (following) {
      counters.add("list.calls-failed");
      LOG.info("the watch on discovery is lost: " + why);
      close();
      if (unasked) {
        timers.schedule(again, clock.now() + times.pushedBackoffUs(chance.nextDouble()));
      } else {
        driver.endpointListReceived(ListUpdate.WATCH_LOST, List.of());
      }
    }
  }

  private void answered(FullHttpResponse response) throws IOException {
    if (response.status().code() != 200) {
      lost("status " + response.status().code());
      return;
    }
    EndpointList list;
    try (InputStream in = new ByteBufInputStream(response.content())) {
      list = EndpointListParser.read(mapper.readTree(in));
    } catch (IOException fault) {
      counters.recordFault("list.malformed", fault.getMessage());
      astray("a list that can't be read");
      return;
    }
    if (!list.complete() && list.version() < version) {
      astray("changes of version " + list.version() + " after " + version);
      return;
    }
    if (!list.complete() && version < 0) {
      astray("changes where the whole list was asked for");
      return;
    }
    boolean news = list.version() != version;
    version = list.version();
    if (!confirmed || list.complete() || !list.members().isEmpty()) {
      confirmed = true;
      driver.endpointListReceived(
          list.complete() ? ListUpdate.SNAPSHOT : ListUpdate.DELTA, list.members());
    }
    // An answer without a length ends with its connection.
    if (!HttpUtil.isKeepAlive(response) || !link.channel.isActive()) {
      Link old = link;
      link = null;
      old.channel.close();
    }
    renew(news);
  }

  /**
   * Makes the next call of the watch: at once, or after a pause where answers come without need.
   */
  private void renew(boolean news) {
    timers.cancel(late);
    long pauseUs = times.renewalDelayUs(news, clock.now() - calledAt, waitUs, chance.nextDouble());
    if (pauseUs == 0) {
      call();
    } else {
      timers.schedule(renewal, clock.now() + pauseUs);
    }
  }

  /** The connection to discovery; it has one call out at a time. */
  private final class Link extends SimpleChannelInboundHandler<FullHttpResponse> {
    private String path;
    private Channel channel;

    Link(String path) {
      this.path = path;
    }

    void connect() {
      ChannelFuture connecting =
          template
              .clone()
              .handler(
                  new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel fresh) {
                      fresh
                          .pipeline()
                          .addLast(
                              new HttpClientCodec(),
                              new HttpObjectAggregator(16 * transport.maxBodyBytes()),
                              Link.this);
                    }
                  })
              .connect(address);
      channel = connecting.channel();
      connecting.addListener(
          (ChannelFutureListener)
              done -> {
                if (!done.isSuccess()) {
                  failed(String.valueOf(done.cause().getMessage()));
                }
              });
    }

    void ask(String next) {
      path = next;
      DefaultFullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.GET, path, Unpooled.EMPTY_BUFFER);
      request
          .headers()
          .set(HttpHeaderNames.HOST, address.getHostString() + ':' + address.getPort());
      channel.writeAndFlush(request, channel.voidPromise());
    }

    private void failed(String why) {
      if (link == this) {
        lost(why);
      }
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      if (link == this) {
        ask(path);
      }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response)
        throws IOException {
      if (link != this) {
        return;
      }
      if (response.decoderResult().isFailure()) {
        failed("an answer that is no HTTP");
      } else {
        answered(response);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      failed("the connection ended");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      failed(String.valueOf(cause.getMessage()));
      context.close();
    }
  }
}
