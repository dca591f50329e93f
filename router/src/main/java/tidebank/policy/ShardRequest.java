package tidebank.policy;

import tidebank.model.Outcome;

import java.util.ArrayList;
import java.util.List;

/**
 * State of one part; it lives as long as its scan, or until the last of its dispatches has ended.
 */
public final class ShardRequest {
  /**
   * HELD: to be sent; UNSENT: left out on purpose; IN: its answer came; LOST: nothing more can be
   * done.
   */
  public enum Stage {
    HELD,
    SENT,
    UNSENT,
    IN,
    LOST
  }

  public final String id;
  public final Query scan;
  public final int shard;
  public final double weight;
  public final String key;
  public final int step;
  public final List<Attempt> dispatches = new ArrayList<>();
  public Stage stage;

  public ShardRequest(String id, Query scan, int shard, double weight, String key, int step) {
    this.id = id;
    this.scan = scan;
    this.shard = shard;
    this.weight = weight;
    this.key = key;
    this.step = step;
  }

  public int out() {
    int out = 0;
    for (Attempt d : dispatches) {
      if (d.out) {
        out++;
      }
    }
    return out;
  }

  /** Whether no server was asked yet: of those tried none could be reached. */
  public boolean neverCame() {
    return dispatches.stream()
        .allMatch(
            d -> !d.out && (d.outcome == Outcome.UNREACHABLE || d.outcome == Outcome.NEVER_SENT));
  }

  public boolean mayHaveRun() {
    for (Attempt d : dispatches) {
      if (d.out || !d.outcome.neverRan) {
        return true;
      }
    }
    return false;
  }
}
