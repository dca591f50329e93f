package tidebank.backend;

import tidebank.model.Outcome;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.TimerQueue;

/**
 * An attempt that the policy has sent and that has no outcome yet. It is its own deadline timer,
 * which saves one object per attempt.
 */
final class InFlightAttempt extends TimerQueue.Timer implements AttemptRequest.Handle {
  private enum Stage {
    QUEUED,
    WRITING,
    SENT,
    COMPLETED
  }

  private final AttemptRequest request;
  private final RequestBatch batch;
  private Stage stage = Stage.QUEUED;

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

  /** Returns when the attempt times out, in microseconds. */
  long deadline() {
    return request.deadline();
  }

  void markWriting() {
    stage = Stage.WRITING;
  }

  void markSent() {
    stage = Stage.SENT;
  }

  /** Returns whether the frame was written completely and the attempt may have executed. */
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

  /** Aborts the attempt, as its deadline has passed. */
  @Override
  protected void fire() {
    abort(Outcome.TIMED_OUT);
  }

  @Override
  public void cancel() {
    abort(Outcome.CANCELLED);
  }

  private void abort(Outcome outcomeIfWritten) {
    if (stage == Stage.QUEUED) {
      batch.pool().complete(this, Outcome.NOT_SENT, null);
    } else if (stage == Stage.WRITING || mayBeUndelivered()) {
      // A cancel frame would arrive behind the attempt's own frame.
      batch.pool().complete(this, outcomeIfWritten, null);
      batch.connection().closeUndelivered();
    } else if (stage == Stage.SENT) {
      batch.connection().cancel(this);
      batch.connection().requireDelivery(this);
      batch.pool().complete(this, outcomeIfWritten, null);
    }
  }

  private boolean mayBeUndelivered() {
    return stage == Stage.SENT && batch.connection().mayBeUndelivered(batch);
  }

  @Override
  public void dropUndelivered() {
    if (stage == Stage.QUEUED) {
      batch.pool().complete(this, Outcome.NOT_SENT, null);
    } else if (stage == Stage.WRITING) {
      batch.connection().closeUndelivered();
    } else if (mayBeUndelivered()) {
      abort(Outcome.CANCELLED);
    } else if (stage == Stage.SENT) {
      batch.connection().requireDelivery(this);
    }
  }
}
