package tidebank.runtime;

import java.util.function.LongConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.frontend.ClientServer;
import tidebank.model.Settings;

/**
 * Carries out a {@link ShutdownSchedule}. It first reports not ready while requests are still
 * accepted, then stops accepting, and closes the clients' connections once no query is pending.
 * Confined to the event loop.
 */
final class GracefulShutdown {
  private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);

  private final Settings settings;
  private final ClientServer clients;
  private final PolicyExecutor executor;
  private final Clock clock;
  private final TimerQueue timers;
  private final LongConsumer whenComplete;

  /** Null until the shutdown begins. */
  private ShutdownSchedule schedule;

  private boolean complete;

  /** Creates a shutdown; {@code whenComplete} gets its deadline once no client is connected. */
  GracefulShutdown(
      Settings settings,
      ClientServer clients,
      PolicyExecutor executor,
      Clock clock,
      TimerQueue timers,
      LongConsumer whenComplete) {
    this.settings = settings;
    this.clients = clients;
    this.executor = executor;
    this.clock = clock;
    this.timers = timers;
    this.whenComplete = whenComplete;
  }

  /** Returns whether all clients are disconnected and no further one can connect. */
  boolean isComplete() {
    return complete;
  }

  /** Starts the shutdown; later calls do nothing. */
  void begin() {
    if (schedule != null) {
      return;
    }
    long now = clock.now();
    long lateUs = timers.latenessUs();
    clients.beginDraining();
    schedule = new ShutdownSchedule(settings, now, lateUs);
    LOG.info(
        "shutdown requested: accept_ms={} respond_ms={} late_ms={}",
        (schedule.stopAcceptingAt() - now) / 1000,
        (schedule.deadline() - now) / 1000,
        lateUs / 1000);
    executor.shutdownRequested(schedule.deadline());
    timers.schedule(TimerQueue.timer(this::stopAcceptingRequests), schedule.stopAcceptingAt());
  }

  private void stopAcceptingRequests() {
    clients.stopAccepting();
    executor.runWhenIdle(this::closeClientConnections);
  }

  /**
   * Closes the connections that have lingered long enough after their final response, and all
   * connections at the deadline. Repeats every tick until none is left.
   */
  private void closeClientConnections() {
    long now = clock.now();
    if (now >= schedule.deadline()) {
      clients.closeAllConnections();
    } else {
      clients.closeConnectionsRespondedBefore(now - schedule.lingerUs());
    }
    if (clients.connectionCount() > 0) {
      timers.schedule(
          TimerQueue.timer(() -> executor.runWhenIdle(this::closeClientConnections)),
          clock.now() + settings.tickUs());
      return;
    }
    complete = true;
    whenComplete.accept(schedule.deadline());
  }
}
