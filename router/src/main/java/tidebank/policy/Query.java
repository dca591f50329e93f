package tidebank.policy;

import java.util.ArrayList;
import java.util.List;
import tidebank.model.QueryClass;

/** State that lives as long as one scan. */
public final class Query {
  /** What is wanted for the scan. */
  public enum Verdict {
    OPEN,
    COMPLETE,
    PARTIAL,
    THROTTLED,
    FAILED,
    CLIENT_GONE
  }

  public final String id;
  public final long number;
  public final QueryClass queryClass;
  public long deadline;
  public final List<ShardRequest> requests = new ArrayList<>();
  public long objectiveAt;
  public int stage;
  public boolean selected;

  /** When it is to be looked at again at the latest. */
  public long wakeAt = Long.MAX_VALUE;

  /** How many servers' connections dropped while its parts were out, and whose the last was. */
  public int lostConnections;

  public ShardServer lastLostServer;
  public boolean firstStageComplete;

  /** Parts of this step that are still waited for. */
  public int remaining = Integer.MAX_VALUE / 2;

  public Verdict verdict = Verdict.OPEN;

  /** It has no more time than until then, and its target time none beyond that. */
  public Query limitDeadline(long at) {
    deadline = Math.min(deadline, at);
    objectiveAt = Math.min(objectiveAt, deadline);
    return this;
  }

  /** Whether a first answer brings further parts. */
  public boolean hasSecondStage() {
    return stage == 0 && queryClass.secondStageRequests() > 0;
  }

  public Query(String id, long number, QueryClass type, long limitAt) {
    this.id = id;
    this.number = number;
    this.queryClass = type;
    this.deadline = limitAt;
  }
}
