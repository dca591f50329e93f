package tidebank.runtime;

import java.util.List;

/** Gets the one final response of a query: exactly one of the methods named on is called, once. */
public interface ResponseCallback {
  /** The value of a shard, as its server sent it. */
  record Value(int shard, byte[] bytes) {}

  /** Responds with the values received; {@code complete}: none is missing. */
  void onResponse(boolean complete, List<Value> values);

  /** Sheds the query: a retry is harmless. {@code retryAfterUs} above 0 advises when. */
  void onThrottled(long retryAfterUs);

  /** Fails the query: shard servers may have executed it or not. */
  void onFailed();

  /**
   * Reads the client's connection now. If the client has disconnected since the last poll, the
   * query is closed when this returns.
   */
  void checkClient();
}
