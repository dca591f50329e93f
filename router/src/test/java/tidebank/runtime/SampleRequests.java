package tidebank.runtime;

import java.util.List;

/** Creates attempts for tests of the backend that sends them. */
public final class SampleRequests {
  private SampleRequests() {}

  /** Returns an attempt at the shard request with the id {@code query.shard}. */
  public static AttemptRequest request(String query, int shard, byte[] body, long deadline) {
    QueryRequest.ShardTarget target = new QueryRequest.ShardTarget(shard, 1, "");
    QueryRequest request =
        new QueryRequest(query, "whole", "a", 0, deadline, false, "", body, List.of(target));
    PendingQuery pending = new PendingQuery(request, 1, null, 0);
    return new AttemptRequest(
        new PendingShardRequest(pending, target), 1, "s" + shard, deadline, 0);
  }
}
