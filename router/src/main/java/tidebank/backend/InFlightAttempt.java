package tidebank.backend;

import tidebank.model.Outcome;
import tidebank.runtime.AttemptRequest;
import tidebank.runtime.TimerQueue;

/** One dispatch on its way: waiting for a connection, being written, or out. */
final class InFlightAttempt extends TimerQueue.Timer implements AttemptRequest.Handle {
  enum Stage {
    WAITING,
    WRITING,
    OUT,
    ENDED
  }

  final AttemptRequest request;
  final RequestBatch call;
  Stage stage = Stage.WAITING;

  InFlightAttempt(AttemptRequest request, RequestBatch call) {
    this.request = request;
    this.call = call;
  }

  /** Its time is up. */
  @Override
  protected void fire() {
    stop(Outcome.TIMED_OUT);
  }

  @Override
  public void cancel() {
    stop(Outcome.CANCELLED);
  }

  private void stop(Outcome ifWritten) {
    if (stage == Stage.WAITING) {
      call.server.end(this, Outcome.NOT_SENT, null);
    } else if (stage != Stage.ENDED) {
      call.connection.giveUp(this);
      call.server.end(this, ifWritten, null);
    }
  }

  @Override
  public void dropUnsent() {
    if (stage == Stage.WAITING) {
      call.server.end(this, Outcome.NOT_SENT, null);
    } else if (stage == Stage.WRITING) {
      call.connection.stopWriting();
    }
  }
}
