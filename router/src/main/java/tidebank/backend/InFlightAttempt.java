package tidebank.backend;

import tidebank.model.Outcome;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.TimerQueue;

/**
 * An attempt from the moment the policy sends it until its outcome is known. It is itself the timer
 * of its deadline, which saves an object for each attempt.
 */
final class InFlightAttempt extends TimerQueue.Timer implements AttemptRequest.Handle {
  private enum Stage {
    WAITING,
    WRITING,
    SENT,
    COMPLETED
  }

  private final AttemptRequest request;
  private final RequestBatch batch;
  private Stage stage = Stage.WAITING;

  InFlightAttempt(AttemptRequest request, RequestBatch batch) {
    this.request = request;
    this.batch = batch;
  }

  AttemptRequest request() {
    return request;
  }

  RequestBatch batch() {
    return batch;
  }

  /** Returns the id of the shard request, by which the response is matched. */
  String requestId() {
    return request.requestId();
  }

  int shard() {
    return request.shard();
  }

  byte[] body() {
    return request.body();
  }

  /** Returns when the attempt is cancelled at the latest, in microseconds. */
  long deadline() {
    return request.deadline();
  }

  void markWriting() {
    stage = Stage.WRITING;
  }

  void markSent() {
    stage = Stage.SENT;
  }

  /** Returns whether the frame was written completely, so that the attempt may have executed. */
  boolean isSent() {
    return stage == Stage.SENT;
  }

  /** Marks the attempt as completed; returns false if it already was. */
  boolean markCompleted() {
    if (stage == Stage.COMPLETED) {
      return false;
    }
    stage = Stage.COMPLETED;
    return true;
  }

  /** The deadline has passed. */
  @Override
  protected void fire() {
    abort(Outcome.TIMED_OUT);
  }

  @Override
  public void cancel() {
    abort(Outcome.CANCELLED);
  }

  private void abort(Outcome outcomeIfWritten) {
    if (stage == Stage.WAITING) {
      batch.pool().complete(this, Outcome.NOT_SENT, null);
    } else if (stage != Stage.COMPLETED) {
      batch.connection().cancel(this);
      batch.pool().complete(this, outcomeIfWritten, null);
    }
  }

  @Override
  public void dropUnsent() {
    if (stage == Stage.WAITING) {
      batch.pool().complete(this, Outcome.NOT_SENT, null);
    } else if (stage == Stage.WRITING) {
      batch.connection().closeIfWriting();
    }
  }
}
