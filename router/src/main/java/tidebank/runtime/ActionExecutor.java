package tidebank.runtime;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tidebank.metrics.Counters;
import tidebank.model.Action;
import tidebank.model.Event;
import tidebank.model.Outcome;

/**
 * Executes the actions that the routing policy returns: sends and cancels attempts, responds to
 * queries and sets timers. Makes no decisions of its own. Confined to the event loop.
 */
final class ActionExecutor {
  private static final Logger LOG = LoggerFactory.getLogger(ActionExecutor.class);

  private final PendingQueries queries;
  private final Clock clock;
  private final TimerQueue timers;
  private final Counters counters;
  private final Consumer<Event> eventSink;
  private BackendPort backend;
  private DiscoveryPort discovery;

  /**
   * Creates an executor that passes resulting events, such as fired timers, to {@code eventSink}.
   */
  ActionExecutor(
      PendingQueries queries,
      Clock clock,
      TimerQueue timers,
      Counters counters,
      Consumer<Event> eventSink) {
    this.queries = queries;
    this.clock = clock;
    this.timers = timers;
    this.counters = counters;
    this.eventSink = eventSink;
  }

  void connect(BackendPort backend, DiscoveryPort discovery) {
    this.backend = backend;
    this.discovery = discovery;
  }

  /** Executes one action. Attempts are buffered until {@link #flush}. */
  void execute(Action action) {
    if (action instanceof Action.SendAttempt send) {
      send(send);
    } else if (action instanceof Action.CancelAttempt cancel) {
      cancel(cancel);
    } else if (action instanceof Action.Respond respond) {
      respond(respond);
    } else if (action instanceof Action.Throttle throttle) {
      throttle(throttle);
    } else if (action instanceof Action.Fail fail) {
      fail(fail);
    } else if (action instanceof Action.SetTimer timer) {
      setTimer(timer);
    } else if (action instanceof Action.WatchEndpoints watch) {
      discovery.watch(watch.enabled());
    } else if (action instanceof Action.RetireConnections retire) {
      backend.retireConnections(retire.server());
    } else if (action instanceof Action.CheckHealth check) {
      backend.checkHealth(check.server());
    } else if (action instanceof Action.LogNote note) {
      LOG.info("policy note: {}", note.message());
    }
  }

  /** Writes the attempts buffered since the last call, batching those to the same server. */
  void flush() {
    backend.flush();
  }

  /** Fails all pending queries and cancels their attempts. */
  void failAll() {
    for (PendingQuery query : queries.snapshot()) {
      ResponseCallback callback = queries.close(query);
      for (PendingShardRequest shardRequest : query.shardRequests()) {
        shardRequest.cancelAll();
      }
      callback.onFailed();
    }
    flush();
  }

  private void send(Action.SendAttempt send) {
    PendingShardRequest shardRequest = queries.findShardRequest(send.shardRequest());
    // The text becomes part of a counter's name and must not change.
    if (!counters.checkInvariant(
        shardRequest != null && shardRequest.query().isOpen(),
        "only parts of an open scan are sent")) {
      return;
    }
    int index = shardRequest.attempts().size();
    long now = clock.now();
    AttemptRequest attempt =
        new AttemptRequest(shardRequest, index, send.server(), send.deadline(), now);
    shardRequest.attempts().add(attempt);
    shardRequest.query().recordAttempt(now);
    try {
      attempt.setHandle(backend.send(attempt));
    } catch (RuntimeException | VirtualMachineError fault) {
      attempt.markCompleted(Outcome.NOT_SENT);
      throw fault;
    }
  }

  private void cancel(Action.CancelAttempt cancel) {
    PendingShardRequest shardRequest = queries.findShardRequest(cancel.shardRequest());
    if (shardRequest != null) {
      shardRequest.attempts().get(cancel.attempt()).cancel();
    }
  }

  private void respond(Action.Respond respond) {
    PendingQuery query = queries.find(respond.query());
    if (query != null) {
      ResponseCallback callback = queries.close(query);
      counters.increment(respond.complete() ? "scans.whole" : "scans.partial");
      callback.onResponse(respond.complete(), query.values());
    }
  }

  private void throttle(Action.Throttle throttle) {
    PendingQuery query = queries.find(throttle.query());
    if (query != null) {
      ResponseCallback callback = queries.close(query);
      counters.increment("scans.throttled");
      callback.onThrottled(throttle.retryAfterUs());
    }
  }

  private void fail(Action.Fail fail) {
    PendingQuery query = queries.find(fail.query());
    if (query != null) {
      ResponseCallback callback = queries.close(query);
      counters.increment("scans.abandoned");
      callback.onFailed();
    }
  }

  private void setTimer(Action.SetTimer timer) {
    timers.schedule(
        TimerQueue.timer(() -> eventSink.accept(new Event.TimerFired(timer.token()))),
        clock.now() + timer.delayUs());
  }
}
