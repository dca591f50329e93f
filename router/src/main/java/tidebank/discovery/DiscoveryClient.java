package tidebank.discovery;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBufInputStream;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
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
 * The discovery client. It watches the endpoint list by long polling on one connection: each call
 * waits for a change, and the next one follows its response. A watch continues from the known
 * version, even across a restart or a lost watch, because complete lists are expensive: all routers
 * of a fleet would have to wait for theirs in turn. A complete list is requested only if no version
 * is known or a response did not fit the known one.
 *
 * <p>A failed call ends the watch and is reported to the policy, which decides when to start again.
 * If the settings say that changes are pushed, the client instead starts by itself, and again after
 * each failure. {@link WatchTimings} determines the timeouts and delays.
 */
public final class DiscoveryClient implements DiscoveryPort {
  private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
  private static final String PATH = "/registry/instances";
  private static final long UNKNOWN_VERSION = -1;
  private static final long US_PER_MS = 1000;

  /** The maximum size of a list, as a multiple of the maximum size of other bodies. */
  private static final int LIST_BODY_FACTOR = 16;

  private enum WatchState {
    STOPPED,
    /** Started, but no call has been answered yet. */
    UNCONFIRMED,
    CONFIRMED
  }

  private final ObjectMapper mapper = new ObjectMapper();
  private final DiscoveryConnection.Listener connectionListener = new ConnectionListener();
  private final RouterConfig.Transport transport;
  private final Bootstrap bootstrapTemplate;
  private final PolicyExecutor policy;
  private final Clock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final TimerQueue.Timer responseTimeout =
      TimerQueue.timer(() -> watchLost("response timed out"));
  private final TimerQueue.Timer retryTimer = TimerQueue.timer(() -> watch(true));
  private final TimerQueue.Timer renewalTimer = TimerQueue.timer(this::call);
  private final boolean changesPushed;
  private final WatchTimings timings;
  private final SeededRandom random;
  private InetSocketAddress address;
  private DiscoveryConnection connection;
  private WatchState state = WatchState.STOPPED;

  /** When the latest call was made, in microseconds. */
  private long calledAt;

  /** How long the latest call may wait for a change, in microseconds; 0 for a complete list. */
  private long waitUs;

  /** The version of the latest known list, which may be from before the current watch. */
  private long knownVersion = UNKNOWN_VERSION;

  /**
   * Creates a client that does not watch yet.
   *
   * @param bootstrapTemplate the bootstrap that is cloned for each connection
   */
  public DiscoveryClient(
      RouterConfig config,
      Bootstrap bootstrapTemplate,
      PolicyExecutor policy,
      Clock clock,
      TimerQueue timers,
      Counters counters) {
    this.transport = config.transport();
    this.address = config.discovery();
    this.timings = new WatchTimings(config.settings());
    this.random = new SeededRandom(config.seed());
    this.changesPushed = !config.settings().limits().watchOnRequest();
    this.bootstrapTemplate = bootstrapTemplate;
    this.policy = policy;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
  }

  /**
   * Sets the version of the cached list that the router was started with, and starts the watch if
   * changes are pushed.
   *
   * @param cachedVersion the version, or below 0 if there is no cached list
   */
  public void start(long cachedVersion) {
    knownVersion = cachedVersion;
    watchIfChangesPushed();
  }

  private void watchIfChangesPushed() {
    if (changesPushed) {
      watch(true);
    }
  }

  @Override
  public void watch(boolean enabled) {
    close();
    if (enabled) {
      state = WatchState.UNCONFIRMED;
      call();
    }
  }

  /**
   * Switches to another address of discovery. Versions there may be numbered differently, so the
   * known version is discarded. A watch of the old address ends.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    LOG.info("discovery address changed: address=" + newAddress);
    address = newAddress;
    knownVersion = UNKNOWN_VERSION;
    close();
    policy.endpointListReceived(ListUpdate.DISCOVERY_MOVED, List.of());
    watchIfChangesPushed();
  }

  /** Ends the watch without reporting it. */
  public void close() {
    state = WatchState.STOPPED;
    timers.cancel(responseTimeout);
    timers.cancel(retryTimer);
    timers.cancel(renewalTimer);
    closeConnection();
  }

