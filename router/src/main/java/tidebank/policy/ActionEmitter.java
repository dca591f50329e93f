package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.Action;
import tidebank.model.Settings;

/**
 * Turns the decisions of a round into actions: answers, the start of the discovery watch, attempts,
 * cancellations and the next timer. Only what has changed since the previous round is emitted.
 */
final class ActionEmitter {
  private final Settings settings;
  private final long retryAfterUs;
  private final EndpointWatch endpointWatch;
  private final AttemptScheduler attempts;
  private final QueryWorkQueue workQueue;
  private final WakeUpTimer timer;
  private final List<Action> actions = new ArrayList<>();

  ActionEmitter(
      Settings settings,
      long shortestObjectiveUs,
      EndpointWatch endpointWatch,
      AttemptScheduler attempts,
      QueryWorkQueue workQueue,
      WakeUpTimer timer) {
    this.settings = settings;
    this.retryAfterUs =
        settings.limits().retryAfter()
            ? Math.min(shortestObjectiveUs, settings.limits().maxRetryAfterUs())
            : 0;
    this.endpointWatch = endpointWatch;
    this.attempts = attempts;
    this.workQueue = workQueue;
    this.timer = timer;
  }

  /** Begins a round with an empty list of actions. */
  void beginRound() {
    actions.clear();
  }

  /** Emits the answer to a query that was decided in this round, if its client still waits. */
  void emitAnswer(Query query) {
    switch (query.status()) {
      case COMPLETE -> actions.add(new Action.Respond(query.id(), true));
      case PARTIAL -> actions.add(new Action.Respond(query.id(), false));
      case THROTTLED -> actions.add(new Action.Throttle(query.id(), retryAfterUs));
      case FAILED -> actions.add(new Action.Fail(query.id()));
      default -> {
        // The client has disconnected.
      }
    }
  }

  /** Emits the remaining actions and returns all actions of the round in order. */
  List<Action> finishRound(long now) {
    if (endpointWatch.startIfDue(now)) {
      actions.add(new Action.WatchEndpoints(true));
    }
    attempts.changedAttempts().forEach(this::emitAttempt);
    attempts.changedAttempts().clear();
    long wakeAt = Math.min(workQueue.nextReviewAt(), endpointWatch.nextStartAt());
    if (timer.setIfEarlier(wakeAt, now + settings.tickUs())) {
      actions.add(new Action.SetTimer(timer.firesAt() - now, timer.token()));
    }
    return List.copyOf(actions);
  }

  private void emitAttempt(Attempt attempt) {
    if (attempt.isScheduled()) {
      attempt.markSent();
      if (attempt.needsNewConnection()) {
        actions.add(new Action.RetireConnections(attempt.server().id()));
      }
      actions.add(
          new Action.SendAttempt(
              attempt.request().id(), attempt.server().id(), attempt.deadline()));
    } else if (attempt.isAbandoned() && settings.limits().cancellation()) {
      attempt.markCancelled();
      actions.add(new Action.CancelAttempt(attempt.request().id(), attempt.number()));
    }
  }
}
