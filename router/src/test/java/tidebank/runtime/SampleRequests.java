package tidebank.runtime;

import java.util.List;

/** Dispatches for tests of the side that carries them out. */
public final class SampleRequests {
  private SampleRequests() {}

  /** Returns a dispatch of the part {@code scan.shard}. */
  public static AttemptRequest request(String scan, int shard, byte[] text, long stopAt) {
    QueryRequest.ShardRange range = new QueryRequest.ShardRange(shard, 1, "");
    QueryRequest request =
        new QueryRequest(scan, "whole", "a", 0, stopAt, false, "", text, List.of(range));
    PendingQuery query = new PendingQuery(request, 1, null, 0);
    return new AttemptRequest(new PendingShardRequest(query, range), 1, "s" + shard, stopAt, 0);
  }
}
