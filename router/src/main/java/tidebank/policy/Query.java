package tidebank.policy;

import tidebank.model.QueryClass;

import java.util.ArrayList;
import java.util.List;

/** State that lives as long as one scan. */
public final class Query {
  /** What is wanted for the scan. */
  public enum Verdict {
    OPEN,
    ANSWER_WHOLE,
    ANSWER_IN_PART,
    THROTTLE,
    ABANDON,
    LEFT
  }

  public final String id;
  public final long number;
  public final QueryClass type;
  public long limitAt;
  public final List<ShardRequest> parts = new ArrayList<>();
  public long targetAt;
  public int step;
  public boolean selected;

  /** When it is to be looked at again at the latest. */
  public long wakeAt = Long.MAX_VALUE;

  /** How many servers' connections dropped while its parts were out, and whose the last was. */
  public int broken;

  public ShardServer brokeOn;
  public boolean firstWhole;

  /** Parts of this step that are still waited for. */
  public int left = Integer.MAX_VALUE / 2;

  public Verdict verdict = Verdict.OPEN;

  /** It has no more time than until then, and its target time none beyond that. */
  public Query endBy(long at) {
    limitAt = Math.min(limitAt, at);
    targetAt = Math.min(targetAt, limitAt);
    return this;
  }

  /** Whether a first answer brings further parts. */
  public boolean moreSteps() {
    return step == 0 && type.secondStep() > 0;
  }

  public Query(String id, long number, QueryClass type, long limitAt) {
    this.id = id;
    this.number = number;
    this.type = type;
    this.limitAt = limitAt;
  }
}
