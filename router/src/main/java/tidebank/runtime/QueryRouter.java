package tidebank.runtime;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.backend.ShardClient;
import tidebank.capture.CaptureRecorder;
import tidebank.config.MalformedInputException;
import tidebank.config.OperatorConfig;
import tidebank.config.RouterConfig;
import tidebank.discovery.DiscoveryClient;
import tidebank.discovery.EndpointListParser;
import tidebank.fleet.FleetAgent;
import tidebank.frontend.ClientServer;
import tidebank.metrics.Counters;
import tidebank.model.Event.ListUpdate;

/**
 * A gatherer on sockets, to be embedded: {@link #start} it, ask whether it is ready, {@link #stop}
 * it.
 */
public final class QueryRouter {
  private static final Logger LOG = LoggerFactory.getLogger(QueryRouter.class);
  private static final int PAGE = 8192;

  /** Chunks of 512 KiB: one arena of few chunks serves a gatherer. */
  private static final int CHUNK_ORDER = 6;

  /** So often one client's connection is read in a pass at most; Netty's own figure. */
  private static final int READS_A_PASS = 16;

  private final RouterConfig config;
  private final long reportUs;
  private final Clock clock = new Clock();
  private final Counters counters = new Counters();
  private final EventLoopGroup group;
  private final ByteBufAllocator allocator;
  private final EventLoop loop;
  private final TimerQueue timers;
  private final PolicyExecutor driver;
  private final CaptureRecorder recorder;
  private final ShardClient shards;
  private final DiscoveryClient discovery;
  private final ClientServer clients;
  private FleetAgent agent;
  private final TimerQueue.Timer report = TimerQueue.timer(this::report);
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private InetSocketAddress address;
  private boolean stopping;
  private volatile long endBy;
  private long lingerUs;
  private boolean closed;

