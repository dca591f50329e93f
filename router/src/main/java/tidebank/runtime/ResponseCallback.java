package tidebank.runtime;

import java.util.List;

/** Receives the final response of a query: exactly one of the on... methods is called, once. */
public interface ResponseCallback {
  /** The value of a shard, as a shard server sent it. */
  record Value(int shard, byte[] bytes) {}

  /** Responds with the values received; {@code complete} tells whether they are sufficient. */
  void onResponse(boolean complete, List<Value> values);

  /** Rejects the query, which may be retried safely, after {@code retryAfterUs} if above 0. */
  void onThrottled(long retryAfterUs);

  /** Fails the query, which shard servers may or may not have executed. */
  void onFailed();

  /**
   * Reads from the client's connection without waiting for the next poll. If the client has
   * disconnected, the query is closed when this returns.
   */
  void pollClientConnection();
}
