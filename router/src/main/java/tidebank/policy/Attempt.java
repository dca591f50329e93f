package tidebank.policy;

import tidebank.model.Outcome;

/** State that lives as long as one dispatch. */
public final class Attempt {
  public final ShardRequest request;
  public final int number;
  public final ShardServer server;
  public final long sentAt;
  public final long batch;
  public long timeoutAt;
  public long deadline;
  public boolean timedOut;

  /** Wanted and not yet ended; what is wanted but not yet sent counts as out. */
  public boolean inFlight = true;

  public boolean wanted = true;
  public boolean sent;

  /** Sent on a connection without recent use, or on a new one in place of such a one. */
  public boolean onIdleConnection;

  public boolean onNewConnection;
  public boolean cancelled;
  public Outcome outcome;

  public Attempt(ShardRequest part, int number, ShardServer server, long sentAt, long call) {
    this.request = part;
    this.number = number;
    this.server = server;
    this.sentAt = sentAt;
    this.batch = call;
  }

  /** It has come to its one end. */
  public void complete(Outcome how) {
    inFlight = false;
    outcome = how;
    server.inFlight.remove(this);
  }
}
