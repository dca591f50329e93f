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
 * Watches discovery by long polling on one connection: each call waits for a change and is renewed
 * at once. A watch continues from the version that is known, also from before a start or a loss: a
 * complete list is expensive, as all routers of a fleet would wait for theirs in turn. It is
 * requested only if no version is known or a response did not fit.
 *
 * <p>Any call that fails ends the watch and is reported; when to start again is the policy's
 * decision. Where the settings promise that changes are pushed, this client keeps that promise: it
 * starts by itself, and again after each failure. {@link WatchTimings} decides how long it waits.
 */
public final class DiscoveryClient implements DiscoveryPort {
  private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
  private static final String PATH = "/registry/instances";
  private static final long NO_VERSION = -1;
  private static final long US_PER_MS = 1000;

  /** A list may be longer than any other body by this factor. */
  private static final int LIST_BODY_FACTOR = 16;

  private enum WatchState {
    STOPPED,
    /** Started, and no call has been answered yet. */
    UNCONFIRMED,
    CONFIRMED
  }

  private final ObjectMapper mapper = new ObjectMapper();
  private final DiscoveryConnection.Listener connectionListener = new ConnectionListener();
  private final RouterConfig.Transport transport;
  private final Bootstrap template;
  private final PolicyExecutor policy;
  private final Clock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final TimerQueue.Timer responseTimeout =
      TimerQueue.timer(() -> watchLost("response timed out"));
  private final TimerQueue.Timer retryTimer = TimerQueue.timer(() -> watch(true));
  private final TimerQueue.Timer renewalTimer = TimerQueue.timer(this::call);
  private final boolean pushed;
  private final WatchTimings timings;
  private final SeededRandom random;
  private InetSocketAddress address;
  private DiscoveryConnection connection;
  private WatchState state = WatchState.STOPPED;

  /** When the latest call was made, in microseconds. */
  private long calledAt;

  /** How long the latest call may wait for a change, in microseconds; 0 for a complete list. */
  private long waitUs;

  /** The version that is known, from the current watch or from before it. */
  private long version = NO_VERSION;

  /**
   * Creates a client that does not watch yet.
   *
   * @param template the bootstrap of its connections, to which each adds its own pipeline
   */
  public DiscoveryClient(
      RouterConfig config,
      Bootstrap template,
      PolicyExecutor policy,
      Clock clock,
      TimerQueue timers,
      Counters counters) {
    this.transport = config.transport();
    this.address = config.discovery();
    this.timings = new WatchTimings(config.settings());
    this.random = new SeededRandom(config.seed());
    this.pushed = !config.settings().limits().watchOnRequest();
    this.template = template;
    this.policy = policy;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
  }

  /**
   * Sets the version of the cached list that the router was started with, and starts to watch where
   * changes are pushed.
   *
   * @param cachedVersion the version, or below 0 if there is no cached list
   */
  public void start(long cachedVersion) {
    version = cachedVersion;
    watchIfPushed();
  }

  private void watchIfPushed() {
    if (pushed) {
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
   * Moves to another address of discovery. Its versions may count anew, so the known one is
   * forgotten, and a watch of the old address ends.
   */
  public void changeAddress(InetSocketAddress newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    LOG.info("discovery address changed: address=" + newAddress);
    address = newAddress;
    version = NO_VERSION;
    close();
    policy.endpointListReceived(ListUpdate.DISCOVERY_MOVED, List.of());
    watchIfPushed();
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
    boolean forChanges = version >= 0;
    calledAt = clock.now();
    waitUs = forChanges ? timings.watchTimeoutUs(confirmed) : 0;
    timers.schedule(responseTimeout, calledAt + waitUs + timings.responseTimeoutUs(confirmed));
    String path = forChanges ? PATH + "?after=" + version + "&wait_ms=" + waitUs / US_PER_MS : PATH;
    if (connection == null) {
      connection = new DiscoveryConnection(address, connectionListener);
      connection.connectAndCall(template, LIST_BODY_FACTOR * transport.maxBodyBytes(), path);
    } else {
      connection.call(path);
    }
  }

  private void handle(FullHttpResponse response) {
    if (response.status().code() != HttpResponseStatus.OK.code()) {
      watchLost("status " + response.status().code());
      return;
    }
    EndpointList list;
    try (InputStream in = new ByteBufInputStream(response.content())) {
      list = EndpointListParser.parse(mapper.readTree(in));
    } catch (IOException invalid) {
      counters.recordFault("list.malformed", invalid.getMessage());
      versionLost("list is malformed");
      return;
    }
    if (!list.complete() && list.version() < version) {
      versionLost("changes of version " + list.version() + " after " + version);
      return;
    }
    if (!list.complete() && version < 0) {
      versionLost("changes in place of the complete list");
      return;
    }
    boolean changed = list.version() != version;
    version = list.version();
    report(list);
    if (!connection.canCallAfter(response)) {
      closeConnection();
    }
    renew(changed);
  }

  /** Reports a list to the policy, unless it is one more confirmation that nothing changed. */
  private void report(EndpointList list) {
    if (state != WatchState.CONFIRMED || list.complete() || !list.endpoints().isEmpty()) {
      state = WatchState.CONFIRMED;
      policy.endpointListReceived(
          list.complete() ? ListUpdate.SNAPSHOT : ListUpdate.DELTA, list.endpoints());
    }
  }

  /** Makes the next call at once, or after a delay if responses come early without a change. */
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

  /** Handles a response that does not fit the known version: only a complete list helps. */
  private void versionLost(String reason) {
    version = NO_VERSION;
    watchLost(reason);
  }

  private void watchLost(String reason) {
    if (state == WatchState.STOPPED) {
      return;
    }
    counters.increment("list.calls-failed");
    LOG.info("discovery watch lost: reason=" + reason);
    close();
    if (pushed) {
      timers.schedule(retryTimer, clock.now() + timings.pushedBackoffUs(random.nextDouble()));
    } else {
      policy.endpointListReceived(ListUpdate.WATCH_LOST, List.of());
    }
  }

  /** Passes on the results of calls. */
  private final class ConnectionListener implements DiscoveryConnection.Listener {
    @Override
    public void responseReceived(FullHttpResponse response) {
      handle(response);
    }

    @Override
    public void callFailed(String reason) {
      watchLost(reason);
    }
  }
}
