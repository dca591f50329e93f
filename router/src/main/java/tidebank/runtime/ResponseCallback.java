package tidebank.runtime;

import java.util.List;

/** How a front hears of the one final answer of a scan that it took. */
public interface ResponseCallback {
  /** The value of a part that is in, as its shard server gave it. */
  record Value(int shard, byte[] bytes) {}

  void onResponse(boolean whole, List<Value> values);

  /** Trying again is harmless; {@code holdOffUs} above 0 advises when. */
  void onThrottled(long holdOffUs);

  /** No promise about its effect. */
  void onFailed();

  /**
   * Reads the client's connection once more, now: if the client has ended it since the last poll,
   * the scan has lapsed when this returns.
   */
  void checkClient();
}
