package tidebank.runtime;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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
 * An embeddable query router that listens for clients. {@link #start} starts it, {@link #isReady}
 * tells whether it can serve and {@link #stop} stops it. Its public methods may be called from any
 * thread; everything else runs on one event loop.
 *
 * <p>The steps of a stop are in {@link GracefulShutdown}.
 */
public final class QueryRouter {
  private static final Logger LOG = LoggerFactory.getLogger(QueryRouter.class);

  private final RouterConfig config;
  private final long countersIntervalUs;
  private final Clock clock = new Clock();
  private final Counters counters = new Counters();
  private final NettyResources netty;
  private final EventLoop loop;
  private final TimerQueue timers;
  private final PolicyExecutor executor;
  private final CaptureRecorder recorder;
  private final ShardClient shards;
  private final DiscoveryClient discovery;
  private final ClientServer clients;
  private final GracefulShutdown shutdown;
  private final TimerQueue.Timer countersTimer = TimerQueue.timer(this::logCounters);
  private final CompletableFuture<Void> stopped = new CompletableFuture<>();
  private FleetAgent agent;
  private InetSocketAddress address;

  private QueryRouter(RouterConfig config, OperatorConfig operatorConfig) {
    this.config = config;
    countersIntervalUs = operatorConfig.counterLogIntervalUs();
    netty = new NettyResources(config);
    loop = netty.loop();
    timers = new TimerQueue(loop, clock, counters);
    executor = new PolicyExecutor(config.settings(), config.seed(), clock, timers, loop, counters);
    shards = new ShardClient(config, netty.outboundBootstrap(), executor, clock, timers, counters);
    discovery =
        new DiscoveryClient(config, netty.outboundBootstrap(), executor, clock, timers, counters);
    executor.connect(shards, discovery);
    recorder = openRecorder(operatorConfig);
    if (recorder != null) {
      executor.setDecisionLog(recorder);
    }
    Readiness readiness = new Readiness(clock.now());
    clients =
        new ClientServer(
            config,
            executor,
            clock,
            timers,
            counters,
            () ->
                readiness.isReady(
                    clock.now(), executor.hasKnownEndpoints(), executor.hasReceivedList()));
    shutdown =
        new GracefulShutdown(
            config.settings(), clients, executor, clock, timers, this::closeSockets);
  }

  /**
   * Opens the capture. Returns null if none is configured or it cannot be opened, as a router
   * serves without its capture as well.
   */
  private CaptureRecorder openRecorder(OperatorConfig operatorConfig) {
    if (operatorConfig.capture() == null) {
      return null;
    }
    try {
      return new CaptureRecorder(operatorConfig.capture(), clock::now);
    } catch (IOException fault) {
      LOG.error("capture disabled: its folder cannot be used", fault);
      return null;
    }
  }

  /**
   * Starts a router with the default operator configuration. It listens when this returns.
   *
   * @throws IOException if it cannot listen, or the configured endpoint list is malformed
   */
  public static QueryRouter start(RouterConfig config) throws IOException {
    return start(config, OperatorConfig.DEFAULT);
  }

  /**
   * Starts a router. It listens when this returns.
   *
   * @throws IOException if it cannot listen, or the configured endpoint list is malformed
   */
  public static QueryRouter start(RouterConfig config, OperatorConfig operatorConfig)
      throws IOException {
    QueryRouter router = new QueryRouter(config, operatorConfig);
    try {
      router.openSockets();
      router.startAgent(operatorConfig.fleet());
    } catch (IOException | RuntimeException fault) {
      router.netty.shutdownNow();
      throw fault;
    }
    return router;
  }

  /** Starts the fleet agent; called last, so that the agent never delays listening. */
  private void startAgent(FleetAgent.Config fleet) {
    if (fleet != null) {
      agent = new FleetAgent(fleet, config.name(), counters::toMap, loop).start();
    }
  }

  private void openSockets() throws IOException {
    EndpointListParser.EndpointList cached = cachedEndpoints();
    loop.submit(
            () -> {
              executor.endpointListReceived(ListUpdate.CACHED, cached.endpoints());
              discovery.start(cached.endpoints().isEmpty() ? -1 : cached.version());
            })
        .syncUninterruptibly();
    ChannelFuture binding = clients.listen(netty.serverBootstrap()).awaitUninterruptibly();
    if (!binding.isSuccess()) {
      throw new IOException(
          "cannot listen on " + config.listen() + ": " + binding.cause().getMessage());
    }
    address = (InetSocketAddress) binding.channel().localAddress();
    loop.execute(this::scheduleCounters);
    LOG.info(
        "router {} listens on {}: endpoints={}", config.name(), address, cached.endpoints().size());
  }

  /** Returns the endpoint list of the configuration, or an empty one. */
  private EndpointListParser.EndpointList cachedEndpoints() throws MalformedInputException {
    if (config.cachedEndpointList() == null) {
      return new EndpointListParser.EndpointList(0, true, List.of());
    }
    try {
      return EndpointListParser.parse(config.cachedEndpointList());
    } catch (MalformedInputException fault) {
      throw new MalformedInputException("known: " + fault.getMessage());
    }
  }

  /** Returns the address that it listens on, with the actual port if port 0 was configured. */
  public InetSocketAddress address() {
    return address;
  }

  /** Returns whether it can serve, as decided by {@link Readiness}, and is not stopping. */
  public boolean isReady() {
    return loop.submit(clients::isReady).syncUninterruptibly().getNow();
  }

  /**
   * Starts a graceful shutdown. The router is not ready from now on. It accepts requests for a
   * while, then responds to all that it has accepted. The result completes when all sockets are
   * closed.
   */
  public CompletableFuture<Void> stop() {
    if (loop.isShuttingDown()) {
      return stopped;
    }
    if (agent != null) {
      agent.leave();
    }
    loop.execute(shutdown::begin);
    return stopped;
  }

  /**
   * Applies the address of discovery of a new configuration. Changes of other settings need a
   * restart.
   */
  public void reload(RouterConfig newConfig) {
    loop.execute(
        () -> {
          counters.increment("config.reloaded");
          if (!shutdown.isComplete()) {
            discovery.changeAddress(newConfig.discovery());
          }
        });
  }

  /** Reports that a new configuration is malformed; the current one stays in effect. */
  public void reloadFailed(MalformedInputException fault) {
    loop.execute(() -> counters.increment("config.faulty"));
    LOG.warn("the configuration stays as it was: {}", fault.getMessage());
  }

  /** Closes the remaining sockets; called once no client is connected. */
  private void closeSockets(long deadline) {
    shards.close();
    discovery.close();
    LOG.info("stopped: {}", counters);
    netty
        .shutdown()
        .addListener(
            done -> {
              if (recorder != null) {
                // A slow disk must not keep the process past its deadline.
                recorder.close((deadline - clock.now()) / 1000);
              }
              stopped.complete(null);
            });
  }

  private void scheduleCounters() {
    timers.schedule(countersTimer, clock.now() + countersIntervalUs);
  }

  private void logCounters() {
    LOG.info("counters: {}", counters);
    scheduleCounters();
  }
}
