package tidebank.policy;

import java.util.ArrayList;
import java.util.List;

/** State that lives as long as an instance knows a shard server. */
public final class ShardServer {
  public final String id;
  public int position;

  /** As the list rates it. */
  public double capacity;

  public boolean inService;
  public long startedAt;

  /**
   * What it bears warm within the window of rule 4, by the time that answers took when we were told
   * of its start.
   */
  public double slowStartRate;

  /**
   * By what share of a round among the gatherers our turns come later, and the last that we used or
   * were told in.
   */
  public double slowStartPhase;

  public long slowStartSlot;

  /** The call that parts sent at this moment share, and how many share it so far. */
  public long batchAt = -1;

  public long batch;
  public int batchSize;
  public final List<Attempt> inFlight = new ArrayList<>();

  /** When parts were sent, as far back as a cold server's guard looks. */
  public final SlidingWindow slowStartSends = new SlidingWindow();

  /** Log-likelihood ratio of the sequential test; above its bound the server is held to be sick. */
  public double failureEvidence;

  /**
   * How many of our parts it may hold as a home before a part goes elsewhere; no bound before its
   * first end.
   */
  public double spilloverThreshold = Double.POSITIVE_INFINITY;

  public boolean ejected;

  /**
   * Since when it can't be reached, as far as we know; and when a connection to it last broke with
   * parts out.
   */
  public long unreachableSince = Long.MAX_VALUE;

  public long connectionLostAt = Long.MIN_VALUE / 2;
  private long faultAt = -1;
  public long reinstatementAt;
  public long reinstatementDelay;

  /** When it last answered us. */
  public long lastResponseAt;

  /** When the latest of its overdue parts was sent. */
  public long lastTimedOutSentAt = -1;

  public long sampledAt = Long.MIN_VALUE / 2;
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
