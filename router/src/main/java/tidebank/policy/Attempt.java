package tidebank.policy;

import tidebank.model.Outcome;

/** State that lives as long as one dispatch. */
public final class Attempt {
  public final ShardRequest part;
  public final int number;
  public final ShardServer server;
  public final long sentAt;
  public final long call;
  public long dueAt;
  public long stopAt;
  public boolean overdue;

  /** Wanted and not yet ended; what is wanted but not yet sent counts as out. */
  public boolean out = true;

  public boolean wanted = true;
  public boolean sent;

  /** Sent on a connection without recent use, or on a new one in place of such a one. */
  public boolean idle;

  public boolean anew;
  public boolean cancelled;
  public Outcome outcome;

  public Attempt(ShardRequest part, int number, ShardServer server, long sentAt, long call) {
    this.part = part;
    this.number = number;
    this.server = server;
    this.sentAt = sentAt;
    this.call = call;
  }

  /** It has come to its one end. */
  public void end(Outcome how) {
    out = false;
    outcome = how;
    server.out.remove(this);
  }
}