  private QueryRouter(RouterConfig config, OperatorConfig own) {
    this.config = config;
    reportUs = own.countersEveryUs();
    group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    loop = group.next();
    timers = new TimerQueue(loop, clock, counters);
    driver = new PolicyExecutor(config.settings(), config.seed(), clock, timers, loop, counters);
    allocator = new PooledByteBufAllocator(true, 0, 1, PAGE, CHUNK_ORDER);
    Bootstrap out =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, allocator)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark())
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) (config.transport().connectTimeoutUs() / 1000));
    shards = new ShardClient(config, out, driver, clock, timers, counters);
    discovery = new DiscoveryClient(config, out, driver, clock, timers, counters);
    driver.connect(shards, discovery);
    recorder = recorder(own);
    if (recorder != null) {
      driver.log(recorder);
    }
    Readiness readiness = new Readiness(clock.now());
    clients =
        new ClientServer(
            config,
            driver,
            clock,
            timers,
            counters,
            () -> readiness.ready(clock.now(), driver.knowsServers(), driver.listed()));
  }

  /** What can't be recorded is served all the same. */
  private CaptureRecorder recorder(OperatorConfig own) {
    try {
      return own.capture() == null ? null : new CaptureRecorder(own.capture(), clock::now);
    } catch (IOException fault) {
      LOG.error("serving without a capture: its folder can't be used", fault);
      return null;
    }
  }

  /** Starts one; when this returns it listens. */
  public static QueryRouter start(RouterConfig config) throws IOException {
    return start(config, OperatorConfig.DEFAULT);
  }

  public static QueryRouter start(RouterConfig config, OperatorConfig own) throws IOException {
    QueryRouter gatherer = new QueryRouter(config, own);
    try {
      gatherer.begin();
      gatherer.join(own.fleet());
    } catch (IOException | RuntimeException fault) {
      gatherer.group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
      throw fault;
    }
    return gatherer;
  }

  /** Listening by now: what is done for the fleet never keeps it waiting. */
  private void join(FleetAgent.Plan fleet) {
    if (fleet != null) {
      agent = new FleetAgent(fleet, config.name(), counters::all, loop).start();
    }
  }

  private void begin() throws IOException {
    EndpointListParser.Members known = known();
    ServerBootstrap in =
        new ServerBootstrap()
            .group(group)
            .channel(NioServerSocketChannel.class)
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, config.budgets().clients())
            .childOption(ChannelOption.ALLOCATOR, allocator)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true)
            .childOption(ChannelOption.RECVBUF_ALLOCATOR, clientBuffers())
            .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, waterMark());
    loop.submit(
            () -> {
              driver.endpointListReceived(ListUpdate.CACHED, known.members());
              discovery.begin(known.members().isEmpty() ? -1 : known.version());
            })
        .syncUninterruptibly();
    ChannelFuture binding = clients.listen(in).awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new IOException(
          "cannot listen on " + config.listen() + ": " + binding.cause().getMessage());
    }
    address = (InetSocketAddress) binding.channel().localAddress();
    loop.execute(() -> timers.schedule(report, clock.now() + reportUs));
    LOG.info(
        "gatherer "
            + config.name()
            + " listens on "
            + address
            + ", knows "
            + known.members().size()
            + " shard servers");
  }

  /**
   * How a client's connection is read: on until nothing is left, so that the end of a client that
   * has left is met in the pass that reads its request, before anything is sent for it. An
   * allocator of one's own reads once a pass unless it is told otherwise.
   */
  private RecvByteBufAllocator clientBuffers() {
    RouterConfig.Budgets budgets = config.budgets();
    return new AdaptiveRecvByteBufAllocator(
            budgets.readLeast(), budgets.readFirst(), budgets.readMost())
        .respectMaybeMoreData(false)
        .maxMessagesPerRead(READS_A_PASS);
  }

  private WriteBufferWaterMark waterMark() {
    return new WriteBufferWaterMark(config.budgets().writeLow(), config.budgets().writeHigh());
  }

  private EndpointListParser.Members known() throws MalformedInputException {
    if (config.known() == null) {
      return new EndpointListParser.Members(0, true, List.of());
    }
    try {
      return EndpointListParser.read(config.known());
    } catch (MalformedInputException fault) {
      throw new MalformedInputException("known: " + fault.getMessage());
    }
  }

  /** Where it listens; the port is the system's choice where the configuration says 0. */
  public InetSocketAddress address() {
    return address;
  }

  /** Whether it can serve, as {@link Readiness} has it, and is not stopping. */
  public boolean ready() {
    return loop.submit(() -> clients.ready()).syncUninterruptibly().getNow();
  }

  /**
   * Begins to stop: not ready, but serving whoever still comes while there is time enough for it,
   * then no more, and all that was taken answered. Completes when that is done.
   */
  public CompletableFuture<Void> stop() {
    if (loop.isShuttingDown()) {
      return stopped;
    }
    if (agent != null) {
      agent.leave();
    }
    loop.execute(
        () -> {
          if (!stopping) {
            stopping = true;
            long now = clock.now();
            long lateUs = timers.latenessUs();
            clients.drain();
            ShutdownSchedule plan = new ShutdownSchedule(config.settings(), now, lateUs);
            LOG.info(
                "stopping: requests are let in for {} ms, answered within {} ms; late by {} ms",
                (plan.stopAcceptingAt - now) / 1000,
                (plan.deadline - now) / 1000,
                lateUs / 1000);
            endBy = plan.deadline;
            lingerUs = plan.lingerUs;
            driver.shutdownRequested(endBy);
            timers.schedule(TimerQueue.timer(this::noMoreRequests), plan.stopAcceptingAt);
          }
        });
    return stopped;
  }

  /**
   * Takes over what may change while it runs, which is where discovery is; all else of a
   * configuration needs a restart.
   */
  public void reload(RouterConfig fresh) {
    loop.execute(
        () -> {
          counters.add("config.reloaded");
          if (!closed) {
            discovery.moved(fresh.discovery());
          }
        });
  }

  /** A configuration that was to be taken over has a fault: the old one stands. */
  public void reloadFailed(MalformedInputException fault) {
    loop.execute(() -> counters.add("config.faulty"));
    LOG.warn("the configuration stays as it was: " + fault.getMessage());
  }

  private void noMoreRequests() {
    clients.end();
    driver.whenIdle(this::waitForClients);
  }

  /**
   * Answers are on their way; their connections close once they are written and read, and at the
   * end in any case.
   */
  private void waitForClients() {
    long now = clock.now();
    clients.close(now >= endBy ? Long.MAX_VALUE : now - lingerUs);
    if (clients.open() > 0) {
      timers.schedule(
          TimerQueue.timer(() -> driver.whenIdle(this::waitForClients)),
          clock.now() + config.settings().tickUs());
      return;
    }
    closed = true;
    shards.close();
    discovery.close();
    LOG.info("stopped: " + counters);
    group
        .shutdownGracefully(0, 1, TimeUnit.SECONDS)
        .addListener(
            done -> {
              if (recorder != null) {
                // The process ends by the time it promised, whatever the disk does.
                recorder.close((endBy - clock.now()) / 1000);
              }
              stopped.complete(null);
            });
  }

  private void report() {
    LOG.info("counters: " + counters);
    timers.schedule(report, clock.now() + reportUs);
  }
}
