package tidebank.shard;

import tidebank.model.Outcome;
import tidebank.node.Alarms;
import tidebank.node.Order;

/** One dispatch on its way: waiting for a connection, being written, or out. */
final class Flight extends Alarms.Alarm implements Order.Ticket {
  enum Stage {
    WAITING,
    WRITING,
    OUT,
    ENDED
  }

  final Order order;
  final Call call;
  Stage stage = Stage.WAITING;

  Flight(Order order, Call call) {
    this.order = order;
    this.call = call;
  }

  /** Its time is up. */
  @Override
  protected void ring() {
    if (stage == Stage.WAITING) {
      call.server.end(this, Outcome.NEVER_SENT, null);
    } else if (stage != Stage.ENDED) {
      call.connection.giveUp(this);
      call.server.end(this, Outcome.TIMED_OUT, null);
    }
  }

  @Override
  public void cancel() {
    if (stage == Stage.WAITING) {
      call.server.end(this, Outcome.NEVER_SENT, null);
    } else if (stage != Stage.ENDED) {
      call.connection.giveUp(this);
      call.server.end(this, Outcome.CANCELLED, null);
    }
  }

  @Override
  public void dropUnsent() {
    if (stage == Stage.WAITING) {
      call.server.end(this, Outcome.NEVER_SENT, null);
    } else if (stage == Stage.WRITING) {
      call.connection.stopWriting();
    }
  }
}
