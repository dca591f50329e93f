package tidebank.policy;

import java.util.ArrayList;
import java.util.List;

/** State that lives as long as an instance knows a shard server. */
public final class ShardServer {
  public final String id;
  public int position;

  /** As the list rates it. */
  public double size;

  public boolean inService;
  public long startedAt;

  /**
   * What it bears warm within the window of rule 4, by the time that answers took when we were told
   * of its start.
   */
  public double coldRate;

  /**
   * By what share of a round among the gatherers our turns come later, and the last that we used or
   * were told in.
   */
  public double coldPhase;

  public long coldTurn;

  /** The call that parts sent at this moment share, and how many share it so far. */
  public long callAt = -1;

  public long call;
  public int callFill;
  public final List<Attempt> out = new ArrayList<>();

  /** When parts were sent, as far back as a cold server's guard looks. */
  public final SlidingWindow coldSends = new SlidingWindow();

  /** Log-likelihood ratio of the sequential test; above its bound the server is held to be sick. */
  public double doubt;

  /**
   * How many of our parts it may hold as a home before a part goes elsewhere; no bound before its
   * first end.
   */
  public double overflow = Double.POSITIVE_INFINITY;

  public boolean sick;

  /**
   * Since when it can't be reached, as far as we know; and when a connection to it last broke with
   * parts out.
   */
  public long downAt = Long.MAX_VALUE;

  public long brokeAt = Long.MIN_VALUE / 2;
  private long faultAt = -1;
  public long trialAt;
  public long trialWait;

  /** When it last answered us. */
  public long heardAt;

  /** When the latest of its overdue parts was sent. */
  public long silentAt = -1;

  public long toldAt = Long.MIN_VALUE / 2;
  public long congestedAt = Long.MIN_VALUE / 2;

  public ShardServer(String id) {
    this.id = id;
  }

  /** Takes note of a connection's fault; whether it is the first at this moment. */
  public boolean firstFault(long now) {
    boolean first = faultAt != now;
    faultAt = now;
    return first;
  }
}
