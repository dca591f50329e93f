package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.Outcome;

/**
 * State of one part; it lives as long as its scan, or until the last of its dispatches has ended.
 */
public final class ShardRequest {
  /**
   * HELD: to be sent; UNSENT: left out on purpose; IN: its answer came; LOST: nothing more can be
   * done.
   */
  public enum Stage {
    PENDING,
    SENT,
    SKIPPED,
    ANSWERED,
    FAILED
  }

  public final String id;
  public final Query query;
  public final int shard;
  public final double weight;
  public final String key;
  public final int queryStage;
  public final List<Attempt> attempts = new ArrayList<>();
  public Stage stage;

  public ShardRequest(String id, Query scan, int shard, double weight, String key, int step) {
    this.id = id;
    this.query = scan;
    this.shard = shard;
    this.weight = weight;
    this.key = key;
    this.queryStage = step;
  }

  public int inFlight() {
    int out = 0;
    for (Attempt d : attempts) {
      if (d.inFlight) {
        out++;
      }
    }
    return out;
  }

  /** Whether no server was asked yet: of those tried none could be reached. */
  public boolean neverReachedServer() {
    return attempts.stream()
        .allMatch(
            d ->
                !d.inFlight && (d.outcome == Outcome.UNREACHABLE || d.outcome == Outcome.NOT_SENT));
  }

  public boolean mayHaveExecuted() {
    for (Attempt d : attempts) {
      if (d.inFlight || !d.outcome.neverExecuted) {
        return true;
      }
    }
    return false;
  }
}