  private void closeConnection() {
    DiscoveryConnection closing = connection;
    connection = null;
    if (closing != null) {
      closing.close();
    }
  }

  /** Requests the changes after the known version, or the complete list if none is known. */
  private void call() {
    boolean confirmed = state == WatchState.CONFIRMED;
    boolean forChanges = knownVersion >= 0;
    calledAt = clock.now();
    waitUs = forChanges ? timings.watchTimeoutUs(confirmed) : 0;
    timers.schedule(responseTimeout, calledAt + waitUs + timings.responseTimeoutUs(confirmed));
    String path =
        forChanges ? PATH + "?after=" + knownVersion + "&wait_ms=" + waitUs / US_PER_MS : PATH;
    if (connection == null) {
      connection = new DiscoveryConnection(address, connectionListener);
      connection.connectAndCall(
          bootstrapTemplate, LIST_BODY_FACTOR * transport.maxBodyBytes(), path);
    } else {
      connection.call(path);
    }
  }

  private void handleResponse(FullHttpResponse response) {
    if (response.status().code() != HttpResponseStatus.OK.code()) {
      watchLost("status " + response.status().code());
      return;
    }
    EndpointList list;
    try (InputStream in = new ByteBufInputStream(response.content())) {
      list = EndpointListParser.parse(mapper.readTree(in));
    } catch (IOException invalid) {
      counters.recordFault("list.malformed", invalid.getMessage());
      handleUnusableList("list is malformed");
      return;
    }
    if (!list.complete() && list.version() < knownVersion) {
      handleUnusableList(
          "delta version " + list.version() + " is below known version " + knownVersion);
      return;
    }
    if (!list.complete() && knownVersion < 0) {
      handleUnusableList("delta received instead of a complete list");
      return;
    }
    boolean changed = list.version() != knownVersion;
    knownVersion = list.version();
    report(list);
    if (!connection.canCallAfter(response)) {
      closeConnection();
    }
    renew(changed);
  }

  /** Reports a list to the policy, unless it is an empty delta of a confirmed watch. */
  private void report(EndpointList list) {
    if (state != WatchState.CONFIRMED || list.complete() || !list.endpoints().isEmpty()) {
      state = WatchState.CONFIRMED;
      policy.endpointListReceived(
          list.complete() ? ListUpdate.SNAPSHOT : ListUpdate.DELTA, list.endpoints());
    }
  }

  /** Makes the next call at once, or after a delay if the response came early without a change. */
  private void renew(boolean changed) {
    timers.cancel(responseTimeout);
    long delayUs =
        timings.renewalDelayUs(changed, clock.now() - calledAt, waitUs, random.nextDouble());
    if (delayUs == 0) {
      call();
    } else {
      timers.schedule(renewalTimer, clock.now() + delayUs);
    }
  }

  /** Handles a list that cannot be applied: the next call requests a complete list. */
  private void handleUnusableList(String reason) {
    knownVersion = UNKNOWN_VERSION;
    watchLost(reason);
  }

  private void watchLost(String reason) {
    if (state == WatchState.STOPPED) {
      return;
    }
    counters.increment("list.calls-failed");
    LOG.info("discovery watch lost: reason=" + reason);
    close();
    if (changesPushed) {
      timers.schedule(retryTimer, clock.now() + timings.pushedBackoffUs(random.nextDouble()));
    } else {
      policy.endpointListReceived(ListUpdate.WATCH_LOST, List.of());
    }
  }

  /** Handles the results of calls on the connection. */
  private final class ConnectionListener implements DiscoveryConnection.Listener {
    @Override
    public void responseReceived(FullHttpResponse response) {
      handleResponse(response);
    }

    @Override
    public void callFailed(String reason) {
      watchLost(reason);
    }
  }
}
